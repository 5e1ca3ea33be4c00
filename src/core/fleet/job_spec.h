#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// A step of a job: equal tasks that may run once the steps before it ended.
struct step_spec {
  std::uint32_t tasks = 1;
  resources each;
  milliseconds estimate{0};  // the caller's guess at a task's duration
  std::vector<std::uint32_t> after;
  bool checkpoints = false;   // tasks save their progress
  bool gang = false;          // tasks work only all together
  bool same_rack = false;     // slower when spread over racks
  bool speculative = false;   // copies may run, the first to end counts
  bool long_running = false;  // runs until the job is cancelled
  bool backfill =
      false;          // uses the processors that others leave, reserves none
  std::string label;  // that the worker must have
  std::string data_rack;
  std::uint32_t max_per_worker = 0;  // 0: no limit
  std::string image;
  milliseconds target{0};  // bound of a serving task's response times
  std::uint32_t max_unavailable =
      0;  // long-running tasks that may be away by our doing

  auto operator==(const step_spec&) const -> bool = default;
};

/// What a caller asked for.
struct job_spec {
  job_id id;
  std::string queue;
  std::string customer;
  std::string text;  // handed to every task as it is
  std::vector<step_spec> steps;
  std::uint32_t times = 0;  // 0: once, at once
  time_point first_due;     // wall clock
  milliseconds interval{0};

  auto operator==(const job_spec&) const -> bool = default;
};

/// What a task of the step counts against its worker's capacity.
constexpr auto reserved_by(const step_spec& step) -> resources {
  auto need = step.each;
  if (step.backfill) need.cpu_milli = 0;
  return need;
}

/// How often the steps run.
constexpr auto occurrences_of(const job_spec& spec) -> std::uint32_t {
  return spec.times == 0 ? 1 : spec.times;
}

/// When an occurrence is due, by the wall clock. A job that runs once is due
/// from its start of time.
constexpr auto due_at(const job_spec& spec, std::uint32_t occurrence)
    -> time_point {
  if (spec.times == 0) return {};
  return spec.first_due + spec.interval * static_cast<std::int64_t>(occurrence);
}

}  // namespace parsleyledge::fleet
