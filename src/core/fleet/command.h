#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/fleet/records.h"

namespace parsleyledge::fleet {

/// Puts a configuration in force, if its version is higher than the current
/// one.
struct put_site {
  std::uint64_t version = 0;
  std::string document;
};

/// Adds a job, unless one of this id exists.
struct add_job {
  job_spec spec;
  time_point at;
};

struct cancel_job {
  job_id job;
  time_point at;
};

/// Ends a job of which a step has used all its attempts.
struct fail_job {
  job_id job;
  std::string reason;
  time_point at;
};

/// Assigns one task to a worker.
struct placement {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
};

/// Assigns tasks to workers; all tasks of a gang in one command.
struct place_tasks {
  std::vector<placement> placements;
  time_point at;
};

/// How a run ended, as its worker reports it.
enum class run_end {
  done,
  failed,           // because of the task or of the worker
  stopped,          // by a stop request
  lease_expired,    // its lease expired
  gang_broken,      // another member of the gang ended
  gang_incomplete,  // the other members did not start in time
  lost              // unknown: the worker is gone, or never started it
};

/// The name in logs.
auto to_string(run_end outcome) -> std::string_view;

struct ended_run {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
  run_end outcome = run_end::lost;
  std::string snapshot;
};

/// Records the ends of runs.
struct end_runs {
  std::vector<ended_run> runs;
  time_point at;
};

/// A run whose start was sent to its worker.
struct sent_start {
  task_ref task;
  std::uint32_t run = 0;
};

/// Records that the starts of runs were confirmed, or were sent and got no
/// response, so that a later leader knows it if their worker has crashed.
struct record_starts {
  std::vector<sent_start> starts;
};

/// What is known about the start of a run.
enum class start_evidence {
  none,      // none that counts: placed only, or its worker fell silent
  sent,      // sent, and not rejected
  confirmed  // confirmed by the worker
};

/// The name in logs.
auto to_string(start_evidence evidence) -> std::string_view;

/// A run that may have crashed its worker.
struct suspected_run {
  task_ref task;
  std::uint32_t run = 0;
  start_evidence evidence = start_evidence::none;

  auto operator==(const suspected_run&) const -> bool = default;
};

/// Adds or updates the record of a worker: a new incarnation, or a drain. A new
/// incarnation ends the earlier ones of its name and machine; `suspects` are
/// their runs that may have crashed them.
struct put_worker {
  worker_record worker;
  std::vector<suspected_run> suspects;
};

/// Removes the record of an incarnation of a worker that has ended. `suspects`
/// are its runs that may have crashed it; none if it left.
struct remove_worker {
  worker_incarnation incarnation;
  std::vector<suspected_run> suspects;
};

struct add_wave {
  std::uint64_t number = 0;
  wave_record wave;
};

/// Records that the maintenance of a machine is to be requested, so that later
/// leaders count the machine among those under maintenance.
struct record_maintenance_request {
  std::uint64_t wave = 0;
  std::string machine;
};

/// Records that a machine's maintenance has begun or ended.
struct record_maintenance {
  std::uint64_t wave = 0;
  std::string machine;
  bool ended = false;
  std::int64_t started_at_ms = 0;  // of the incarnation that maintenance ends
};

struct recorded_speed {
  std::string machine;
  machine_speed speed;
};

/// Records learned speeds of machines, for later leaders.
struct record_speeds {
  std::vector<recorded_speed> speeds;
};

/// Orders that no task is started in a data centre until it is restored. Of
/// orders on one data centre the last in the log is in force.
struct evacuate_data_centre {
  std::string data_centre;
  time_point at;
};

/// Withdraws the evacuation of a data centre.
struct restore_data_centre {
  std::string data_centre;
};

/// Changes nothing. Once it is committed, the tables contain everything that
/// was acknowledged before it was proposed.
struct read_barrier {};

using command =
    std::variant<read_barrier, put_site, add_job, cancel_job, fail_job,
                 place_tasks, end_runs, put_worker, remove_worker, add_wave,
                 record_maintenance, record_speeds, record_starts,
                 record_maintenance_request, evacuate_data_centre,
                 restore_data_centre>;

/// The result of a command.
enum class command_outcome {
  done,
  repeated,       // it was applied before; nothing changed
  not_found,      // there is no such job
  not_committed,  // a later leader's command replaced it in the log
  undetermined    // it may or may not have been committed
};

}  // namespace parsleyledge::fleet
