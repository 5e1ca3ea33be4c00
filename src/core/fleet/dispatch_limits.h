#pragma once

#include <cstdint>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Timeouts and intervals of the dispatcher. `lease`, `max_lease`,
/// `report_timeout`, `min_restart_time` and `gang_start_timeout` are set from
/// the settings of the node at start; here are their defaults.
struct dispatch_limits {
  // Length of a lease at each renewal. A longer lease keeps work running
  // through a longer network partition; a shorter one lets lost work restart
  // elsewhere sooner.
  milliseconds lease{9000};
  // The longest lease that a worker grants, by the site's settings.
  milliseconds max_lease{10'000};
  // A worker responds within one round trip; the rest allows for queueing.
  milliseconds request_timeout{500};
  // How long a poll may wait for a run to end; a long wait keeps idle polls
  // rare.
  milliseconds poll_wait{1800};
  // The same on workers where backfill tasks may slow down serving tasks:
  // several polls fit within the time that a serving task may exceed its
  // target.
  milliseconds throttled_poll_wait{500};
  // A worker without a message for this time gets no new work: three
  // heartbeats, by the site's settings.
  milliseconds report_timeout{4500};
  // A worker that ended restarts under its name and address no sooner than
  // this; by the site's settings.
  milliseconds min_restart_time{2000};
  // Tasks that are assigned to a worker at a time. Bounds the leader's memory
  // for tasks that reserve next to nothing.
  std::uint32_t max_tasks_per_worker{1024};
  // Start and stop requests in flight to a worker; it accepts 64 connections.
  std::uint32_t max_requests_per_worker{32};
  // How long the members of a gang wait for each other to start.
  milliseconds gang_start_timeout{3000};
  // A reservation of reclaimed capacity is dropped if the capacity is not free
  // after this time.
  milliseconds reservation_timeout{2000};
  // How long capacity that urgent work released is retained for the next
  // urgent work. A longer time stops less work but leaves more capacity idle.
  milliseconds urgent_retention{1000};
  // Interval between two records of learned machine speeds, so that all changes
  // go into one small command.
  milliseconds speed_record_interval{1000};
  // A gang that has waited for longer gets capacity reserved, so that small
  // tasks do not take all capacity that becomes free.
  milliseconds gang_reservation_delay{4000};
  // Reserved capacity that is not free after this time is chosen again; a
  // typical task of the lowest-priority queue has ended by then.
  milliseconds gang_reservation_timeout{6000};
  // A run without progress for this time counts as stalled.
  milliseconds stall_timeout{1500};
  // A task that crashes its worker does so within this time of its start.
  milliseconds start_trial{3000};
  // First quarantine of a failing worker; doubled at each further failure.
  milliseconds initial_quarantine{4000};
};

}  // namespace parsleyledge::fleet
