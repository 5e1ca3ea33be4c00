#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

constexpr std::uint32_t failures_to_quarantine = 2;
constexpr std::uint32_t max_doublings = 3;
constexpr std::uint32_t complete_percent = 100;
// A task on the slowest machine and a wrong rack takes a twentieth of its
// estimate for one per cent of progress, even if the estimate is a third of its
// real length.
constexpr int stall_estimate_divisor = 10;
// A stop that saves a checkpoint takes 200 ms, its request up to two round
// trips.
constexpr milliseconds checkpoint_stop_time{600};

// A worker that falls silent is cut off, and may crash behind the cut for any
// reason. A crashed process closes its connections.
auto evidence_of(const tracked_run& run) -> start_evidence {
  if (run.contact == worker_contact::silent) return start_evidence::none;
  if (run.started_at != time_point{}) return start_evidence::confirmed;
  bool was_sent = run.start_sent || run.phase == run_phase::starting;
  return was_sent ? start_evidence::sent : start_evidence::none;
}

}  // namespace

void dispatcher::attribute_failure(worker_state& worker, const task_ref& task,
                                   run_end outcome, clock_reading now) {
  if (outcome == run_end::done) worker.failures = 0;
  if (outcome != run_end::failed) return;
  auto attribution = failed_steps_.record(
      {task.job, task.occurrence, task.step}, worker.incarnation.name);
  clear_failures(attribution);
  if (!attribution.worker_suspected) return;
  ++worker.failures;
  if (worker.failures >= failures_to_quarantine) {
    quarantine(worker, "failed runs", now);
  }
}

// Clears the failures of the first worker once the step has failed on another
// one, too.
void dispatcher::clear_failures(const failure_attribution& attribution) {
  auto it = workers_.find(attribution.cleared_worker);
  if (it == workers_.end()) return;
  auto& worker = it->second;
  bool quarantined = worker.failures >= failures_to_quarantine;
  worker.failures -= std::min(worker.failures, attribution.cleared_failures);
  if (!quarantined || worker.failures >= failures_to_quarantine) return;
  worker.quarantined_until = {};
  log_decision("quarantine_lifted",
               {{"worker", worker.incarnation.name},
                {"reason", "the step also fails on other workers"}});
}

void dispatcher::quarantine(worker_state& worker, std::string_view reason,
                            clock_reading now) {
  worker.failures = std::max(worker.failures, failures_to_quarantine);
  auto doublings =
      std::min(worker.failures - failures_to_quarantine, max_doublings);
  auto length = limits_.initial_quarantine * (1 << doublings);
  worker.quarantined_until = now.steady + length;
  log_decision("quarantined", {{"worker", worker.incarnation.name},
                               {"reason", std::string(reason)},
                               {"failures", std::to_string(worker.failures)},
                               {"for_ms", std::to_string(length.count())}});
}

// The runs that may have crashed a worker that ended without a notice: those
// that it may have started, but for those that it ran for a while. None if the
// worker was draining or under maintenance, which it does not survive. Whether
// an earlier leader sent the start is known only if it recorded that.
auto dispatcher::crash_suspects(const fleet_tables& tables,
                                const worker_incarnation& ended)
    -> std::vector<suspected_run> {
  const auto* record = find_worker(tables, ended);
  if (record == nullptr || record->draining) return {};
  auto drain = drains_.find(machine_of(*record));
  bool may_have_begun =
      drain != drains_.end() &&
      (drain->second.was_requested || drain->second.in_maintenance);
  if (may_have_begun) return {};
  std::vector<suspected_run> suspects;
  for (const auto& [ref, run] : runs_) {
    if (run.worker != ended || run.outlived_start) continue;
    bool may_be_sent =
        run.phase != run_phase::to_start || run.start_unconfirmed;
    if (!may_be_sent) continue;
    auto evidence = evidence_of(run);
    suspects.push_back({ref, run.run, evidence});
    log_decision("crash_suspected",
                 {{"task", fleet::to_string(ref)},
                  {"run", std::to_string(run.run)},
                  {"worker", ended.name},
                  {"start", std::string(to_string(evidence))}});
  }
  return suspects;
}

// Records which of the starts were sent, for a later leader may have to judge
// whether they crashed their worker.
void dispatcher::record_sent_starts(std::span<tracked_run* const> runs) {
  record_starts sent;
  for (auto* run : runs) {
    bool is_of_use = !run->outlived_start && !run->start_recorded &&
                     evidence_of(*run) != start_evidence::none;
    if (!is_of_use) continue;
    run->start_recorded = true;
    sent.starts.push_back({run->task, run->run});
  }
  if (!sent.starts.empty()) propose_command(std::move(sent));
}

