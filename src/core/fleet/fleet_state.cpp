#include "core/fleet/fleet_state.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// How long the state of an ended job stays available. Callers may read it for
// two minutes after the end; the rest allows for clock skew.
constexpr std::chrono::minutes ended_job_retention{4};

auto make_occurrence(const job_spec& spec) -> occurrence_record {
  occurrence_record occurrence;
  occurrence.steps.resize(spec.steps.size());
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(spec.steps[i].tasks);
  }
  return occurrence;
}

auto find_task(job_record& job, const task_ref& ref) -> task_record* {
  auto it = job.open.find(ref.occurrence);
  if (it == job.open.end() || ref.step >= it->second.steps.size()) {
    return nullptr;
  }
  auto& tasks = it->second.steps[ref.step].tasks;
  return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

/// Whether an end is of the last run of a task and changes the task. A run that
/// was recorded as lost may still turn out to be done.
auto is_new_end(const task_record& task, const ended_run& end) -> bool {
  if (task.run != end.run || task.worker != end.worker) return false;
  return task.assigned || (end.outcome == run_end::done && !task.done);
}

}  // namespace

fleet_state::fleet_state(fleet_tables tables) : tables_(std::move(tables)) {
  for (const auto& [id, job] : tables_.jobs)
    stored_jobs_.add(job.spec.customer, stored_bytes(job.spec));
}

auto fleet_state::apply(const command& command) -> command_outcome {
  return std::visit([this](const auto& one) { return apply_one(one); },
                    command);
}

auto fleet_state::apply_one(const read_barrier&) -> command_outcome {
  return command_outcome::done;
}

auto fleet_state::apply_one(const put_site& command) -> command_outcome {
  if (command.version <= tables_.site_version) return command_outcome::repeated;
  tables_.site_version = command.version;
  tables_.site_document = command.document;
  return command_outcome::done;
}

auto fleet_state::apply_one(const add_job& command) -> command_outcome {
  auto [it, added] = tables_.jobs.try_emplace(command.spec.id);
  if (!added) return command_outcome::repeated;
  it->second.spec = command.spec;
  it->second.accepted_at = command.at;
  stored_jobs_.add(command.spec.customer, stored_bytes(command.spec));
  update_revision(it->second);
  erase_ended_jobs(command.at);
  return command_outcome::done;
}

void fleet_state::erase_ended_jobs(time_point now) {
  while (!tables_.ended.empty()) {
    auto it = tables_.jobs.find(tables_.ended.front());
    if (it != tables_.jobs.end()) {
      if (now - it->second.ended_at < ended_job_retention) return;
      if (has_assigned_tasks(it->second)) return;
      const auto& spec = it->second.spec;
      stored_jobs_.remove(spec.customer, stored_bytes(spec));
      tables_.jobs.erase(it);
    }
    tables_.ended.pop_front();
  }
}

void fleet_state::end_job(job_record& job, job_state state, time_point at) {
  if (is_ended(job)) return;
  job.state = state;
  job.ended_at = at;
  update_revision(job);
  tables_.ended.push_back(job.spec.id);
}

auto fleet_state::apply_one(const cancel_job& command) -> command_outcome {
  auto it = tables_.jobs.find(command.job);
  if (it == tables_.jobs.end()) return command_outcome::not_found;
  if (is_ended(it->second)) return command_outcome::repeated;
  end_job(it->second, job_state::cancelled, command.at);
  return command_outcome::done;
}

auto fleet_state::apply_one(const fail_job& command) -> command_outcome {
  auto it = tables_.jobs.find(command.job);
  if (it == tables_.jobs.end()) return command_outcome::not_found;
  if (is_ended(it->second)) return command_outcome::repeated;
  end_job(it->second, job_state::failed, command.at);
  return command_outcome::done;
}

auto fleet_state::apply_one(const place_tasks& command) -> command_outcome {
  for (const auto& assignment : command.placements) place(assignment);
  return command_outcome::done;
}

// Skips a placement that no longer matches the tables: the job may have been
// cancelled, the worker removed, or its data centre evacuated, before the
// command was committed.
void fleet_state::place(const placement& assignment) {
  auto it = tables_.jobs.find(assignment.task.job);
  if (it == tables_.jobs.end() || is_ended(it->second)) return;
  auto worker = tables_.workers.find(assignment.worker.name);
  if (worker == tables_.workers.end() ||
      worker->second.incarnation != assignment.worker) {
    return;
  }
  if (is_evacuated(tables_, worker->second)) return;
  auto& job = it->second;
  bool finished =
      assignment.task.occurrence < job.first_open ||
      std::ranges::find(job.done_early, assignment.task.occurrence) !=
          job.done_early.end();
  if (finished) return;
  if (!job.open.contains(assignment.task.occurrence)) {
    job.open.emplace(assignment.task.occurrence, make_occurrence(job.spec));
  }
  auto* task = find_task(job, assignment.task);
  if (task == nullptr || task->assigned || task->done) return;
  task->assigned = true;
  task->run = assignment.run;
  task->worker = assignment.worker;
  task->start_sent = false;
  auto& step =
      job.open.at(assignment.task.occurrence).steps[assignment.task.step];
  step.last_run = std::max(step.last_run, assignment.run);
  job.state = job_state::running;
  update_revision(job);
}

