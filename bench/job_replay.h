#pragma once

#include <cstdint>
#include <vector>

#include "core/jobs/placement_policy.h"
#include "job_mix.h"

namespace parsleyledge::bench {

/// What one replay measured. Times are in seconds.
struct replay_result {
  double mean_completion = 0;
  double p95_completion = 0;
  double mean_slowdown = 0;
  double fragmentation = 0;   // share of free accelerators, over time
  double large_wait_p99 = 0;  // of the gangs of the largest size
  double urgent_start_p99 = 0;
  double utilisation = 0;
  double lost_work = 0;  // share of the work done that was repeated
  std::uint64_t claims = 0;
  std::uint64_t claims_late = 0;  // not running within the checkpoint grace
  std::uint64_t reclaims = 0;
  std::uint64_t unfinished = 0;
  double decision_p50_us = 0;
  double decision_p99_us = 0;
  double decision_max_us = 0;
};

/// Replays a mix against the decision code alone, on a manual clock. Workers
/// never fail and do as told at once; it is no model of a cluster.
auto replay(const job_mix& mix, const placement_policy& policy)
    -> replay_result;

}  // namespace parsleyledge::bench
