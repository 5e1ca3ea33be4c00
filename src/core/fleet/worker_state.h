#pragma once

#include <vector>

#include "core/fleet/backfill_throttle.h"
#include "core/fleet/command.h"
#include "core/fleet/lease_clock.h"
#include "core/fleet/retained_capacity.h"
#include "core/fleet/tracked_run.h"
#include "core/fleet/worker_request.h"

namespace parsleyledge::fleet {

/// The leader's state of a worker that is not in the tables. A new leader
/// starts without it.
struct worker_state {
  worker_incarnation incarnation;
  lease_clock clock;
  time_point reported_at;
  time_point responded_at;
  std::uint64_t report_sequence = 0;
  time_point drain_deadline;  // while it drains

  bool poll_pending = false;   // a poll that waits for an end is in flight
  bool probe_pending = false;  // a poll that does not wait is in flight
  time_point next_poll;
  time_point confirmed_at;  // this incarnation was running then or later
  std::uint32_t missed_responses = 0;  // consecutive requests
  time_point unavailable_until;        // it rejected a request as unhealthy
  bool is_unhealthy = false;           // as of its last response
  std::uint64_t acknowledged = 0;      // highest committed end
  std::uint64_t confirmed_end = 0;     // highest end acknowledged to the worker
  std::uint64_t uncommitted_end = 0;   // highest end of `uncommitted`
  std::vector<ended_run> uncommitted;  // proposed ends, not yet committed
  std::vector<listed_end> withheld;    // not to be acknowledged, by sequence

  std::uint32_t failures = 0;  // consecutive failed runs
  time_point quarantined_until;
  retained_capacity retained;      // for urgent work
  backfill_throttle throttle;      // of its backfill tasks
  bool under_maintenance = false;  // drained for its machine's maintenance

  // Synchronized with the tables at each refresh.
  resources used;
  std::vector<tracked_run*> runs;  // assigned to it
};

}  // namespace parsleyledge::fleet
