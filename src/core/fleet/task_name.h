#pragma once

#include <string>

#include "core/fleet/ids.h"

namespace parsleyledge::fleet {

/// A job's number as logs and dumps show it: 16 hexadecimal digits.
auto to_string(job_id id) -> std::string;

/// A task as logs and dumps show it: job, occurrence, step and place.
auto to_string(const task_ref& task) -> std::string;

/// A step, likewise.
auto to_string(const step_ref& step) -> std::string;

}  // namespace parsleyledge::fleet
