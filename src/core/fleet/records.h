#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/job_spec.h"
#include "core/fleet/worker_report.h"

namespace parsleyledge::fleet {

/// The state of a task. A task is assigned to its worker from the placement
/// until the worker lists its end or the worker's lease has expired.
struct task_record {
  std::uint32_t run = 0;  // number of its last run
  std::uint32_t failures = 0;
  bool suspected = false;      // a worker to which it was assigned crashed
  std::uint32_t crashes = 0;   // of workers to which its start was sent
  bool crashed_alone = false;  // the last crash was of tasks of its job only
  std::uint32_t started_crashes = 0;  // those after a confirmed start
  bool start_sent = false;  // of the last run, as far as a leader recorded it
  bool assigned = false;
  bool done = false;
  worker_incarnation worker;
  std::string snapshot;  // latest saved progress
};

struct step_record {
  std::vector<task_record> tasks;
  std::uint32_t done = 0;        // tasks
  std::uint32_t failures = 0;    // of the whole gang
  std::uint32_t failed_run = 0;  // last gang run counted as failed
  std::uint32_t last_run = 0;    // of a gang
  std::string snapshot;          // of a gang
};

struct occurrence_record {
  std::vector<step_record> steps;
  std::uint32_t done = 0;  // steps
};

enum class job_state { queued, running, complete, failed, cancelled };

struct job_record {
  job_spec spec;
  job_state state = job_state::queued;
  time_point accepted_at;  // wall clock
  time_point ended_at;     // wall clock
  std::map<std::uint32_t, occurrence_record> open;
  std::uint32_t occurrences_done = 0;
  std::uint32_t first_open = 0;           // all earlier occurrences are done
  std::vector<std::uint32_t> done_early;  // done, but after first_open
  std::uint64_t revision =
      0;  // of the last change in this copy; not replicated
};

struct worker_record {
  worker_incarnation incarnation;
  std::string address;
  std::string machine;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  bool draining = false;
  std::uint64_t sequence = 0;  // of the recorded report

  auto operator==(const worker_record&) const -> bool = default;
};

/// The machine that a worker runs on; the worker's name if it reports none.
auto machine_of(const worker_record& worker) -> std::string_view;

/// A machine whose maintenance has begun, and the start time of the worker
/// incarnation that it ended: a later incarnation shows that the machine is
/// back.
struct maintenance_begun {
  std::string machine;
  std::int64_t started_at_ms = 0;

  auto operator==(const maintenance_begun&) const -> bool = default;
};

/// A wave: machines that an operator wants to go through maintenance.
struct wave_record {
  std::vector<std::string> machines;
  milliseconds duration{0};
  std::uint32_t max_concurrent = 1;  // machines in maintenance at once
  time_point requested_at;           // wall clock
  // Machines whose maintenance is or was to be requested, begun or not.
  std::vector<std::string> requested;
  std::vector<maintenance_begun> started;
  std::vector<std::string> ended;
};

/// An operator's order that no task is started in a data centre.
struct evacuation_record {
  time_point requested_at;  // wall clock

  auto operator==(const evacuation_record&) const -> bool = default;
};

/// The speed of a machine, as a logarithm relative to the mean, and the weight
/// of the samples behind it.
struct machine_speed {
  double log_speed = 0;
  double weight = 0;

  auto operator==(const machine_speed&) const -> bool = default;
};

/// The replicated tables. Identical on every replica that applied the same
/// commands, but for the revisions.
struct fleet_tables {
  std::uint64_t site_version = 0;
  std::string site_document;  // as the operator sent it
  std::map<job_id, job_record> jobs;
  std::deque<job_id> ended;  // oldest first
  std::map<std::string, worker_record, std::less<>> workers;
  std::map<std::uint64_t, wave_record> waves;
  std::map<std::string, machine_speed, std::less<>> speeds;  // by machine
  // By data centre.
  std::map<std::string, evacuation_record, std::less<>> evacuations;
  std::uint64_t last_revision = 0;  // of this copy; not replicated
};

/// The task, or null if its job or occurrence is no longer open.
auto find_task(const fleet_tables& tables, const task_ref& ref)
    -> const task_record*;

/// The record of this incarnation of a worker, or null.
auto find_worker(const fleet_tables& tables,
                 const worker_incarnation& incarnation) -> const worker_record*;

/// Whether the data centre of a worker is under evacuation.
auto is_evacuated(const fleet_tables& tables, const worker_record& worker)
    -> bool;

/// An evacuation in force, with the tasks that are still assigned to workers of
/// the data centre.
struct evacuation_summary {
  std::string data_centre;
  time_point requested_at;  // wall clock
  std::size_t tasks = 0;
  std::size_t long_running = 0;  // among the tasks
};

/// The evacuations in force, by the name of the data centre.
auto summarize_evacuations(const fleet_tables& tables)
    -> std::vector<evacuation_summary>;

/// Whether a job is complete, failed or cancelled.
auto is_ended(const job_record& job) -> bool;

/// Whether a task of the job is still assigned to a worker.
auto has_assigned_tasks(const job_record& job) -> bool;

/// Whether a task of the step crashes the workers that start it, judged by the
/// crashes so far.
auto crashes_workers(const step_record& step) -> bool;

/// Whether all tasks of a step are done. Never true of long-running steps.
auto is_done(const step_spec& spec, const step_record& step) -> bool;

/// Whether the maintenance of every machine of the wave has ended, or the
/// machine does not exist.
auto is_complete(const wave_record& wave) -> bool;

/// The name in dumps and logs.
auto to_string(job_state state) -> std::string_view;

}  // namespace parsleyledge::fleet