auto fleet_state::apply_one(const end_runs& command) -> command_outcome {
  for (const auto& end : command.runs) end_run(end, command.at);
  return command_outcome::done;
}

void fleet_state::end_run(const ended_run& end, time_point at) {
  auto it = tables_.jobs.find(end.task.job);
  if (it == tables_.jobs.end()) return;
  auto& job = it->second;
  auto* task = find_task(job, end.task);
  if (task == nullptr || !is_new_end(*task, end)) return;
  task->assigned = false;
  update_revision(job);
  const auto& spec = job.spec.steps[end.task.step];
  auto& step = job.open.at(end.task.occurrence).steps[end.task.step];
  if (spec.gang) {
    end_task_of_gang(job, end);
  } else {
    if (!end.snapshot.empty()) task->snapshot = end.snapshot;
    if (end.outcome == run_end::failed) ++task->failures;
    if (end.outcome == run_end::done && !spec.long_running && !task->done) {
      task->done = true;
      ++step.done;
    }
  }
  if (!is_ended(job)) finish_step(job, end.task.occurrence, at);
}

// The members of a gang share one end: if one task is done, all are, and a
// failed run of the gang counts once.
void fleet_state::end_task_of_gang(job_record& job, const ended_run& end) {
  const auto& spec = job.spec.steps[end.task.step];
  auto& step = job.open.at(end.task.occurrence).steps[end.task.step];
  if (!end.snapshot.empty()) step.snapshot = end.snapshot;
  if (end.outcome == run_end::failed && step.failed_run < end.run) {
    step.failed_run = end.run;
    ++step.failures;
  }
  if (end.outcome != run_end::done || spec.long_running || step.done > 0)
    return;
  step.done = static_cast<std::uint32_t>(step.tasks.size());
  for (auto& member : step.tasks) member.done = true;
}

// Ends the occurrence and the job when their last step is done. An occurrence
// stays open while a task is still assigned to a worker.
void fleet_state::finish_step(job_record& job, std::uint32_t occurrence,
                              time_point at) {
  auto it = job.open.find(occurrence);
  auto& steps = it->second.steps;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (!is_done(job.spec.steps[i], steps[i])) return;
  }
  bool counted = it->second.done == steps.size();
  if (!counted) {
    it->second.done = static_cast<std::uint32_t>(steps.size());
    ++job.occurrences_done;
  }
  if (job.occurrences_done == occurrences_of(job.spec)) {
    end_job(job, job_state::complete, at);
  }
  for (const auto& step : steps) {
    if (std::ranges::any_of(step.tasks, &task_record::assigned)) return;
  }
  job.open.erase(it);
  job.done_early.push_back(occurrence);
  auto find_next = [&] {
    return std::ranges::find(job.done_early, job.first_open);
  };
  for (auto next = find_next(); next != job.done_early.end();
       next = find_next()) {
    job.done_early.erase(next);
    ++job.first_open;
  }
}

// Counts a crash for the tasks that may be its cause. A task whose start may
// never have been sent is suspected, but the crash does not count against it.
void fleet_state::count_crash(std::span<const suspected_run> suspects) {
  bool alone = std::ranges::all_of(suspects, [&](const suspected_run& one) {
    return one.task.job == suspects.front().task.job;
  });
  for (const auto& suspect : suspects) {
    auto it = tables_.jobs.find(suspect.task.job);
    if (it == tables_.jobs.end()) continue;
    auto* task = find_task(it->second, suspect.task);
    if (task == nullptr || !task->assigned || task->run != suspect.run) {
      continue;
    }
    bool is_started = suspect.evidence == start_evidence::confirmed;
    task->suspected = true;
    if (suspect.evidence != start_evidence::none) ++task->crashes;
    if (is_started) ++task->started_crashes;
    task->crashed_alone = alone && is_started;
    update_revision(it->second);
  }
}

