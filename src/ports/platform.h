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

/// What a worker shall do with a task.
enum class worker_verb { prepare, start, checkpoint, throttle, stop };

/// Request to a worker about one task.
struct worker_call {
  std::string worker;
  std::string address;  // ip:port
  worker_verb verb = worker_verb::prepare;
  task_ref task;
  assignment cells;
  std::string payload;
  milliseconds run_time{0};  // declared, less the saved progress
};

/// Request that renews the leases of all tasks that a worker should have.
struct lease_renewal {
  std::string worker;
  std::string address;
  std::vector<task_ref> tasks;
  milliseconds ttl{0};
};

/// A request to the platform.
using platform_request = std::variant<worker_call, lease_renewal>;

/// Progress of a task, in the order in which states follow each other.
enum class task_state {
  prepared,
  running,
  checkpointed,
  done,
  failed,
  stopped
};

/// A worker's report of one task. The usage may be out of date.
struct task_report {
  task_ref task;
  task_state state = task_state::prepared;
  std::uint32_t processors = 0;  // in use
  std::uint64_t memory_mb = 0;   // in use
  std::string reason;
};

/// The worker carried out the request.
struct worker_accepted {
  std::vector<task_report> tasks;  // of a renewal: all tasks of the worker
};

/// The worker rejected the request.
struct worker_rejected {
  std::string reason;
};

/// No response came in time; the request may have been carried out.
struct worker_no_response {};

/// The response of the platform to a request.
using platform_response =
    std::variant<worker_accepted, worker_rejected, worker_no_response>;

/// The verb's name in requests to workers.
auto to_string(worker_verb verb) -> std::string_view;

/// The state's name in reports of workers.
auto to_string(task_state state) -> std::string_view;

/// The task state with this name, or nothing if there is none.
auto parse_task_state(std::string_view name) -> std::optional<task_state>;

}  // namespace parsleyledge
