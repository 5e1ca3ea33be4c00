#pragma once

#include <span>

#include "core/fleet/command.h"
#include "core/fleet/job_ledger.h"

namespace parsleyledge::fleet {

/// Applies committed commands to the tables. Deterministic: the result depends
/// on the command and the tables alone.
class fleet_state {
 public:
  fleet_state() = default;
  explicit fleet_state(fleet_tables tables);

  auto apply(const command& command) -> command_outcome;
  auto tables() const -> const fleet_tables& { return tables_; }

  /// The memory of the stored jobs. Not replicated: derived from the tables.
  auto stored_jobs() const -> const job_ledger& { return stored_jobs_; }

 private:
  auto apply_one(const read_barrier& command) -> command_outcome;
  auto apply_one(const put_site& command) -> command_outcome;
  auto apply_one(const add_job& command) -> command_outcome;
  auto apply_one(const cancel_job& command) -> command_outcome;
  auto apply_one(const fail_job& command) -> command_outcome;
  auto apply_one(const place_tasks& command) -> command_outcome;
  auto apply_one(const end_runs& command) -> command_outcome;
  auto apply_one(const put_worker& command) -> command_outcome;
  auto apply_one(const remove_worker& command) -> command_outcome;
  auto apply_one(const add_wave& command) -> command_outcome;
  auto apply_one(const record_maintenance_request& command) -> command_outcome;
  auto apply_one(const record_maintenance& command) -> command_outcome;
  auto apply_one(const record_speeds& command) -> command_outcome;
  auto apply_one(const record_starts& command) -> command_outcome;
  auto apply_one(const evacuate_data_centre& command) -> command_outcome;
  auto apply_one(const restore_data_centre& command) -> command_outcome;

  void place(const placement& assignment);
  void end_run(const ended_run& end, time_point at);
  void end_task_of_gang(job_record& job, const ended_run& end);
  void finish_step(job_record& job, std::uint32_t occurrence, time_point at);
  void end_job(job_record& job, job_state state, time_point at);
  void remove_earlier_incarnations(const worker_record& latest);
  void count_crash(std::span<const suspected_run> suspects);
  void mark_runs_lost(const worker_incarnation& incarnation);
  void update_revision(job_record& job) {
    job.revision = ++tables_.last_revision;
  }
  void erase_ended_jobs(time_point now);

  fleet_tables tables_;
  job_ledger stored_jobs_;
};

}  // namespace parsleyledge::fleet
