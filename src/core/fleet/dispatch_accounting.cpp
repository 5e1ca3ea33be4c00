#include "core/fleet/dispatcher.h"

namespace parsleyledge::fleet {

namespace {

// Interval between two diagnoses of the same step.
constexpr milliseconds diagnosis_interval{200};

/// Why a run ended that was not stopped by a request.
auto cause_of(run_end outcome) -> loss_cause {
  switch (outcome) {
    case run_end::lease_expired:
      return lease_over{};
    case run_end::gang_broken:
    case run_end::stopped:
      return gang_member_ended{};
    case run_end::gang_incomplete:
      return gang_incomplete{};
    case run_end::lost:
      return worker_ended{};
    case run_end::done:
    case run_end::failed:
      break;
  }
  return task_failed{};
}

}  // namespace

// Records the end of a run that its worker listed.
void dispatcher::record_end(const job_record& job, tracked_run& run,
                            run_end outcome, clock_reading now) {
  if (outcome == run_end::done) {
    run.end_recorded = true;
    return;
  }
  bool was_stopped = outcome != run_end::failed && run.stop_cause;
  record_loss(job, run, was_stopped ? *run.stop_cause : cause_of(outcome), now);
}

// Records the work that is lost with a run, once. A stop saves the progress of
// a task with checkpoints; what an earlier checkpoint saved of a run that ended
// otherwise is not known and counts as lost.
void dispatcher::record_loss(const job_record& job, tracked_run& run,
                             const loss_cause& cause, clock_reading now) {
  if (std::exchange(run.end_recorded, true)) return;
  const auto& spec = job.spec.steps[run.task.step];
  bool is_saved = spec.checkpoints && run.stop_cause;
  bool has_work = run.started_at != time_point{} && !spec.long_running;
  if (is_saved || !has_work) return;
  work_discarded lost{run.task, run.run, run.worker.name, job.spec.queue,
                      cause};
  lost.core_ms = cores_of(spec) * (now.steady - run.started_at).count();
  if (spec.gang) attribute_to_gang(lost);
  effects_.emplace_back(std::move(lost));
}

// Records the end of a run that is no longer in the tables, though this leader
// has seen no end. Unless the worker has ended, another leader has seen it.
void dispatcher::record_unlisted_end(const fleet_tables& tables,
                                     const job_record& job, tracked_run& run,
                                     clock_reading now) {
  if (find_worker(tables, run.worker) != nullptr) {
    run.end_recorded = true;
  } else {
    record_loss(job, run, worker_ended{}, now);
  }
}

// The loss of a whole gang counts for what ended its first member.
void dispatcher::attribute_to_gang(work_discarded& lost) {
  const auto& ref = lost.task;
  auto& first = gang_losses_[{ref.job, ref.occurrence, ref.step}];
  bool is_first = first.run != lost.run;
  if (std::holds_alternative<gang_member_ended>(lost.cause)) {
    if (is_first) return;  // the first end has not been listed yet
    lost.cause = first.cause;
    lost.through_gang = true;
  } else if (is_first) {
    first = {lost.run, lost.cause};
  }
}

// The workers with all their free capacity, also what is kept for other work.
auto dispatcher::unreserved_candidates(const backlog_item& item,
                                       std::span<const std::size_t> rows,
                                       const planning_pass& pass) const
    -> std::vector<candidate> {
  auto candidates = candidates_for(item, rows, pass);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    candidates[i].free = pass.row(rows[i]).available;
  }
  return candidates;
}

// Records why a step that was tried could not be placed.
void dispatcher::record_wait(const backlog_item& item,
                             std::span<const candidate> candidates,
                             const placement_need& need,
                             const planning_pass& pass, clock_reading now) {
  if (waits_.is_recent(item.step, now.steady - diagnosis_interval)) return;
  if (item.job_queue->advice) {
    waits_.record(item.step, advice_pending{}, now.steady);
    return;
  }
  const auto& service = item.job_queue->service;
  const auto& label = item.spec->label;
  auto free = unreserved_candidates(item, pass.rows_of(service, label), pass);
  auto all =
      unreserved_candidates(item, pass.all_rows_of(service, label), pass);
  waits_.record(item.step, find_wait_cause(candidates, free, all, need),
                now.steady);
}

void dispatcher::record_pending_wait(const step_ref& step, clock_reading now) {
  if (reclaim_reservations_.contains(step)) {
    waits_.record(step, stops_pending{}, now.steady);
  }
}

void dispatcher::finish_wait(const step_ref& step, std::string_view queue,
                             clock_reading now) {
  auto shares = waits_.finish(step, now.steady);
  if (shares.empty()) return;
  effects_.emplace_back(
      wait_ended{step, std::string(queue), std::move(shares)});
}

}  // namespace parsleyledge::fleet