// Whether a started run has made no progress for longer than a healthy worker
// needs for one per cent. A gang makes progress only once all members have
// started, so it is stalled only if all of them are.
auto dispatcher::is_stalled(const fleet_tables& tables, const tracked_run& run,
                            clock_reading now) const -> bool {
  const auto& ref = run.task;
  if (run.phase != run_phase::started || run.percent >= complete_percent) {
    return false;
  }
  const auto& job = tables.jobs.at(ref.job);
  const auto& spec = job.spec.steps[ref.step];
  if (spec.long_running || is_ended(job) || run.throttle != complete_percent)
    return false;
  auto allowed =
      std::max(limits_.stall_timeout, spec.estimate / stall_estimate_divisor);
  auto lacks_progress = [&](const tracked_run& checked_run) {
    return checked_run.phase == run_phase::started &&
           now.steady - checked_run.progressed_at > allowed;
  };
  if (!spec.gang) return lacks_progress(run);
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    auto member = runs_.find({ref.job, ref.occurrence, ref.step, i});
    if (member == runs_.end() || !lacks_progress(member->second)) return false;
  }
  return true;
}

auto dispatcher::has_other_progress(const worker_incarnation& incarnation,
                                    const step_ref& step,
                                    clock_reading now) const -> bool {
  auto worker = workers_.find(incarnation.name);
  if (worker == workers_.end()) return false;
  return std::ranges::any_of(worker->second.runs, [&](const tracked_run* run) {
    const auto& ref = run->task;
    if (step_ref{ref.job, ref.occurrence, ref.step} == step) return false;
    return run->phase == run_phase::started &&
           run->percent > run->baseline_percent &&
           now.steady - run->progressed_at < limits_.stall_timeout;
  });
}

// Stops a stalled run, so that it starts on another worker; the members of a
// gang stall and are stopped together. Each of their workers is quarantined
// unless it makes progress on other steps.
void dispatcher::restart_stalled(const fleet_tables& tables,
                                 const task_ref& ref, clock_reading now) {
  const auto& job = tables.jobs.at(ref.job);
  const auto& tasks = job.open.at(ref.occurrence).steps[ref.step].tasks;
  step_ref step{ref.job, ref.occurrence, ref.step};
  bool gang = job.spec.steps[ref.step].gang;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    task_ref member{ref.job, ref.occurrence, ref.step, i};
    auto run = runs_.find(member);
    bool affected = (gang || i == ref.index) && run != runs_.end();
    if (!affected || run->second.phase != run_phase::started) continue;
    stop_run(run->second, run_stalled{});
    auto worker = workers_.find(run->second.worker.name);
    if (worker == workers_.end()) continue;
    bool healthy = has_other_progress(run->second.worker, step, now);
    if (healthy || worker->second.quarantined_until > now.steady) continue;
    quarantine(worker->second, "stalled run", now);
  }
}

// Moves work off a draining worker. Runs that will end before the drain
// deadline go on, and so do runs whose remaining time is unknown. Runs with
// checkpoints are stopped just in time to save their progress. Long-running
// tasks, and runs without checkpoints that need more than twice the time left,
// are stopped at once, so that they start elsewhere.
void dispatcher::drain_worker(const fleet_tables& tables,
                              const worker_state& worker, clock_reading now) {
  auto remaining = worker.drain_deadline - now.steady;
  if (worker.drain_deadline == time_point{} || remaining.count() < 0) return;
  const auto* record = find_worker(tables, worker.incarnation);
  if (record == nullptr || !record->draining) return;
  for (auto* run : worker.runs) {
    if (run->phase != run_phase::started) continue;
    const auto& spec = tables.jobs.at(run->task.job).spec.steps[run->task.step];
    auto time_to_end = time_left(*run, now.steady);
    bool ends_here =
        !spec.long_running && time_to_end && *time_to_end < remaining;
    bool cannot_finish =
        !spec.checkpoints && time_to_end && *time_to_end > 2 * remaining;
    bool must_stop_now = spec.checkpoints && remaining < checkpoint_stop_time;
    if (ends_here || !(spec.long_running || cannot_finish || must_stop_now))
      continue;
    stop_run(*run, worker_drains{});
  }
}

}  // namespace parsleyledge::fleet
