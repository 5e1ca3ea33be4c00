#pragma once

#include <string>
#include <variant>

#include "core/config/config_version.h"
#include "core/jobs/job.h"
#include "core/problem.h"
#include "core/state/idempotency_key.h"

namespace parsleyledge {

/// The command was applied, now or earlier.
struct command_done {};

/// A change of configuration was accepted and created this version.
struct config_accepted {
  config_version version;
};

/// A change of configuration is not based on the current version.
struct config_conflict {
  config_version current;
};

/// A job was added, or existed already under its key.
struct job_accepted {
  job_id job;
  bool existed = false;
};

/// The number of jobs that a command cancelled.
struct jobs_cancelled {
  std::uint32_t count = 0;
};

/// The caller's request owns the key.
struct key_claimed {};

/// Another request owns the key and has no stored response.
struct key_busy {
  time_point since;
  bool overdue = false;  // past its deadline; it may have run
};

/// The key's request ran before, with this response.
struct key_completed {
  stored_response response;
  time_point ran_at;
};

/// Result of applying a command.
using command_result =
    std::variant<command_done, config_accepted, config_conflict, job_accepted,
                 jobs_cancelled, key_claimed, key_busy, key_completed, problem>;

}  // namespace parsleyledge
