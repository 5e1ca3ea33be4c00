#pragma once

#include <string>

#include "core/fleet/ids.h"

namespace parsleyledge::fleet {

/// A job's id as shown in logs and dumps: 16 hexadecimal digits.
auto to_string(job_id id) -> std::string;

/// A task as shown in logs and dumps: job, occurrence, step and index,
/// separated by dots.
auto to_string(const task_ref& task) -> std::string;

/// A step as shown in logs and dumps: job, occurrence and step.
auto to_string(const step_ref& step) -> std::string;

}  // namespace parsleyledge::fleet
