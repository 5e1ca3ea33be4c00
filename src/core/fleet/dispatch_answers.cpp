#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds retry_pause{20};       // after a refusal that may pass
constexpr milliseconds fence_pause{1000};     // another leader is in charge
constexpr milliseconds unwell_pause{300};     // of a worker that did nothing
constexpr milliseconds probe_pause{1000};     // of one that holds nothing
constexpr milliseconds withheld_pause{1000};  // its ends are listed each time
constexpr std::uint32_t least_progress = 10;  // per cent, to judge a speed by
constexpr std::uint32_t whole_percent = 100;

/// Whether only a poll can tell what became of a run.
auto is_unsure(run_phase phase) -> bool {
  return phase == run_phase::started || phase == run_phase::stopped ||
         phase == run_phase::unconfirmed;
}

}  // namespace

auto dispatcher::handle_response(const fleet_tables& tables, std::uint64_t id,
                                 const worker_response& answer,
                                 clock_reading now) -> std::vector<effect> {
  auto it = requests_.find(id);
  if (it == requests_.end()) return {};
  auto asked = std::move(it->second);
  requests_.erase(it);
  // Numbers begin anew in each incarnation, so an earlier incarnation's answer
  // is void.
  auto worker = workers_.find(asked.worker.name);
  if (worker == workers_.end() || worker->second.incarnation != asked.worker) {
    return {};
  }
  const auto* polled = std::get_if<poll_response>(&answer);
  if (polled != nullptr && polled->started_at_ms != 0 &&
      polled->started_at_ms != asked.worker.started_at_ms) {
    handle(tables, asked, wrong_incarnation{}, now);
    return take_effects();
  }
  if (std::holds_alternative<poll_request>(asked.what)) {
    worker->second.poll_pending = false;
  }
  std::visit([&](const auto& one) { handle(tables, asked, one, now); }, answer);
  act_on(tables, worker->second, now);
  return take_effects();
}

auto dispatcher::requested_run(const worker_request& what) -> tracked_run* {
  return std::visit(
      overloaded{[](const poll_request&) -> tracked_run* { return nullptr; },
                 [&](const auto& one) -> tracked_run* {
                   auto it = runs_.find(one.task);
                   if (it == runs_.end() || it->second.run != one.run) {
                     return nullptr;
                   }
                   return &it->second;
                 }},
      what);
}

