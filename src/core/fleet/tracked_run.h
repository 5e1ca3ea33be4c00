#pragma once

#include <optional>
#include <string>

#include "core/fleet/command.h"
#include "core/fleet/loss_cause.h"

namespace parsleyledge::fleet {

/// The state of the requests for a run.
enum class run_phase {
  inherited,  // placed by an earlier leader; may have been started
  to_start,
  starting,  // the start request is in flight
  started,
  to_stop,
  stopping,    // the stop request is in flight
  stopped,     // confirmed by the worker; its end is yet to be listed
  unconfirmed  // stop rejected as stale: its end may be listed
};

/// The first failure of a poll since the worker of a run last responded to one.
enum class worker_contact {
  kept,    // none: it responded to the last poll, or was not polled yet
  closed,  // its host refused or closed the connection
  silent   // any other failure, such as a time-out
};

/// The leader's view of one run that is assigned to a worker.
struct tracked_run {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
  run_phase phase = run_phase::to_start;
  time_point next_attempt_at;
  time_point responded_at;  // when the last response arrived
  time_point placed_at;
  std::uint32_t percent = 0;  // progress
  time_point progressed_at;   // when the percentage last changed
  std::string snapshot;       // latest reported
  time_point baseline_at;     // start of the measurement of its progress
  std::uint32_t baseline_percent = 0;
  bool speed_measured = false;
  time_point started_at;        // when its start was confirmed or first listed
  bool outlived_start = false;  // its worker did not crash as it started
  worker_contact contact = worker_contact::kept;
  bool start_unconfirmed =
      false;                // a start without a response may still take effect
  bool start_sent = false;  // confirmed, or sent without a response
  bool start_recorded = false;           // that is recorded for later leaders
  std::optional<loss_cause> stop_cause;  // if it is or was to be stopped
  bool stop_unconfirmed = false;         // a stop request got no response
  bool end_recorded = false;             // as done or as discarded work
  // In per cent, last confirmed; nullopt if a request of an earlier leader, or
  // one without a response, may have changed it.
  std::optional<std::uint32_t> throttle = 100;
  bool throttle_pending = false;  // a throttle request is in flight
};

/// Estimates the time until a run ends from its average progress on its worker;
/// nullopt before any progress was measured.
auto time_left(const tracked_run& run, time_point now)
    -> std::optional<milliseconds>;

}  // namespace parsleyledge::fleet
