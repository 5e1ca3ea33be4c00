#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

// After a rejection for a transient reason.
constexpr milliseconds retry_delay{20};
// After a rejection as stale, since another leader has a higher fence. Also how
// long a worker that rejected a run for lack of capacity is left out.
constexpr milliseconds fence_retry_delay{1000};
// After an unhealthy worker did not carry out a request, or no response came.
constexpr milliseconds unhealthy_retry_delay{300};
// Between probes of a worker without runs that does not respond.
constexpr milliseconds idle_probe_delay{1000};
// A poll lists this many ends. Others stay unlisted behind a withheld one.
constexpr std::size_t max_listed_ends = 500;
// Polls return at once while an end is listed that is not acknowledged.
constexpr milliseconds withheld_end_poll_delay{1000};
// Progress in per cent from which a machine's speed is measured.
constexpr std::uint32_t min_measured_progress = 10;
constexpr std::uint32_t complete_percent = 100;

/// Whether a second end of the task as done would complete it twice. Tasks of
/// ended jobs and long-running tasks never complete.
auto may_complete(const fleet_tables& tables, const task_ref& ref) -> bool {
  const auto* task = find_task(tables, ref);
  if (task == nullptr || task->done) return false;
  const auto& job = tables.jobs.at(ref.job);
  return !is_ended(job) && !job.spec.steps[ref.step].long_running;
}

/// Whether a run in this phase that a poll does not list is lost.
auto is_lost_if_unlisted(run_phase phase) -> bool {
  return phase == run_phase::started || phase == run_phase::stopped ||
         phase == run_phase::unconfirmed;
}

}  // namespace

auto dispatcher::handle_response(const fleet_tables& tables, std::uint64_t id,
                                 const worker_response& response,
                                 clock_reading now) -> std::vector<effect> {
  auto it = requests_.find(id);
  if (it == requests_.end()) return {};
  auto pending = std::move(it->second);
  requests_.erase(it);
  // Sequence numbers start again in each incarnation, so a response of an
  // earlier incarnation is ignored.
  auto worker = workers_.find(pending.worker.name);
  if (worker == workers_.end() ||
      worker->second.incarnation != pending.worker) {
    return {};
  }
  const auto* polled = std::get_if<poll_response>(&response);
  if (polled != nullptr && polled->started_at_ms != 0 &&
      polled->started_at_ms != pending.worker.started_at_ms) {
    handle(tables, pending, wrong_incarnation{}, now);
    return take_effects();
  }
  if (const auto* poll = std::get_if<poll_request>(&pending.request)) {
    auto& state = worker->second;
    (poll->wait.count() > 0 ? state.poll_pending : state.probe_pending) = false;
  }
  std::visit(
      [&](const auto& message) { handle(tables, pending, message, now); },
      response);
  dispatch_to_worker(tables, worker->second, now);
  return take_effects();
}

auto dispatcher::find_requested_run(const worker_request& request)
    -> tracked_run* {
  return std::visit(
      overloaded{[](const poll_request&) -> tracked_run* { return nullptr; },
                 [&](const auto& message) -> tracked_run* {
                   auto it = runs_.find(message.task);
                   if (it == runs_.end() || it->second.run != message.run) {
                     return nullptr;
                   }
                   return &it->second;
                 }},
      request);
}

