#pragma once

#include <string>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// How far the requests for a run have come.
enum class run_phase {
  inherited,  // placed by an earlier leader: nobody knows if it was started
  to_start,
  starting,  // the request is out
  started,
  to_stop,
  stopping,    // the request is out
  stopped,     // the worker confirmed it; its end is to be listed
  unconfirmed  // the worker refused it as old: its end may be listed
};

/// The leader's view of one run that holds a worker.
struct tracked_run {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
  run_phase phase = run_phase::to_start;
  time_point next_try;
  time_point responded_at;  // when the last request was answered
  time_point placed_at;
  std::uint32_t percent = 0;
  time_point progressed_at;  // when the percentage last changed
  std::string snapshot;      // newest seen
  time_point baseline_at;    // since when its progress is measured here
  std::uint32_t baseline_percent = 0;
  bool measured = false;
  bool start_unconfirmed =
      false;  // a start without an answer may come through late
  std::uint32_t throttle = 100;   // per cent, as last confirmed
  bool throttle_pending = false;  // a request on it is on its way
};

}  // namespace parsleyledge::fleet
