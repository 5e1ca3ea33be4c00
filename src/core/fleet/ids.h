#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/strong.h"

namespace parsleyledge::fleet {

/// The id of a job, chosen by the caller.
using job_id = strong<struct fleet_job_id_tag>;

/// One task of a job: the occurrence of the job, the step, and the index of the
/// task in the step.
struct task_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_ref&) const = default;
};

/// Hashes task references for unordered containers.
struct task_hash {
  auto operator()(const task_ref& task) const -> std::size_t {
    constexpr std::uint64_t multiplier =
        0x9e3779b97f4a7c15;  // 2^64 / golden ratio
    auto position = (std::uint64_t{task.occurrence} << 40) ^
                    (std::uint64_t{task.step} << 24) ^ task.index;
    auto hash = (task.job.value ^ position * multiplier) * multiplier;
    return static_cast<std::size_t>(hash ^ (hash >> 32));
  }
};

/// One step of one occurrence of a job.
struct step_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;
};

/// One incarnation of a worker. A worker may keep its name when it restarts;
/// the start time distinguishes its incarnations.
struct worker_incarnation {
  std::string name;
  std::int64_t started_at_ms = 0;  // Unix time

  auto operator<=>(const worker_incarnation&) const = default;
};

}  // namespace parsleyledge::fleet