void fleet_state::mark_runs_lost(const worker_incarnation& incarnation) {
  std::vector<ended_run> lost;
  for (auto& [id, job] : tables_.jobs) {
    for (auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& tasks = occurrence.steps[s].tasks;
        for (std::uint32_t t = 0; t < tasks.size(); ++t) {
          if (!tasks[t].assigned || tasks[t].worker != incarnation) continue;
          lost.push_back({{id, number, s, t},
                          tasks[t].run,
                          incarnation,
                          run_end::lost,
                          {}});
        }
      }
    }
  }
  for (const auto& end : lost) end_run(end, {});
}

auto fleet_state::apply_one(const put_worker& command) -> command_outcome {
  auto& record = tables_.workers[command.worker.incarnation.name];
  if (record.incarnation.started_at_ms >
      command.worker.incarnation.started_at_ms) {
    return command_outcome::repeated;
  }
  count_crash(command.suspects);
  if (record.incarnation.started_at_ms != 0 &&
      record.incarnation != command.worker.incarnation) {
    mark_runs_lost(record.incarnation);
  }
  record = command.worker;
  remove_earlier_incarnations(command.worker);
  return command_outcome::done;
}

// A machine runs one worker at a time, so an earlier worker of the machine has
// ended even if it did not report that.
void fleet_state::remove_earlier_incarnations(const worker_record& latest) {
  if (latest.machine.empty()) return;
  std::vector<worker_incarnation> ended;
  for (const auto& [name, other] : tables_.workers) {
    if (other.machine == latest.machine && name != latest.incarnation.name &&
        other.incarnation.started_at_ms < latest.incarnation.started_at_ms) {
      ended.push_back(other.incarnation);
    }
  }
  for (const auto& incarnation : ended) {
    apply_one(remove_worker{incarnation, {}});
  }
}

auto fleet_state::apply_one(const remove_worker& command) -> command_outcome {
  auto it = tables_.workers.find(command.incarnation.name);
  if (it == tables_.workers.end() ||
      it->second.incarnation != command.incarnation) {
    return command_outcome::repeated;
  }
  count_crash(command.suspects);
  mark_runs_lost(command.incarnation);
  tables_.workers.erase(it);
  return command_outcome::done;
}

auto fleet_state::apply_one(const add_wave& command) -> command_outcome {
  auto [it, added] = tables_.waves.try_emplace(command.number, command.wave);
  return added ? command_outcome::done : command_outcome::repeated;
}

auto fleet_state::apply_one(const evacuate_data_centre& command)
    -> command_outcome {
  auto [it, added] = tables_.evacuations.try_emplace(
      command.data_centre, evacuation_record{command.at});
  return added ? command_outcome::done : command_outcome::repeated;
}

auto fleet_state::apply_one(const restore_data_centre& command)
    -> command_outcome {
  bool erased = tables_.evacuations.erase(command.data_centre) != 0;
  return erased ? command_outcome::done : command_outcome::repeated;
}

auto fleet_state::apply_one(const record_maintenance_request& command)
    -> command_outcome {
  auto it = tables_.waves.find(command.wave);
  if (it == tables_.waves.end()) return command_outcome::not_found;
  auto& requested = it->second.requested;
  if (std::ranges::find(requested, command.machine) != requested.end()) {
    return command_outcome::repeated;
  }
  requested.push_back(command.machine);
  return command_outcome::done;
}

auto fleet_state::apply_one(const record_maintenance& command)
    -> command_outcome {
  auto it = tables_.waves.find(command.wave);
  if (it == tables_.waves.end()) return command_outcome::not_found;
  auto& wave = it->second;
  if (command.ended) {
    if (std::ranges::find(wave.ended, command.machine) != wave.ended.end()) {
      return command_outcome::repeated;
    }
    wave.ended.push_back(command.machine);
    return command_outcome::done;
  }
  bool has_begun =
      std::ranges::any_of(wave.started, [&](const maintenance_begun& one) {
        return one.machine == command.machine;
      });
  if (has_begun) return command_outcome::repeated;
  wave.started.push_back({command.machine, command.started_at_ms});
  return command_outcome::done;
}

auto fleet_state::apply_one(const record_speeds& command) -> command_outcome {
  for (const auto& one : command.speeds)
    tables_.speeds[one.machine] = one.speed;
  return command_outcome::done;
}

auto fleet_state::apply_one(const record_starts& command) -> command_outcome {
  for (const auto& start : command.starts) {
    auto it = tables_.jobs.find(start.task.job);
    if (it == tables_.jobs.end()) continue;
    auto* task = find_task(it->second, start.task);
    if (task == nullptr || !task->assigned || task->run != start.run) continue;
    task->start_sent = true;
  }
  return command_outcome::done;
}

}  // namespace parsleyledge::fleet
