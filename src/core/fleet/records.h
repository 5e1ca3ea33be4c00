#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/job_spec.h"
#include "core/fleet/worker_report.h"

namespace parsleyledge::fleet {

/// Where a task stands. A task holds its worker from the placement until its
/// end is listed by the worker, or the worker's lease has run out.
struct task_record {
  std::uint32_t run = 0;  // of its last start
  std::uint32_t failures = 0;
  bool assigned = false;
  bool done = false;
  worker_incarnation worker;
  std::string snapshot;  // newest saved progress
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
  std::uint32_t first_open = 0;  // all occurrences before it are done
  std::vector<std::uint32_t> done_early;
  std::uint64_t revision = 0;  // of this copy's last change; not replicated
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
};

/// The machine that a worker is an incarnation of; the worker itself if it did
/// not say.
auto machine_of(const worker_record& worker) -> std::string_view;

/// A machine whose maintenance has begun, and the start of the incarnation that
/// it ended: a later incarnation shows that the machine is back.
struct maintenance_begun {
  std::string machine;
  std::int64_t started_at_ms = 0;

  auto operator==(const maintenance_begun&) const -> bool = default;
};

/// Machines whose maintenance an operator asked for.
struct wave_record {
  std::vector<std::string> machines;
  milliseconds duration{0};
  std::uint32_t max_concurrent = 1;
  time_point asked_at;  // wall clock
  std::vector<maintenance_begun> begun;
  std::vector<std::string> ended;
};

/// How fast a machine is, as a logarithm relative to the others, and how much
/// that rests on.
struct machine_speed {
  double log_speed = 0;
  double weight = 0;

  auto operator==(const machine_speed&) const -> bool = default;
};

/// The replicated tables: the same on every replica after the same commands.
struct fleet_tables {
  std::uint64_t site_version = 0;
  std::string site_document;  // as the operator sent it
  std::map<job_id, job_record> jobs;
  std::deque<job_id> ended;  // oldest first
  std::map<std::string, worker_record, std::less<>> workers;
  std::map<std::uint64_t, wave_record> waves;
  std::map<std::string, machine_speed, std::less<>> speeds;  // by machine
  std::uint64_t last_revision = 0;  // of this copy; not replicated
};

/// The task, or null if its job or occurrence is no longer open.
auto find_task(const fleet_tables& tables, const task_ref& ref)
    -> const task_record*;

/// The record of this incarnation of a worker, or null.
auto find_worker(const fleet_tables& tables,
                 const worker_incarnation& incarnation) -> const worker_record*;

/// Whether a job's final state is known.
auto is_ended(const job_record& job) -> bool;

/// Whether a task of the job still holds a worker.
auto has_assigned_tasks(const job_record& job) -> bool;

/// Whether a step has ended.
auto is_done(const step_spec& spec, const step_record& step) -> bool;

/// Whether every machine of the wave had its maintenance, or is gone.
auto is_complete(const wave_record& wave) -> bool;

/// The state's name in dumps and logs.
auto to_string(job_state state) -> std::string_view;

}  // namespace parsleyledge::fleet
