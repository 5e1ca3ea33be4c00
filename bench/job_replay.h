#pragma once

#include <cstdint>
#include <vector>

#include "core/jobs/placement_policy.h"
#include "job_mix.h"

namespace parsleyledge::bench {

/// The measurements of one replay. Times are in seconds unless named _us.
struct replay_result {
  double mean_completion = 0;
  double p95_completion = 0;
  double mean_slowdown = 0;
  double fragmentation =
      0;  // mean share of free accelerators that are stranded
  double large_wait_p99 = 0;  // of the gangs of the largest size
  double urgent_start_p99 = 0;
  double utilisation = 0;
  double lost_work = 0;  // repeated work, as a share of the work done
  std::uint64_t claims = 0;
  std::uint64_t claims_late =
      0;  // not running within the checkpoint grace and slack
  std::uint64_t reclaims = 0;
  std::uint64_t unfinished = 0;
  double decision_p50_us = 0;
  double decision_p99_us = 0;
  double decision_max_us = 0;
};

/// Replays a mix with the decision code alone, on a simulated clock. Workers
/// never fail and carry out requests at once, so the results do not model a
/// real cluster.
auto replay(const job_mix& mix, const placement_policy& policy)
    -> replay_result;

}  // namespace parsleyledge::bench
