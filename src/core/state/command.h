#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/config/config_version.h"
#include "core/jobs/job.h"
#include "core/state/idempotency_key.h"

namespace parsleyledge {

/// Writes a file of the operators' folder if `base` is still the version.
struct put_file {
  std::string name;
  std::string body;
  config_version base;
  std::string change_id;
  std::uint64_t digest = 0;  // of name and body
  time_point at;
};

/// Removes a file of the operators' folder, likewise.
struct delete_file {
  std::string name;
  config_version base;
  std::string change_id;
  std::uint64_t digest = 0;
  time_point at;
};

/// Adds a job, unless its customer used its key before.
struct submit_job {
  job_spec spec;
  time_point at;
};

/// Cancels a customer's jobs by key and any jobs by id, as one wave.
struct cancel_jobs {
  std::string customer;
  std::vector<std::string> keys;
  std::vector<job_id> ids;
  time_point at;
};

/// Gives accelerators to a queued job, in one step for the whole gang. A job
/// that claims a guarantee outside the slot's home brings the new home along.
struct place_job {
  job_id job;
  std::optional<guarantee_slot> claim;
  std::vector<assignment> assignments;
  std::vector<assignment> new_home;
  time_point at;
};

/// Keeps accelerators for a waiting job while others are stopped there.
struct reserve_cells {
  job_id job;
  std::optional<guarantee_slot> claim;
  std::vector<assignment> cells;
};

/// Every worker of the gang is prepared: the gang starts.
struct start_job {
  job_id job;
  std::uint32_t attempt = 0;
  time_point at;
};

/// Asks a running job to save its progress and give its accelerators back.
struct checkpoint_job {
  job_id job;
  std::uint32_t attempt = 0;
  std::string reason;
  time_point at;
};

enum class attempt_result { done, failed, interrupted };

/// Ends an attempt on all workers of the gang. Its accelerators stay held
/// until they are released.
struct end_attempt {
  job_id job;
  std::uint32_t attempt = 0;
  attempt_result result = attempt_result::interrupted;
  bool requeue = false;
  std::string worker;  // where it failed; empty if no worker is to blame
  milliseconds progress{0};
  std::string reason;
  time_point at;
};

/// Ends a queued job that can never run.
struct refuse_job {
  job_id job;
  std::string reason;
  time_point at;
};

/// Frees accelerators: their stop is confirmed or their lease has run out.
struct release_workers {
  job_id job;
  std::uint32_t attempt = 0;
  std::vector<std::string> workers;
};

/// Where a guaranteed gang can always be placed.
struct guarantee_home {
  guarantee_slot slot;
  std::vector<assignment> cells;
};

/// Replaces the homes of the slots named and drops those of `removed`.
struct move_homes {
  std::vector<guarantee_home> homes;
  std::vector<guarantee_slot> removed;
};

/// Claims a key before the first byte of its request goes out.
struct claim_key {
  key_name name;
  std::uint64_t digest = 0;  // of the request
  std::string owner;         // entry, incarnation and request
  time_point deadline;
  time_point at;
};

/// Stores the answer of a request that ran.
struct finish_key {
  key_name name;
  std::string owner;
  stored_response answer;
  time_point at;
};

/// Gives up a claim whose request provably did not run.
struct drop_key {
  key_name name;
  std::string owner;
};

using command =
    std::variant<put_file, delete_file, submit_job, cancel_jobs, place_job,
                 reserve_cells, start_job, checkpoint_job, end_attempt,
                 refuse_job, release_workers, move_homes, claim_key, finish_key,
                 drop_key>;

}  // namespace parsleyledge
