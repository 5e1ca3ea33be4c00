#pragma once

#include <vector>

#include "core/fleet/backfill_throttle.h"
#include "core/fleet/command.h"
#include "core/fleet/lease_clock.h"
#include "core/fleet/retained_capacity.h"
#include "core/fleet/tracked_run.h"

namespace parsleyledge::fleet {

/// What the leader knows of a worker beside the tables. It is lost with the
/// leadership and learned again.
struct worker_state {
  worker_incarnation incarnation;
  lease_clock clock;
  time_point reported_at;
  time_point answered_at;
  std::uint64_t report_sequence = 0;
  time_point drain_deadline;  // of one that drains

  bool poll_pending = false;  // a poll is on its way
  time_point next_poll;
  std::uint32_t missed_responses = 0;  // requests in a row
  std::uint64_t acknowledged = 0;      // highest end that is committed
  std::uint64_t confirmed_end = 0;     // highest end acknowledged to the worker
  std::uint64_t uncommitted_end = 0;   // highest end of `uncommitted`
  std::vector<ended_run> uncommitted;  // ends proposed, not yet committed

  std::uint32_t failures = 0;  // runs in a row
  time_point quarantined_until;
  retained_capacity retained;  // for urgent work
  backfill_throttle throttle;  // of its backfill tasks
  bool under_maintenance =
      false;  // it is emptied for its machine's maintenance

  // Kept in line with the tables by each sweep.
  resources used;
  std::vector<tracked_run*> runs;  // that are assigned to it
};

}  // namespace parsleyledge::fleet
