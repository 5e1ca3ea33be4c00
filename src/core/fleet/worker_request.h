#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Start a run. It may run until the worker's clock reaches `lease_end`, unless
/// a later request extends the lease.
struct start_request {
  task_ref task;
  std::uint32_t run = 0;
  std::string text;
  std::int64_t lease_end = 0;
  std::string snapshot;  // progress to resume from, if any
  std::string ticket;    // proof of advice, if the queue has a policy
};

/// Stop a run. A worker that has not received the start of the run rejects it
/// from now on.
struct stop_request {
  task_ref task;
  std::uint32_t run = 0;
};

/// Renew the lease of a worker's runs, and list the runs and ends. Ends up to
/// `acknowledged` need not be listed again.
struct poll_request {
  std::int64_t lease_end = 0;  // 0 leaves the lease unchanged
  std::uint64_t acknowledged = 0;
  milliseconds wait{0};  // how long the worker may wait for an end to list
};

/// Limit a run to a share of its processors.
struct throttle_request {
  task_ref task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

using worker_request =
    std::variant<start_request, stop_request, poll_request, throttle_request>;

/// A run on a worker, as listed by a poll.
struct running_task {
  task_ref task;
  std::uint32_t run = 0;
  std::string snapshot;
  std::uint32_t percent = 0;
  std::int64_t load =
      0;  // tail latency in ms of a serving task, else cpu in use
};

/// The end of a run, as listed by a poll.
struct listed_end {
  std::uint64_t sequence = 0;
  task_ref task;
  std::uint32_t run = 0;
  run_end outcome = run_end::failed;
  std::string snapshot;
};

struct request_accepted {
  std::int64_t clock_ms = 0;
};

struct poll_response {
  std::int64_t clock_ms = 0;
  std::int64_t started_at_ms =
      0;  // of the responding incarnation; 0 if not given
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
  rejection reason = rejection::invalid;
  std::int64_t clock_ms = 0;  // 0 if not given
};

/// Another incarnation responded at the worker's address.
struct wrong_incarnation {};

/// The worker is unhealthy and did not carry out the request.
struct worker_unavailable {};

/// No response came in time. The request may have been carried out, or may
/// still be.
struct worker_no_response {
  bool sent = true;     // false if nothing can have reached the worker
  bool closed = false;  // its host refused or closed the connection
};

using worker_response =
    std::variant<request_accepted, poll_response, request_rejected,
                 wrong_incarnation, worker_unavailable, worker_no_response>;

}  // namespace parsleyledge::fleet
