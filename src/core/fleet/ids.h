#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/strong.h"

namespace parsleyledge::fleet {

/// The number that a caller chose for its job.
using job_id = strong<struct fleet_job_id_tag>;

/// One task of a job: an occurrence of the job, a step, and a place in it.
struct task_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_ref&) const = default;
};

/// Hashes tasks for tables in memory.
struct task_hash {
  auto operator()(const task_ref& task) const -> std::size_t {
    constexpr std::uint64_t odd = 0x9e3779b97f4a7c15;  // 2^64 / golden ratio
    auto place = (std::uint64_t{task.occurrence} << 40) ^
                 (std::uint64_t{task.step} << 24) ^ task.index;
    auto mixed = (task.job.value ^ place * odd) * odd;
    return static_cast<std::size_t>(mixed ^ (mixed >> 32));
  }
};

/// One step of one occurrence of a job.
struct step_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;
};

/// One incarnation of a worker. A worker that restarts may keep its name; the
/// time of its start tells the incarnations apart.
struct worker_incarnation {
  std::string name;
  std::int64_t started_at_ms = 0;  // Unix time of its start

  auto operator<=>(const worker_incarnation&) const = default;
};

}  // namespace parsleyledge::fleet
