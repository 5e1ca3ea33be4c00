#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds cleanup_interval{1000};

/// The run of an assigned task, as far as the tables tell.
auto make_run(const task_record& task, const task_ref& name, time_point now)
    -> tracked_run {
  tracked_run run;
  run.task = name;
  run.run = task.run;
  run.worker = task.worker;
  run.placed_at = run.responded_at = run.progressed_at = now;
  run.start_sent = run.start_recorded = task.start_sent;
  return run;
}

}  // namespace

// Tracks the runs that earlier leaders placed. synchronize_runs() then decides
// which of them to stop, as for runs that this leader places.
void dispatcher::inherit_runs(const fleet_tables& tables, bool may_start_late,
                              clock_reading now) {
  for (const auto& [id, job] : tables.jobs) {
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& tasks = occurrence.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          if (!tasks[i].assigned) continue;
          task_ref name{id, number, s, i};
          auto run = make_run(tasks[i], name, now.steady);
          run.phase = run_phase::inherited;
          run.start_unconfirmed = may_start_late;
          if (job.spec.steps[s].backfill) inherit_throttle(run);
          runs_.emplace(name, std::move(run));
        }
      }
    }
  }
}

// The throttle that an earlier leader had learned for the worker is unknown. It
// starts low, as a high one could slow down serving work for seconds.
void dispatcher::inherit_throttle(tracked_run& run) {
  run.throttle.reset();
  auto worker = workers_.find(run.worker.name);
  if (worker != workers_.end()) worker->second.throttle.restrict();
}

// Synchronizes the tracked runs and the used capacity of workers with the
// tables. Only jobs whose revision has changed are visited in full.
void dispatcher::synchronize_runs(const fleet_tables& tables,
                                  clock_reading now) {
  for (auto token : std::exchange(committed_proposals_, {}))
    proposed_placements_.erase(token);
  if (std::exchange(resynchronize_all_, false)) {
    for (auto& [name, worker] : workers_) {
      worker.used = {};
      worker.runs.clear();
    }
    for (auto& [id, tracked] : tracked_jobs_) tracked.revision.reset();
  }
  auto known = tracked_jobs_.begin();
  for (const auto& [id, job] : tables.jobs) {
    while (known != tracked_jobs_.end() && known->first < id) {
      known = tracked_jobs_.erase(known);  // an erased job has no runs
    }
    if (known == tracked_jobs_.end() || known->first != id) {
      known = tracked_jobs_.emplace_hint(known, id, tracked_job{});
    }
    auto& tracked = known->second;
    ++known;
    if (tracked.revision == job.revision) continue;
    tracked.revision = job.revision;
    track_job(tables, job, tracked, now);
  }
  tracked_jobs_.erase(known, tracked_jobs_.end());
  if (now.steady - cleaned_up_at_ < cleanup_interval) return;
  cleaned_up_at_ = now.steady;
  erase_obsolete_state(tables, now);
}

void dispatcher::erase_obsolete_state(const fleet_tables& tables,
                                      clock_reading now) {
  auto is_open = [&](job_id id) {
    auto job = tables.jobs.find(id);
    return job != tables.jobs.end() && !is_ended(job->second);
  };
  std::erase_if(reclaim_tried_at_,
                [&](const auto& item) { return !is_open(item.first.job); });
  waits_.erase_unless(is_open);
  std::erase_if(gang_losses_,
                [&](const auto& item) { return !is_open(item.first.job); });
  std::erase_if(failing_jobs_,
                [&](job_id id) { return !tables.jobs.contains(id); });
  tickets_.erase_unless(is_open);
  std::erase_if(lost_runs_,
                [&](const task_ref& ref) { return !runs_.contains(ref); });
  std::erase_if(workers_, [&](const auto& item) {
    const auto& worker = item.second;
    return find_worker(tables, worker.incarnation) == nullptr &&
           worker.runs.empty() &&
           now.steady - worker.reported_at > limits_.report_timeout;
  });
}

void dispatcher::untrack_run(tracked_run& run, const resources& reserved) {
  auto worker = workers_.find(run.worker.name);
  if (worker == workers_.end() || worker->second.incarnation != run.worker)
    return;
  auto& runs = worker->second.runs;
  auto it = std::ranges::find(runs, &run);
  if (it == runs.end()) return;
  runs.erase(it);
  worker->second.used -= reserved;
}

