#pragma once

#include <string>
#include <variant>

#include "core/config/config_version.h"
#include "core/jobs/job.h"
#include "core/problem.h"
#include "core/state/idempotency_key.h"

namespace parsleyledge {

/// The command changed the state, or had done so before.
struct command_done {};

/// A change of configuration was accepted as this version.
struct config_accepted {
  config_version version;
};

/// Another change came first.
struct config_conflict {
  config_version current;
};

struct job_accepted {
  job_id job;
  bool existed = false;
};

struct jobs_cancelled {
  std::uint32_t count = 0;
};

/// The key now belongs to the caller's request.
struct key_claimed {};

/// Another request holds the key and has not ended.
struct key_busy {
  time_point since;
  bool overdue = false;  // its deadline has passed: unknown whether it ran
};

/// The key's request ran before.
struct key_completed {
  stored_response answer;
  time_point ran_at;
};

using command_result =
    std::variant<command_done, config_accepted, config_conflict, job_accepted,
                 jobs_cancelled, key_claimed, key_busy, key_completed, problem>;

}  // namespace parsleyledge
