#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds housekeeping_interval{1000};

}  // namespace

// Brings the watches of runs and the use of workers in line with the tables:
// those of the jobs that have changed, as most have not.
void dispatcher::sweep(const fleet_tables& tables, clock_reading now) {
  for (auto token : std::exchange(committed_, {})) planned_.erase(token);
  if (std::exchange(watch_all_anew_, false)) {
    for (auto& [name, worker] : workers_) {
      worker.used = {};
      worker.runs.clear();
    }
    for (auto& [id, watched] : watched_) watched.revision.reset();
  }
  auto known = watched_.begin();
  for (const auto& [id, job] : tables.jobs) {
    while (known != watched_.end() && known->first < id) {
      known = watched_.erase(known);  // a forgotten job holds no worker
    }
    if (known == watched_.end() || known->first != id) {
      known = watched_.emplace_hint(known, id, watched_job{});
    }
    auto& watched = known->second;
    ++known;
    if (watched.revision == job.revision) continue;
    watched.revision = job.revision;
    watch_job(job, watched, now);
  }
  watched_.erase(known, watched_.end());
  if (now.steady - swept_at_ < housekeeping_interval) return;
  swept_at_ = now.steady;
  forget_what_is_over(tables, now);
}

void dispatcher::forget_what_is_over(const fleet_tables& tables,
                                     clock_reading now) {
  std::erase_if(reclaim_tried_, [&](const auto& item) {
    auto job = tables.jobs.find(item.first.job);
    return job == tables.jobs.end() || is_ended(job->second);
  });
  std::erase_if(failing_, [&](job_id id) { return !tables.jobs.contains(id); });
  tickets_.erase_unless([&](job_id id) {
    auto job = tables.jobs.find(id);
    return job != tables.jobs.end() && !is_ended(job->second);
  });
  std::erase_if(ending_,
                [&](const task_ref& ref) { return !runs_.contains(ref); });
  std::erase_if(workers_, [&](const auto& item) {
    const auto& worker = item.second;
    return find_worker(tables, worker.incarnation) == nullptr &&
           worker.runs.empty() &&
           now.steady - worker.reported_at > limits_.report_silence;
  });
}

void dispatcher::unwatch(tracked_run& run, const resources& need) {
  auto worker = workers_.find(run.worker.name);
  if (worker == workers_.end() || worker->second.incarnation != run.worker)
    return;
  auto& runs = worker->second.runs;
  auto it = std::ranges::find(runs, &run);
  if (it == runs.end()) return;
  runs.erase(it);
  worker->second.used -= need;
}

void dispatcher::watch_job(const job_record& job, watched_job& watched,
                           clock_reading now) {
  auto before = std::exchange(watched.runs, {});
  for (const auto& name : before) {
    auto run = runs_.find(name);
    if (run == runs_.end()) continue;
    unwatch(run->second, reserved_by(job.spec.steps[name.step]));
  }
  for (const auto& [number, occurrence] : job.open) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      watch_step(job, {job.spec.id, number, s}, watched, now);
    }
  }
  // Both lists are in the order of the tasks.
  for (const auto& name : before) {
    if (!std::ranges::binary_search(watched.runs, name)) runs_.erase(name);
  }
  fail_if_out_of_attempts(job, now);
}

void dispatcher::watch_step(const job_record& job, const step_ref& ref,
                            watched_job& watched, clock_reading now) {
  const auto& spec = job.spec.steps[ref.step];
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  bool broken = false;
  auto first = watched.runs.size();
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const auto& task = step.tasks[i];
    if (!task.assigned) {
      broken = broken || (spec.gang && step.done == 0 && task.run != 0 &&
                          task.run == step.last_run);
      continue;
    }
    task_ref name{ref.job, ref.occurrence, ref.step, i};
    watch_run(spec, task, name, now);
    watched.runs.push_back(name);
  }
  bool over = is_ended(job) && job.state != job_state::complete;
  if (!over && !broken) return;
  auto reason = over ? to_string(job.state) : "a member ended";
  for (auto i = first; i < watched.runs.size(); ++i) {
    stop_run(runs_.at(watched.runs[i]), reason);
  }
}

void dispatcher::watch_run(const step_spec& spec, const task_record& task,
                           const task_ref& name, clock_reading now) {
  auto& run = runs_[name];
  if (run.run != task.run || run.worker != task.worker) {
    run = {};
    run.task = name;
    run.run = task.run;
    run.worker = task.worker;
    run.placed_at = run.responded_at = run.progressed_at = now.steady;
    ending_.erase(name);
  }
  auto worker = workers_.find(task.worker.name);
  if (worker == workers_.end() || worker->second.incarnation != task.worker)
    return;
  worker->second.used += reserved_by(spec);
  worker->second.runs.push_back(&run);
}

void dispatcher::stop_run(tracked_run& run, std::string_view reason) {
  bool stops =
      run.phase == run_phase::to_stop || run.phase == run_phase::stopping ||
      run.phase == run_phase::stopped || run.phase == run_phase::unconfirmed;
  if (stops) return;
  note("stop", {{"task", fleet::to_string(run.task)},
                {"run", std::to_string(run.run)},
                {"worker", run.worker.name},
                {"reason", std::string(reason)}});
  run.phase = run_phase::to_stop;
  run.next_try = {};
}

void dispatcher::fail_if_out_of_attempts(const job_record& job,
                                         clock_reading now) {
  if (is_ended(job) || failing_.contains(job.spec.id)) return;
  const auto* where = find_queue(*site_, job.spec.queue);
  if (where == nullptr) return;
  for (const auto& [number, occurrence] : job.open) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      if (!out_of_attempts(job.spec.steps[s], occurrence.steps[s],
                           where->attempts)) {
        continue;
      }
      if (!failing_.insert(job.spec.id).second) continue;
      note("job_failed", {{"job", fleet::to_string(job.spec.id)},
                          {"step", std::to_string(s)},
                          {"attempts", std::to_string(where->attempts)}});
      propose_command(fail_job{job.spec.id, "out of attempts", now.wall});
    }
  }
}

}  // namespace parsleyledge::fleet
