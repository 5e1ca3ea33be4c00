#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Start a run. It may run until the worker's clock reaches `lease_end`, unless
/// a later request moves that on.
struct start_request {
  task_ref task;
  std::uint32_t run = 0;
  std::string text;
  std::int64_t lease_end = 0;
  std::string snapshot;  // progress to resume from, if any
  std::string ticket;    // the advice under which it may run there, if any
};

/// Stop a run. A worker that does not know it refuses it from now on.
struct stop_request {
  task_ref task;
  std::uint32_t run = 0;
};

/// Renew the lease of all that runs on a worker, and list what runs and what
/// has ended. Ends up to `acknowledged` need not be listed again.
struct poll_request {
  std::int64_t lease_end = 0;  // 0 leaves the lease as it is
  std::uint64_t acknowledged = 0;
  milliseconds wait{0};  // the answer may wait so long for an end
};

/// Let a run use only a share of its processors.
struct throttle_request {
  task_ref task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

using worker_request =
    std::variant<start_request, stop_request, poll_request, throttle_request>;

/// A run that a worker has.
struct running_task {
  task_ref task;
  std::uint32_t run = 0;
  std::string snapshot;
  std::uint32_t percent = 0;
  std::int64_t load = 0;  // tail in ms of a serving task, else cpu in use
};

/// An end that a worker lists.
struct listed_end {
  std::uint64_t sequence = 0;
  task_ref task;
  std::uint32_t run = 0;
  run_end how = run_end::failed;
  std::string snapshot;
};

struct request_accepted {
  std::int64_t clock_ms = 0;
};

struct poll_response {
  std::int64_t clock_ms = 0;
  std::int64_t started_at_ms =
      0;  // of the incarnation that answers; 0 if it was not told
  std::vector<running_task> running;
  std::vector<listed_end> ended;
};

enum class rejection {
  stale_fence,
  stale_run,
  lease_expired,
  no_capacity,
  no_ticket,
  invalid
};

struct request_rejected {
  rejection why = rejection::invalid;
  std::int64_t clock_ms = 0;  // 0 if it was not told
};

/// Another incarnation answers at the worker's address.
struct wrong_incarnation {};

/// The worker is unhealthy and did nothing.
struct worker_unavailable {};

/// No answer: the request may have been carried out, or may be later.
struct worker_no_response {
  bool sent = true;  // false if no byte can have reached the worker
};

using worker_response =
    std::variant<request_accepted, poll_response, request_rejected,
                 wrong_incarnation, worker_unavailable, worker_no_response>;

}  // namespace parsleyledge::fleet
