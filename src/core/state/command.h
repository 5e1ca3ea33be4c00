#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/config/config_version.h"
#include "core/jobs/job.h"
#include "core/state/idempotency_key.h"

namespace parsleyledge {

/// Writes a file of the operators' configuration folder if `base` is the
/// current version; otherwise the result is a conflict. A repeated `change_id`
/// returns the first result.
struct put_file {
  std::string name;
  std::string body;
  config_version base;
  std::string change_id;
  std::uint64_t digest = 0;  // of name and body
  time_point at;
};

/// Removes a file of the operators' configuration folder, on the same terms as
/// `put_file`.
struct delete_file {
  std::string name;
  config_version base;
  std::string change_id;
  std::uint64_t digest = 0;
  time_point at;
};

/// Adds a job. If its customer submitted the same job under its key before,
/// the result names that job; another job under the key is a conflict.
struct submit_job {
  job_spec spec;
  time_point at;
};

/// Cancels a customer's jobs by key, and jobs of any customer by id, in one
/// step.
struct cancel_jobs {
  std::string customer;
  std::vector<std::string> keys;
  std::vector<job_id> ids;
  time_point at;
};

/// Assigns accelerators to a queued job, in one step for the whole gang. If
/// the job claims a guarantee on cells outside the slot's home, `new_home`
/// replaces that home.
struct place_job {
  job_id job;
  std::optional<guarantee_slot> claim;
  std::vector<assignment> assignments;
  std::vector<assignment> new_home;
  time_point at;
};

/// Reserves accelerators for a queued job while the jobs that occupy them are
/// stopped.
struct reserve_cells {
  job_id job;
  std::optional<guarantee_slot> claim;
  std::vector<assignment> cells;
};

/// Marks an attempt as running: every worker of the gang is prepared.
struct start_job {
  job_id job;
  std::uint32_t attempt = 0;
  time_point at;
};

/// Requests that a running job saves its progress and ends its attempt.
struct checkpoint_job {
  job_id job;
  std::uint32_t attempt = 0;
  std::string reason;
  time_point at;
};

/// How an attempt ended. An interrupted one was stopped by the scheduler or
/// lost a worker.
enum class attempt_result { done, failed, interrupted };

/// Ends an attempt on all workers of the gang. Its accelerators stay occupied
/// until they are released. `requeue` queues the job again.
struct end_attempt {
  job_id job;
  std::uint32_t attempt = 0;
  attempt_result result = attempt_result::interrupted;
  bool requeue = false;
  std::string worker;  // that it failed on; empty if on none
  milliseconds progress{0};
  std::string reason;
  time_point at;
};

/// Ends a queued job that can never run on this site.
struct reject_job {
  job_id job;
  std::string reason;
  time_point at;
};

/// Releases accelerators of an attempt that has ended, on workers that
/// confirmed the stop or restarted, or whose lease has expired.
struct release_workers {
  job_id job;
  std::uint32_t attempt = 0;
  std::vector<std::string> workers;
};

/// Accelerators set aside for one slot of a guarantee. Other work may borrow
/// them, and is reclaimed when a gang claims the slot.
struct guarantee_home {
  guarantee_slot slot;
  std::vector<assignment> cells;
};

/// Sets the homes of the slots in `homes` and removes those of the slots in
/// `removed`.
struct set_homes {
  std::vector<guarantee_home> homes;
  std::vector<guarantee_slot> removed;
};

/// Claims an idempotency key for a request, before the request is sent to an
/// endpoint.
struct claim_key {
  key_name name;
  std::uint64_t digest = 0;  // of the request
  std::string owner;         // names entry, its incarnation and the request
  time_point deadline;
  time_point at;
};

/// Stores the response to a request that ran. Only the owner of the key's
/// claim may do so.
struct complete_key {
  key_name name;
  std::string owner;
  stored_response response;
  time_point at;
};

/// Ends a claim whose request provably did not run, so that other requests can
/// claim the key. It may come before the claim, which is refused then.
struct release_key {
  key_name name;
  std::string owner;
};

/// Excludes a worker from new work, or admits it again.
struct drain_worker {
  std::string worker;
  bool draining = false;
};

/// An entry of the replicated log.
using command =
    std::variant<put_file, delete_file, submit_job, cancel_jobs, place_job,
                 reserve_cells, start_job, checkpoint_job, end_attempt,
                 reject_job, release_workers, set_homes, claim_key,
                 complete_key, release_key, drain_worker>;

}  // namespace parsleyledge
