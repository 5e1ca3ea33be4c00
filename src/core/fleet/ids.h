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

/// One step of one occurrence of a job.
struct step_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;
};

/// One life of a worker. A worker that restarts may keep its name; the time
/// of its start tells the lives apart.
struct worker_life {
  std::string name;
  std::int64_t born_ms = 0;  // Unix time of its start

  auto operator<=>(const worker_life&) const = default;
};

}  // namespace parsleyledge::fleet
