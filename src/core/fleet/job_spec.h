#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/resources.h"
#include "core/fleet/site.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// A step of a job: equal tasks that may start once the steps in `after` are
/// done.
struct step_spec {
  std::uint32_t tasks = 1;
  resources per_task;
  milliseconds estimate{0};          // of a task's duration, by the caller
  std::vector<std::uint32_t> after;  // indexes of steps of the job
  bool checkpoints = false;          // tasks save their progress
  bool gang = false;                 // all tasks start, run and end together
  bool same_rack = false;            // slower when spread over racks
  bool speculative = false;   // copies of a task may run; first end counts
  bool long_running = false;  // runs until the job is cancelled
  bool backfill = false;      // reserves no processors and uses idle ones
  std::string label;          // required of the worker; empty: none
  std::string data_rack;      // rack of its data; empty: any
  std::uint32_t max_per_worker = 0;  // 0: no limit
  std::string image;
  milliseconds target{0};  // bound of a serving task's response time; 0: none
  std::uint32_t max_unavailable =
      0;  // long-running tasks that maintenance may stop at once

  auto operator==(const step_spec&) const -> bool = default;
};

/// A job as the caller submitted it.
struct job_spec {
  job_id id;
  std::string queue;
  std::string customer;
  std::string payload;  // passed to every task unchanged
  std::vector<step_spec> steps;
  std::uint32_t occurrences = 0;  // 0: one, due at once
  time_point first_due;           // wall clock, of the first occurrence
  milliseconds interval{0};       // between occurrences
  // The queue as it was when it accepted the job, which runs on if the queue is
  // removed. Stored without what only requests need.
  fleet::queue accepted_by;

  auto operator==(const job_spec&) const -> bool = default;
};

/// The capacity that a task of the step reserves on its worker.
constexpr auto reserved_by(const step_spec& step) -> resources {
  auto need = step.per_task;
  if (step.backfill) need.cpu_milli = 0;
  return need;
}

/// How many cores an accelerator counts for.
constexpr std::int64_t cores_per_accelerator = 8;

/// The cores of a task of the step, with its accelerators counted as cores.
constexpr auto cores_of(const step_spec& step) -> std::int64_t {
  return step.per_task.cpu_milli / 1000 +
         step.per_task.accelerators * cores_per_accelerator;
}

/// The number of occurrences of a job.
constexpr auto occurrences_of(const job_spec& spec) -> std::uint32_t {
  return spec.occurrences == 0 ? 1 : spec.occurrences;
}

/// When an occurrence is due, by the wall clock. For a job without a schedule
/// the epoch, so that it is always due.
constexpr auto due_at(const job_spec& spec, std::uint32_t occurrence)
    -> time_point {
  if (spec.occurrences == 0) return {};
  return spec.first_due + spec.interval * static_cast<std::int64_t>(occurrence);
}

}  // namespace parsleyledge::fleet