void dispatcher::handle(const fleet_tables&, const pending_request& asked,
                        const request_accepted& answer, clock_reading now) {
  auto& worker = workers_[asked.worker.name];
  worker.clock.sample(answer.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.answered_at = now.steady;
  auto* run = requested_run(asked.what);
  if (run == nullptr) return;
  if (std::holds_alternative<start_request>(asked.what) &&
      run->phase == run_phase::starting) {
    run->phase = run_phase::started;
    run->responded_at = run->progressed_at = now.steady;
    const auto& start = std::get<start_request>(asked.what);
    if (start.snapshot.empty()) run->baseline_at = now.steady;
  }
  if (std::holds_alternative<stop_request>(asked.what) &&
      run->phase == run_phase::stopping) {
    run->phase = run_phase::stopped;
    run->responded_at = now.steady;
  }
  if (const auto* throttle = std::get_if<throttle_request>(&asked.what)) {
    run->throttle = throttle->percent;
    run->throttle_pending = false;
  }
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& asked,
                        const poll_response& answer, clock_reading now) {
  auto& worker = workers_[asked.worker.name];
  worker.clock.sample(answer.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.answered_at = now.steady;
  worker.next_poll = now.steady;
  const auto& poll = std::get<poll_request>(asked.what);
  worker.confirmed_end = std::max(worker.confirmed_end, poll.acknowledged);
  note_running(tables, worker, answer, asked.sent_at, now);
  throttle_backfill(tables, worker, answer, now);
  note_ends(tables, worker, answer, now);
}

// Compares what a worker has with what it should have. Only a poll that was
// sent after the last request was answered tells that a run is missing.
void dispatcher::note_running(const fleet_tables& tables, worker_state& worker,
                              const poll_response& answer, time_point sent_at,
                              clock_reading now) {
  std::map<task_ref, const running_task*> running;
  for (const auto& r : answer.running) running[r.task] = &r;
  std::set<task_ref> ended;
  for (const auto& e : answer.ended) ended.insert(e.task);
  std::vector<task_ref> stalled;
  for (auto* watched : worker.runs) {
    auto& run = *watched;
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
      run.percent = it->second->percent;
      run.snapshot = it->second->snapshot;
      if (!run.measured &&
          run.percent >= run.baseline_percent + least_progress) {
        run.measured = true;
        measure(tables, ref, run, run.percent, now);
      }
      if (is_stalled(tables, run, now)) stalled.push_back(ref);
      continue;
    }
    if (ended.contains(ref) || sent_at <= run.responded_at) continue;
    if (run.phase == run_phase::inherited) {
      run.phase = run_phase::to_start;
      run.next_try = now.steady;
    } else if (is_unsure(run.phase)) {
      end_as_lost(ref, run, "the worker does not have it", now);
    }
  }
  for (const auto& ref : stalled) restart_stalled(tables, ref, now);
}

// Takes the progress of a run since it began here as a sign of the speed of
// its machine. The members of a gang go at the throttle of the slowest, and a
// wrong rack slows a task, so those tell nothing.
void dispatcher::measure(const fleet_tables& tables, const task_ref& ref,
                         const tracked_run& run, std::uint32_t percent,
                         clock_reading now) {
  const auto* record = find_worker(tables, run.worker);
  auto job = tables.jobs.find(ref.job);
  if (record == nullptr || job == tables.jobs.end()) return;
  const auto& spec = job->second.spec.steps[ref.step];
  bool far = !spec.data_rack.empty() && spec.data_rack != record->rack;
  auto took = (now.steady - run.baseline_at).count();
  if (spec.gang || spec.long_running || far || took <= 0) return;
  if (run.baseline_at == time_point{}) return;
  speeds_.observe({ref.job, ref.occurrence, ref.step}, machine_of(*record),
                  static_cast<double>(percent - run.baseline_percent) /
                      static_cast<double>(took));
}

void dispatcher::note_ends(const fleet_tables& tables, worker_state& worker,
                           const poll_response& answer, clock_reading now) {
  end_runs fresh;
  fresh.at = now.wall;
  auto noted = worker.uncommitted_end;
  for (const auto& end : answer.ended) {
    if (end.sequence <= noted) continue;
    const auto* task = find_task(tables, end.task);
    bool matches =
        task != nullptr && task->run == end.run &&
        task->worker == worker.incarnation &&
        (task->assigned || (end.how == run_end::done && !task->done));
    // A run that was given up has ended well after all, and its task is
    // running again: to acknowledge it would make that a second time.
    if (!matches && end.how == run_end::done && task != nullptr &&
        !task->done) {
      note("end_withheld", {{"task", fleet::to_string(end.task)},
                            {"run", std::to_string(end.run)},
                            {"worker", worker.incarnation.name}});
      worker.next_poll = now.steady + withheld_pause;
      break;
    }
    noted = end.sequence;
    if (!matches) continue;
    attribute_failure(worker, end.task, end.how, now);
    retain_capacity(tables, worker, end.task, now);
    auto run = runs_.find(end.task);
    if (end.how == run_end::done && run != runs_.end()) {
      measure(tables, end.task, run->second, whole_percent, now);
    }
    note("ended", {{"task", fleet::to_string(end.task)},
                   {"run", std::to_string(end.run)},
                   {"worker", worker.incarnation.name},
                   {"how", std::string(to_string(end.how))}});
    fresh.runs.push_back(
        {end.task, end.run, worker.incarnation, end.how, end.snapshot});
  }
  worker.uncommitted_end = noted;
  worker.uncommitted.insert(worker.uncommitted.end(), fresh.runs.begin(),
                            fresh.runs.end());
  if (!fresh.runs.empty()) propose_command(std::move(fresh));
  confirm_ends(tables, worker);
}

// Room that urgent work leaves is kept for the next for a while.
void dispatcher::retain_capacity(const fleet_tables& tables,
                                 worker_state& worker, const task_ref& task,
                                 clock_reading now) {
  const auto& spec = tables.jobs.at(task.job).spec;
  const auto* where = find_queue(*site_, spec.queue);
  if (where == nullptr || where->priority != 0) return;
  worker.retained.expire(now.steady);
  worker.retained.retain(reserved_by(spec.steps[task.step]),
                         now.steady + limits_.urgent_retention);
}

// An end may be acknowledged once the tables have it.
void dispatcher::confirm_ends(const fleet_tables& tables,
                              worker_state& worker) {
  std::erase_if(worker.uncommitted, [&](const ended_run& end) {
    const auto* task = find_task(tables, end.task);
    return task == nullptr || !task->assigned || task->run != end.run;
  });
  if (worker.uncommitted.empty()) worker.acknowledged = worker.uncommitted_end;
}

void dispatcher::handle(const fleet_tables&, const pending_request& asked,
                        const request_rejected& answer, clock_reading now) {
  auto& worker = workers_[asked.worker.name];
  if (answer.clock_ms != 0) worker.clock.sample(answer.clock_ms, now.steady);
  worker.missed_responses = 0;
  worker.answered_at = now.steady;
  auto* run = requested_run(asked.what);
  if (std::holds_alternative<poll_request>(asked.what)) {
    worker.next_poll = now.steady + fence_pause;
  }
  if (run == nullptr) return;
  run->throttle_pending = false;
  if (std::holds_alternative<stop_request>(asked.what)) {
    if (run->phase != run_phase::stopping) return;
    bool fenced = answer.why == rejection::stale_fence;
    run->phase = fenced ? run_phase::to_stop : run_phase::stopped;
    run->responded_at = now.steady;
    run->next_try = now.steady + (fenced ? fence_pause : retry_pause);
    return;
  }
  const auto* start = std::get_if<start_request>(&asked.what);
  if (start == nullptr || run->phase != run_phase::starting) return;
  switch (answer.why) {
    case rejection::stale_fence:
      run->phase = run_phase::to_start;
      run->next_try = now.steady + fence_pause;
      break;
    case rejection::lease_expired:
      run->phase = run_phase::to_start;
      run->next_try = now.steady + retry_pause;
      break;
    case rejection::stale_run:
      run->phase = run_phase::unconfirmed;
      run->responded_at = now.steady;
      break;
    case rejection::no_capacity:
      worker.quarantined_until = now.steady + fence_pause;
      give_up_start(*run, "no room", now);
      break;
    case rejection::no_ticket:
      tickets_.erase(
          {start->task.job, start->task.occurrence, start->task.step},
          run->worker);
      give_up_start(*run, "no valid ticket", now);
      break;
    case rejection::invalid:
      attribute_failure(worker, start->task, run_end::failed, now);
      give_up_start(*run, "refused as invalid", now);
      break;
  }
}

void dispatcher::handle(const fleet_tables&, const pending_request& asked,
                        const wrong_incarnation&, clock_reading) {
  const auto& worker = workers_[asked.worker.name];
  note("worker_life_over",
       {{"worker", asked.worker.name},
        {"born", std::to_string(worker.incarnation.started_at_ms)},
        {"reason", "another life answers at its address"}});
  propose_command(remove_worker{worker.incarnation});
}

void dispatcher::handle(const fleet_tables&, const pending_request& asked,
                        const worker_unavailable&, clock_reading now) {
  auto& worker = workers_[asked.worker.name];
  worker.answered_at = now.steady;
  worker.next_poll = now.steady + unwell_pause;
  auto* run = requested_run(asked.what);
  if (run == nullptr) return;
  run->throttle_pending = false;
  if (const auto* start = std::get_if<start_request>(&asked.what)) {
    if (run->phase != run_phase::starting) return;
    attribute_failure(worker, start->task, run_end::failed, now);
    give_up_start(*run, "the worker is unwell", now);
  } else if (run->phase == run_phase::stopping) {
    run->phase = run_phase::to_stop;
    run->next_try = now.steady + unwell_pause;
  }
}

void dispatcher::handle(const fleet_tables& tables,
                        const pending_request& asked,
                        const worker_no_response& answer, clock_reading now) {
  auto& worker = workers_[asked.worker.name];
  ++worker.missed_responses;
  worker.next_poll =
      now.steady + (worker.runs.empty() ? probe_pause : unwell_pause);
  auto* run = requested_run(asked.what);
  if (run == nullptr) return;
  run->throttle_pending = false;
  if (run->phase == run_phase::stopping) run->phase = run_phase::to_stop;
  run->next_try = now.steady + (answer.sent ? retry_pause : unwell_pause);
  const auto* start = std::get_if<start_request>(&asked.what);
  if (start == nullptr || run->phase != run_phase::starting) return;
  run->phase = run_phase::to_start;
  run->start_unconfirmed = run->start_unconfirmed || answer.sent;
  bool gang = tables.jobs.contains(start->task.job) &&
              tables.jobs.at(start->task.job).spec.steps[start->task.step].gang;
  bool too_late = now.steady - run->placed_at >
                  limits_.gang_wait - 2 * limits_.request_timeout;
  if (too_late && gang) stop_run(*run, "no answer to its start");
}

// An earlier request without a response may still start the run, so it has to
// be stopped first: a worker starts no run that it was told to stop.
void dispatcher::give_up_start(tracked_run& run, std::string_view reason,
                               clock_reading now) {
  if (run.start_unconfirmed) return stop_run(run, reason);
  end_as_lost(run.task, run, reason, now);
}

void dispatcher::end_as_lost(const task_ref& ref, tracked_run& run,
                             std::string_view reason, clock_reading now) {
  if (!ending_.insert(ref).second) return;
  note("run_lost", {{"task", fleet::to_string(ref)},
                    {"run", std::to_string(run.run)},
                    {"worker", run.worker.name},
                    {"reason", std::string(reason)}});
  propose_command(end_runs{
      {{ref, run.run, run.worker, run_end::lost, run.snapshot}}, now.wall});
}

void dispatcher::give_up_runs(const fleet_tables& tables,
                              const worker_incarnation& incarnation,
                              std::string_view reason, clock_reading now) {
  for (auto& [ref, run] : runs_) {
    const auto* task = find_task(tables, ref);
    if (run.worker != incarnation || task == nullptr) continue;
    end_as_lost(ref, run, reason, now);
  }
}

}  // namespace parsleyledge::fleet