void dispatcher::handle(const fleet_tables&, const pending_request& pending,
                        const request_accepted& response, clock_reading now) {
  auto& worker = workers_[pending.worker.name];
  worker.clock.sample(response.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.is_unhealthy = false;
  worker.responded_at = now.steady;
  auto* run = find_requested_run(pending.request);
  if (run == nullptr) return;
  const auto* start = std::get_if<start_request>(&pending.request);
  if (start != nullptr) run->start_sent = true;
  if (start != nullptr && run->phase == run_phase::starting) {
    run->phase = run_phase::started;
    run->responded_at = run->progressed_at = run->started_at = now.steady;
    if (start->snapshot.empty()) run->baseline_at = now.steady;
  }
  if (std::holds_alternative<stop_request>(pending.request) &&
      run->phase == run_phase::stopping) {
    run->phase = run_phase::stopped;
    run->responded_at = now.steady;
  }
  if (const auto* throttle = std::get_if<throttle_request>(&pending.request)) {
    run->throttle = throttle->percent;
    run->throttle_pending = false;
  }
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& pending,
                        const poll_response& response, clock_reading now) {
  auto& worker = workers_[pending.worker.name];
  worker.clock.sample(response.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.is_unhealthy = false;
  worker.responded_at = now.steady;
  // The response itself may have been in flight for the poll's whole timeout.
  worker.confirmed_at = std::max(worker.confirmed_at, pending.sent_at);
  worker.next_poll = now.steady;
  const auto& poll = std::get<poll_request>(pending.request);
  worker.confirmed_end = std::max(worker.confirmed_end, poll.acknowledged);
  reconcile_running(tables, worker, response, pending.sent_at, now);
  stop_unassigned_runs(tables, worker, response, now);
  throttle_backfill(tables, worker, response, now);
  handle_ends(tables, worker, response, now);
}

// Compares the runs that a worker lists with those assigned to it. A run counts
// as missing only if the poll was sent after the response to the last request
// for that run, and lists all ends.
void dispatcher::reconcile_running(const fleet_tables& tables,
                                   worker_state& worker,
                                   const poll_response& response,
                                   time_point sent_at, clock_reading now) {
  std::map<task_ref, const running_task*> running;
  for (const auto& r : response.running) running[r.task] = &r;
  std::set<std::pair<task_ref, std::uint32_t>> ended;
  for (const auto& e : response.ended) ended.insert({e.task, e.run});
  bool lists_all_ends = response.ended.size() < max_listed_ends;
  std::vector<task_ref> stalled;
  for (auto* tracked : worker.runs) {
    auto& run = *tracked;
    run.contact = worker_contact::kept;
    const auto& ref = run.task;
    auto it = running.find(ref);
    if (it != running.end() && it->second->run == run.run) {
      if (run.baseline_at == time_point{}) {
        run.baseline_at = now.steady;
        run.baseline_percent = it->second->percent;
      }
      bool is_new = run.phase == run_phase::inherited ||
                    run.phase == run_phase::starting ||
                    run.phase == run_phase::to_start;
      if (is_new) run.phase = run_phase::started;
      if (is_new || it->second->percent != run.percent) {
        run.progressed_at = now.steady;
      }
      if (is_new) run.started_at = now.steady;
      run.start_sent = true;
      run.outlived_start = run.outlived_start ||
                           now.steady - run.started_at >= limits_.start_trial;
      run.percent = it->second->percent;
      run.snapshot = it->second->snapshot;
      if (!run.speed_measured &&
          run.percent >= run.baseline_percent + min_measured_progress) {
        run.speed_measured = true;
        measure_speed(tables, ref, run, run.percent, now);
      }
      if (is_stalled(tables, run, now)) stalled.push_back(ref);
      continue;
    }
    if (ended.contains({ref, run.run}) || sent_at <= run.responded_at) continue;
    if (run.phase == run_phase::inherited) {
      run.phase = run_phase::to_start;
      run.next_attempt_at = now.steady;
    } else if (lists_all_ends && is_lost_if_unlisted(run.phase)) {
      mark_lost(tables, run, start_abandoned{"run not found on the worker"},
                now);
    }
  }
  for (const auto& ref : stalled) restart_stalled(tables, ref, now);
}

// Stops the runs that a worker lists but that are not assigned to it. A start
// that was carried out seconds late may have reached a later incarnation.
void dispatcher::stop_unassigned_runs(const fleet_tables& tables,
                                      const worker_state& worker,
                                      const poll_response& response,
                                      clock_reading now) {
  const auto* record = find_worker(tables, worker.incarnation);
  if (record == nullptr) return;
  for (const auto& listed : response.running) {
    const auto* task = find_task(tables, listed.task);
    bool is_assigned = task != nullptr && task->assigned &&
                       task->run == listed.run &&
                       task->worker == worker.incarnation;
    if (is_assigned) continue;
    log_decision("stop", {{"task", fleet::to_string(listed.task)},
                          {"run", std::to_string(listed.run)},
                          {"worker", worker.incarnation.name},
                          {"reason", "not assigned to this worker"}});
    send(*record, stop_request{listed.task, listed.run},
         limits_.request_timeout, now.steady);
  }
}

// Records the progress of a run on this worker as an observation of its
// machine's speed. Gangs, which progress at the speed of their slowest member,
// and tasks on a wrong rack, which run slower, are left out.
void dispatcher::measure_speed(const fleet_tables& tables, const task_ref& ref,
                               const tracked_run& run, std::uint32_t percent,
                               clock_reading now) {
  const auto* record = find_worker(tables, run.worker);
  auto job = tables.jobs.find(ref.job);
  if (record == nullptr || job == tables.jobs.end()) return;
  const auto& spec = job->second.spec.steps[ref.step];
  bool is_remote = !spec.data_rack.empty() && spec.data_rack != record->rack;
  auto elapsed_ms = (now.steady - run.baseline_at).count();
  if (spec.gang || spec.long_running || is_remote || elapsed_ms <= 0) return;
  if (run.baseline_at == time_point{}) return;
  speeds_.observe({ref.job, ref.occurrence, ref.step}, machine_of(*record),
                  static_cast<double>(percent - run.baseline_percent) /
                      static_cast<double>(elapsed_ms));
}

void dispatcher::handle_ends(const fleet_tables& tables, worker_state& worker,
                             const poll_response& response, clock_reading now) {
  end_runs new_ends;
  new_ends.at = now.wall;
  auto highest_end = worker.uncommitted_end;
  for (const auto& end : response.ended) {
    if (end.sequence <= highest_end) continue;
    const auto* task = find_task(tables, end.task);
    bool matches =
        task != nullptr && task->run == end.run &&
        task->worker == worker.incarnation &&
        (task->assigned || (end.outcome == run_end::done && !task->done));
    // A run that was marked as lost has finished, and its task may be running
    // again. An acknowledgement of this end would complete the task twice, but
    // the ends listed after it are of other runs.
    if (!matches && end.outcome == run_end::done &&
        may_complete(tables, end.task)) {
      log_decision("end_withheld", {{"task", fleet::to_string(end.task)},
                                    {"run", std::to_string(end.run)},
                                    {"worker", worker.incarnation.name}});
      worker.withheld.push_back(end);
    }
    highest_end = end.sequence;
    if (!matches) continue;
    attribute_failure(worker, end.task, end.outcome, now);
    retain_capacity(tables, worker, end.task, now);
    auto run = runs_.find(end.task);
    if (end.outcome == run_end::done && run != runs_.end()) {
      measure_speed(tables, end.task, run->second, complete_percent, now);
    }
    if (run != runs_.end()) {
      record_end(tables.jobs.at(end.task.job), run->second, end.outcome, now);
    }
    log_decision("ended", {{"task", fleet::to_string(end.task)},
                           {"run", std::to_string(end.run)},
                           {"worker", worker.incarnation.name},
                           {"how", std::string(to_string(end.outcome))}});
    new_ends.runs.push_back(
        {end.task, end.run, worker.incarnation, end.outcome, end.snapshot});
  }
  worker.uncommitted_end = highest_end;
  worker.uncommitted.insert(worker.uncommitted.end(), new_ends.runs.begin(),
                            new_ends.runs.end());
  if (!new_ends.runs.empty()) propose_command(std::move(new_ends));
  acknowledge_committed_ends(tables, worker);
  if (!worker.withheld.empty()) {
    worker.next_poll = now.steady + withheld_end_poll_delay;
  }
}

// Retains the capacity that an urgent task releases for the next urgent work.
void dispatcher::retain_capacity(const fleet_tables& tables,
                                 worker_state& worker, const task_ref& task,
                                 clock_reading now) {
  const auto& spec = tables.jobs.at(task.job).spec;
  const auto* queue = queue_of(*site_, spec);
  if (queue == nullptr || queue->priority != 0) return;
  worker.retained.expire(now.steady);
  worker.retained.retain(reserved_by(spec.steps[task.step]),
                         now.steady + limits_.urgent_retention);
}

// Acknowledges the ends listed by a worker once the tables contain all of them,
// up to the first that is withheld.
void dispatcher::acknowledge_committed_ends(const fleet_tables& tables,
                                            worker_state& worker) {
  std::erase_if(worker.uncommitted, [&](const ended_run& end) {
    const auto* task = find_task(tables, end.task);
    return task == nullptr || !task->assigned || task->run != end.run;
  });
  std::erase_if(worker.withheld, [&](const listed_end& end) {
    return !may_complete(tables, end.task);
  });
  if (!worker.uncommitted.empty()) return;
  worker.acknowledged = worker.withheld.empty()
                            ? worker.uncommitted_end
                            : worker.withheld.front().sequence - 1;
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& pending,
                        const request_rejected& response, clock_reading now) {
  auto& worker = workers_[pending.worker.name];
  if (response.clock_ms != 0)
    worker.clock.sample(response.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.is_unhealthy = false;
  worker.responded_at = now.steady;
  auto* run = find_requested_run(pending.request);
  if (std::holds_alternative<poll_request>(pending.request)) {
    worker.next_poll = now.steady + fence_retry_delay;
  }
  if (run == nullptr) return;
  run->throttle_pending = false;
  if (std::holds_alternative<stop_request>(pending.request)) {
    if (run->phase != run_phase::stopping) return;
    bool is_fenced = response.reason == rejection::stale_fence;
    run->phase = is_fenced ? run_phase::to_stop : run_phase::stopped;
    run->responded_at = now.steady;
    run->next_attempt_at =
        now.steady + (is_fenced ? fence_retry_delay : retry_delay);
    return;
  }
  const auto* start = std::get_if<start_request>(&pending.request);
  if (start == nullptr || run->phase != run_phase::starting) return;
  switch (response.reason) {
    case rejection::stale_fence:
      run->phase = run_phase::to_start;
      run->next_attempt_at = now.steady + fence_retry_delay;
      break;
    case rejection::lease_expired:
      run->phase = run_phase::to_start;
      run->next_attempt_at = now.steady + retry_delay;
      break;
    case rejection::stale_run:
      run->phase = run_phase::unconfirmed;
      run->responded_at = now.steady;
      break;
    case rejection::no_capacity:
      worker.quarantined_until = now.steady + fence_retry_delay;
      abandon_start(tables, *run, "no capacity", now);
      break;
    case rejection::no_ticket:
      tickets_.erase(
          {start->task.job, start->task.occurrence, start->task.step},
          run->worker);
      abandon_start(tables, *run, "no valid ticket", now);
      break;
    case rejection::invalid:
      attribute_failure(worker, start->task, run_end::failed, now);
      abandon_start(tables, *run, "rejected as invalid", now);
      break;
  }
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& pending,
                        const wrong_incarnation&, clock_reading) {
  const auto& worker = workers_[pending.worker.name];
  log_decision("worker_life_over",
               {{"worker", pending.worker.name},
                {"born", std::to_string(worker.incarnation.started_at_ms)},
                {"reason", "another incarnation responds at its address"}});
  propose_command(remove_worker{worker.incarnation,
                                crash_suspects(tables, worker.incarnation)});
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& pending,
                        const worker_unavailable&, clock_reading now) {
  auto& worker = workers_[pending.worker.name];
  worker.responded_at = now.steady;
  worker.is_unhealthy = true;
  worker.next_poll = worker.unavailable_until =
      now.steady + unhealthy_retry_delay;
  if (std::holds_alternative<poll_request>(pending.request)) {
    // Starts wait for a poll that it carries out.
    for (auto* waiting : worker.runs) {
      if (!waits_to_start(*waiting, now)) continue;
      attribute_failure(worker, waiting->task, run_end::failed, now);
      abandon_start(tables, *waiting, "worker is unhealthy", now);
    }
    return;
  }
  auto* run = find_requested_run(pending.request);
  if (run == nullptr) return;
  run->throttle_pending = false;
  if (const auto* start = std::get_if<start_request>(&pending.request)) {
    if (run->phase != run_phase::starting) return;
    attribute_failure(worker, start->task, run_end::failed, now);
    abandon_start(tables, *run, "worker is unhealthy", now);
  } else if (run->phase == run_phase::stopping) {
    run->phase = run_phase::to_stop;
    run->next_attempt_at = now.steady + unhealthy_retry_delay;
  }
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& pending,
                        const worker_no_response& response, clock_reading now) {
  auto& worker = workers_[pending.worker.name];
  ++worker.missed_responses;
  if (std::holds_alternative<poll_request>(pending.request)) {
    for (auto* run : worker.runs) {
      if (run->contact != worker_contact::kept) continue;
      run->contact =
          response.closed ? worker_contact::closed : worker_contact::silent;
    }
  }
  worker.next_poll = now.steady + (worker.runs.empty() ? idle_probe_delay
                                                       : unhealthy_retry_delay);
  auto* run = find_requested_run(pending.request);
  const auto* start = std::get_if<start_request>(&pending.request);
  if (run != nullptr && start != nullptr && response.sent)
    run->start_sent = true;
  record_sent_starts(worker.runs);
  if (run == nullptr) return;
  run->throttle_pending = false;
  bool is_throttle = std::holds_alternative<throttle_request>(pending.request);
  if (is_throttle && response.sent) run->throttle.reset();
  if (run->phase == run_phase::stopping) {
    run->phase = run_phase::to_stop;
    log_unconfirmed_stop(*run);
  }
  run->next_attempt_at =
      now.steady + (response.sent ? retry_delay : unhealthy_retry_delay);
  if (start == nullptr || run->phase != run_phase::starting) return;
  run->phase = run_phase::to_start;
  run->start_unconfirmed = run->start_unconfirmed || response.sent;
  bool gang = tables.jobs.contains(start->task.job) &&
              tables.jobs.at(start->task.job).spec.steps[start->task.step].gang;
  bool too_late = now.steady - run->placed_at >
                  limits_.gang_start_timeout - 2 * limits_.request_timeout;
  if (too_late && gang) stop_run(*run, gang_incomplete{});
}

// Logs the first of the stop requests for a run that get no response.
void dispatcher::log_unconfirmed_stop(tracked_run& run) {
  if (std::exchange(run.stop_unconfirmed, true)) return;
  log_decision("stop_unconfirmed", {{"task", fleet::to_string(run.task)},
                                    {"run", std::to_string(run.run)},
                                    {"worker", run.worker.name}});
}

// Ends a run that could not be started. If an earlier start request got no
// response it may still be carried out, so the run is stopped first: a worker
// rejects the start of a run that it was requested to stop.
void dispatcher::abandon_start(const fleet_tables& tables, tracked_run& run,
                               std::string_view reason, clock_reading now) {
  start_abandoned cause{std::string(reason)};
  if (run.start_unconfirmed) return stop_run(run, std::move(cause));
  mark_lost(tables, run, std::move(cause), now);
}

void dispatcher::mark_lost(const fleet_tables& tables, tracked_run& run,
                           loss_cause cause, clock_reading now) {
  const auto& ref = run.task;
  if (!lost_runs_.insert(ref).second) return;
  log_decision("run_lost", {{"task", fleet::to_string(ref)},
                            {"run", std::to_string(run.run)},
                            {"worker", run.worker.name},
                            {"reason", describe(cause)}});
  auto job = tables.jobs.find(ref.job);
  if (job != tables.jobs.end()) record_loss(job->second, run, cause, now);
  propose_command(end_runs{
      {{ref, run.run, run.worker, run_end::lost, run.snapshot}}, now.wall});
}

void dispatcher::mark_runs_lost(const fleet_tables& tables,
                                const worker_incarnation& incarnation,
                                const loss_cause& cause, clock_reading now) {
  for (auto& [ref, run] : runs_) {
    const auto* task = find_task(tables, ref);
    if (run.worker != incarnation || task == nullptr) continue;
    mark_lost(tables, run, cause, now);
  }
}

}  // namespace parsleyledge::fleet
