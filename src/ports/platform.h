#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/jobs/job.h"
#include "core/time.h"

namespace parsleyledge {

/// Names one attempt of a job on a worker.
struct task_ref {
  job_id job;
  std::uint32_t attempt = 0;
  fence_number fence;

  auto operator==(const task_ref&) const -> bool = default;
};

enum class worker_verb { prepare, start, checkpoint, throttle, stop };

/// A call to the platform's worker about one task.
struct worker_call {
  std::string worker;
  std::string address;  // ip:port
  worker_verb verb = worker_verb::prepare;
  task_ref task;
  assignment cells;
  std::string payload;
  milliseconds run_time{0};  // declared, less the progress kept
};

/// Renews the leases of all tasks of a worker that should be alive.
struct lease_renewal {
  std::string worker;
  std::string address;
  std::vector<task_ref> tasks;
  milliseconds ttl{0};
};

using platform_request = std::variant<worker_call, lease_renewal>;

enum class task_state {
  prepared,
  running,
  checkpointed,
  done,
  failed,
  stopped
};

/// What a worker reports of one task. Usage lags behind.
struct task_report {
  task_ref task;
  task_state state = task_state::prepared;
  std::uint32_t processors = 0;  // in use
  std::uint64_t memory_mb = 0;   // in use
  std::string reason;
};

/// The worker did as asked.
struct worker_accepted {
  std::vector<task_report> tasks;  // of a renewal: all that it has
};

/// The worker answered that it will not.
struct worker_rejected {
  std::string reason;
};

/// No answer; whether the worker acted is unknown.
struct worker_no_response {};

using platform_response =
    std::variant<worker_accepted, worker_rejected, worker_no_response>;

/// The verb's name on the wire.
auto to_string(worker_verb verb) -> std::string_view;

/// The state's name on the wire.
auto to_string(task_state state) -> std::string_view;

/// Reads a task state's name; nothing if there is no such name.
auto parse_task_state(std::string_view name) -> std::optional<task_state>;

}  // namespace parsleyledge
