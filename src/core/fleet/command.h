#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/fleet/records.h"

namespace parsleyledge::fleet {

/// Puts a configuration in force, if its version is the highest yet.
struct put_site {
  std::uint64_t version = 0;
  std::string document;
};

/// Adds a job, unless one of this number exists.
struct add_job {
  job_spec spec;
  time_point at;
};

struct cancel_job {
  job_id job;
  time_point at;
};

/// Ends a job that failed too often.
struct fail_job {
  job_id job;
  std::string reason;
  time_point at;
};

/// One task given to a worker.
struct placement {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
};

/// Gives tasks to workers, in one step for all tasks of a gang.
struct place_tasks {
  std::vector<placement> placements;
  time_point at;
};

/// How a run ended, as its worker tells it.
enum class run_end {
  done,
  failed,           // by its own fault or the worker's
  stopped,          // as it was told
  lease_expired,    // its lease ran out
  gang_broken,      // another member of the gang ended
  gang_incomplete,  // the other members did not come
  lost              // nobody will tell: the worker is gone, or never started it
};

/// The end's name in logs.
auto to_string(run_end how) -> std::string_view;

struct ended_run {
  task_ref task;
  std::uint32_t run = 0;
  worker_incarnation worker;
  run_end how = run_end::lost;
  std::string snapshot;
};

/// Takes note of the ends of runs.
struct end_runs {
  std::vector<ended_run> runs;
  time_point at;
};

/// Notes a new incarnation of a worker, or that it drains.
struct put_worker {
  worker_record worker;
};

/// Notes that an incarnation of a worker is over.
struct remove_worker {
  worker_incarnation incarnation;
};

struct add_wave {
  std::uint64_t number = 0;
  wave_record wave;
};

/// Notes that a machine's maintenance has begun or ended.
struct record_maintenance {
  std::uint64_t wave = 0;
  std::string machine;
  bool ended = false;
  std::int64_t started_at_ms = 0;  // of the incarnation that it ends
};

struct recorded_speed {
  std::string machine;
  machine_speed speed;
};

/// Notes what was learned of machines' speeds, for leaders to come.
struct record_speeds {
  std::vector<recorded_speed> speeds;
};

/// Changes nothing. Once it is committed, the tables hold all that was
/// acknowledged before it was proposed.
struct read_barrier {};

using command =
    std::variant<read_barrier, put_site, add_job, cancel_job, fail_job,
                 place_tasks, end_runs, put_worker, remove_worker, add_wave,
                 record_maintenance, record_speeds>;

/// What a command did.
enum class command_outcome {
  done,
  repeated,       // it had been done before; nothing changed
  not_found,      // there is no such job
  not_committed,  // another leader's command took its place
  undetermined    // whether it was committed cannot be told
};

}  // namespace parsleyledge::fleet