void dispatcher::track_job(const fleet_tables& tables, const job_record& job,
                           tracked_job& tracked, clock_reading now) {
  auto previous = std::exchange(tracked.runs, {});
  for (const auto& name : previous) {
    auto run = runs_.find(name);
    if (run == runs_.end()) continue;
    untrack_run(run->second, reserved_by(job.spec.steps[name.step]));
  }
  for (const auto& [number, occurrence] : job.open) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      track_step(tables, job, {job.spec.id, number, s}, tracked, now);
    }
  }
  // Both lists are sorted by task.
  for (const auto& name : previous) {
    if (std::ranges::binary_search(tracked.runs, name)) continue;
    auto run = runs_.find(name);
    if (run == runs_.end()) continue;
    record_unlisted_end(tables, job, run->second, now);
    runs_.erase(run);
  }
  fail_if_hopeless(job, now);
}

void dispatcher::track_step(const fleet_tables& tables, const job_record& job,
                            const step_ref& ref, tracked_job& tracked,
                            clock_reading now) {
  const auto& spec = job.spec.steps[ref.step];
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  bool gang_is_broken = false;
  auto first = tracked.runs.size();
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const auto& task = step.tasks[i];
    if (!task.assigned) {
      // The member has ended, or its worker was removed before the placement
      // was committed.
      gang_is_broken = gang_is_broken || (spec.gang && step.done == 0);
      continue;
    }
    task_ref name{ref.job, ref.occurrence, ref.step, i};
    track_run(tables, job, task, name, now);
    tracked.runs.push_back(name);
  }
  bool ended_early = is_ended(job) && job.state != job_state::complete;
  if (!ended_early && !gang_is_broken) return;
  for (auto i = first; i < tracked.runs.size(); ++i) {
    auto& run = runs_.at(tracked.runs[i]);
    if (ended_early) {
      stop_run(run, job_over{job.state});
    } else {
      stop_run(run, gang_member_ended{});
    }
  }
}

void dispatcher::track_run(const fleet_tables& tables, const job_record& job,
                           const task_record& task, const task_ref& name,
                           clock_reading now) {
  auto& run = runs_[name];
  if (run.run != task.run || run.worker != task.worker) {
    if (run.run != 0) record_unlisted_end(tables, job, run, now);
    run = make_run(task, name, now.steady);
    lost_runs_.erase(name);
  }
  auto worker = workers_.find(task.worker.name);
  if (worker == workers_.end() || worker->second.incarnation != task.worker)
    return;
  worker->second.used += reserved_by(job.spec.steps[name.step]);
  worker->second.runs.push_back(&run);
}

void dispatcher::stop_run(tracked_run& run, loss_cause cause) {
  bool is_stopping =
      run.phase == run_phase::to_stop || run.phase == run_phase::stopping ||
      run.phase == run_phase::stopped || run.phase == run_phase::unconfirmed;
  if (is_stopping) return;
  log_decision("stop", {{"task", fleet::to_string(run.task)},
                        {"run", std::to_string(run.run)},
                        {"worker", run.worker.name},
                        {"reason", describe(cause)}});
  run.phase = run_phase::to_stop;
  run.next_attempt_at = {};
  run.stop_cause = std::move(cause);
}

// Fails a job with a step that has failed as often as its queue allows, or of
// which a task crashes the workers that start it.
void dispatcher::fail_if_hopeless(const job_record& job, clock_reading now) {
  if (is_ended(job) || failing_jobs_.contains(job.spec.id)) return;
  const auto* queue = queue_of(*site_, job.spec);
  for (const auto& [number, occurrence] : job.open) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& step = occurrence.steps[s];
      bool crashes = crashes_workers(step);
      bool out = queue != nullptr &&
                 out_of_attempts(job.spec.steps[s], step, queue->attempts);
      if (!crashes && !out) continue;
      std::string reason = crashes ? "crashes workers" : "out of attempts";
      failing_jobs_.insert(job.spec.id);
      log_decision("job_failed", {{"job", fleet::to_string(job.spec.id)},
                                  {"step", std::to_string(s)},
                                  {"reason", reason}});
      propose_command(fail_job{job.spec.id, std::move(reason), now.wall});
      return;
    }
  }
}

}  // namespace parsleyledge::fleet
