#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/jobs/job.h"

namespace parsleyledge {

/// A failure of a job that counts towards the quarantine of a worker.
struct worker_failure {
  job_id job;
  time_point at;

  auto operator==(const worker_failure&) const -> bool = default;
};

/// Failures by name of the worker, oldest first.
using failure_table = std::map<std::string, std::vector<worker_failure>>;

}  // namespace parsleyledge
