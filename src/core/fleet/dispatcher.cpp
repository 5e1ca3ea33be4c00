#include "core/fleet/dispatcher.h"

#include <algorithm>

#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds retry_pause{20};       // after a refusal that may pass
constexpr milliseconds fence_pause{1000};     // another leader is in charge
constexpr milliseconds settle_wait{250};      // for the end of a stopped run
constexpr milliseconds unwell_pause{300};     // of a worker that did nothing
constexpr milliseconds probe_pause{1000};     // of one that holds nothing
constexpr milliseconds stale_look{1000};      // renew though ends wait
constexpr std::uint32_t least_progress = 10;  // per cent, to judge a speed by
constexpr std::uint32_t whole_percent = 100;
constexpr std::uint32_t failures_to_quarantine = 2;
constexpr std::uint32_t longest_doubling = 3;

auto task_of(const fleet_tables& tables, const task_ref& ref)
    -> const task_record* {
  auto job = tables.jobs.find(ref.job);
  if (job == tables.jobs.end()) return nullptr;
  auto occurrence = job->second.open.find(ref.occurrence);
  if (occurrence == job->second.open.end()) return nullptr;
  if (ref.step >= occurrence->second.steps.size()) return nullptr;
  const auto& tasks = occurrence->second.steps[ref.step].tasks;
  return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

auto record_of(const fleet_tables& tables, const worker_life& life)
    -> const worker_record* {
  auto it = tables.workers.find(life.name);
  if (it == tables.workers.end() || it->second.life != life) return nullptr;
  return &it->second;
}

auto is_ended(const job_record& job) -> bool {
  return job.state != job_state::queued && job.state != job_state::running;
}

auto needs_a_look(run_phase phase) -> bool {
  return phase == run_phase::inherited || phase == run_phase::stopped ||
         phase == run_phase::doubtful;
}

auto reserved_by(const step_spec& spec) -> resources {
  auto need = spec.each;
  if (spec.fills) need.cpu_milli = 0;
  return need;
}

auto to_string(run_end how) -> std::string_view {
  switch (how) {
    case run_end::done:
      return "done";
    case run_end::failed:
      return "failed";
    case run_end::stopped:
      return "stopped";
    case run_end::lapsed:
      return "lapsed";
    case run_end::broken:
      return "broken";
    case run_end::alone:
      return "alone";
    case run_end::lost:
      return "lost";
  }
  return "unknown";
}

}  // namespace

void dispatcher::lead(std::uint64_t fence, const fleet_tables& tables,
                      moment now) {
  resign();
  fence_ = fence;
  for (const auto& [name, record] : tables.workers) {
    auto& worker = workers_[name];
    worker.life = record.life;
    worker.reported_at = now.steady;
    worker.clock.assume_granted_until(now.steady +
                                      limits_.longest_lease * 100 / 98);
  }
  sweep(tables, now);
  for (auto& [ref, run] : runs_) run.phase = run_phase::inherited;
  note("leading", {{"fence", std::to_string(fence)},
                   {"runs", std::to_string(runs_.size())},
                   {"workers", std::to_string(workers_.size())}});
}

void dispatcher::resign() {
  fence_ = 0;
  workers_.clear();
  runs_.clear();
  orders_.clear();
  planned_.clear();
  committed_.clear();
  reservations_.clear();
  reclaim_tried_.clear();
  failing_.clear();
  ending_.clear();
  effects_.clear();
}

auto dispatcher::take_effects() -> std::vector<effect> {
  return std::exchange(effects_, {});
}

void dispatcher::note(
    std::string_view event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  effects_.emplace_back(decision{event, std::move(fields)});
}

auto dispatcher::propose_command(command what) -> std::uint64_t {
  auto token = next_id_++;
  effects_.emplace_back(propose{token, std::move(what)});
  return token;
}

auto dispatcher::report(const fleet_tables& tables, const worker_report& said,
                        moment now) -> std::optional<command> {
  auto known = tables.workers.find(said.life.name);
  bool is_known = known != tables.workers.end();
  if (is_known && known->second.life.born_ms > said.life.born_ms) return {};
  auto& worker = workers_[said.life.name];
  if (worker.life != said.life) {
    worker = {};
    worker.life = said.life;
  }
  bool late = said.sequence < worker.report_sequence;
  if (!late) {
    worker.report_sequence = said.sequence;
    worker.reported_at = now.steady;
    if (said.clock_ms) worker.clock.sample(*said.clock_ms, now.steady);
    if (said.draining) worker.leaves_at = now.steady + said.remaining;
  }
  bool same = is_known && known->second.life == said.life &&
              known->second.draining == said.draining &&
              known->second.address == said.address;
  // A worker that drains never takes work again in the same life.
  bool undrained = is_known && known->second.life == said.life &&
                   known->second.draining && !said.draining;
  if (same || undrained || late) return {};
  return note_worker{{said.life, said.address, said.machine, said.service,
                      said.data_centre, said.rack, said.labels, said.capacity,
                      said.draining}};
}

auto dispatcher::changed(const fleet_tables& tables, moment now)
    -> std::vector<effect> {
  if (!leads()) return {};
  sweep(tables, now);
  for (auto& [name, worker] : workers_) confirm_ends(tables, worker);
  fail_hopeless_jobs(tables, now);
  plan(tables, now);
  act(tables, now);
  return take_effects();
}

auto dispatcher::tick(const fleet_tables& tables, moment now)
    -> std::vector<effect> {
  if (!leads()) return {};
  for (auto& [name, worker] : workers_) {
    if (worker.holding == 0 || worker.unanswered < 2) continue;
    if (!worker.clock.lapsed(now.steady)) continue;
    give_up_runs(tables, worker.life, "lease ran out", now);
  }
  plan(tables, now);
  act(tables, now);
  return take_effects();
}

// Brings the watches of runs and the use of workers in line with the tables.
void dispatcher::sweep(const fleet_tables& tables, moment now) {
  for (auto& [name, worker] : workers_) {
    worker.holding = 0;
    worker.used = {};
    worker.runs.clear();
  }
  for (auto token : std::exchange(committed_, {})) planned_.erase(token);
  for (auto& [ref, run] : runs_) run.seen = false;
  for (const auto& [id, job] : tables.jobs) {
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        watch_step(job, {id, number, s}, now);
      }
    }
  }
  std::erase_if(runs_, [](const auto& item) { return !item.second.seen; });
  std::erase_if(reclaim_tried_, [&](const auto& item) {
    return !tables.jobs.contains(item.first.job) ||
           is_ended(tables.jobs.at(item.first.job));
  });
  std::erase_if(ending_,
                [&](const task_ref& ref) { return !runs_.contains(ref); });
  for (auto it = workers_.begin(); it != workers_.end();) {
    it = record_of(tables, it->second.life) == nullptr &&
                 now.steady - it->second.reported_at > limits_.report_silence
             ? workers_.erase(it)
             : std::next(it);
  }
}

void dispatcher::watch_step(const job_record& job, const step_ref& ref,
                            moment now) {
  const auto& spec = job.spec.steps[ref.step];
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  bool broken = false;
  std::vector<task_ref> holding;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const auto& task = step.tasks[i];
    if (!task.holding) {
      broken = broken || (spec.gang && step.done == 0 && task.run != 0 &&
                          task.run == step.last_run);
      continue;
    }
    task_ref name{ref.job, ref.occurrence, ref.step, i};
    auto& run = runs_[name];
    if (run.run != task.run || run.worker != task.worker) {
      run = {};
      run.run = task.run;
      run.worker = task.worker;
      run.placed_at = run.settled_at = run.moved_at = now.steady;
      ending_.erase(name);
    }
    run.seen = true;
    auto worker = workers_.find(task.worker.name);
    if (worker != workers_.end() && worker->second.life == task.worker) {
      ++worker->second.holding;
      worker->second.used += reserved_by(spec);
      worker->second.runs.push_back(name);
    }
    holding.push_back(name);
  }
  if (is_ended(job) && job.state != job_state::complete) {
    for (const auto& name : holding) stop_run(name, to_string(job.state));
  } else if (broken) {
    for (const auto& name : holding) stop_run(name, "a member ended");
  }
}

void dispatcher::stop_run(const task_ref& ref, std::string_view reason) {
  auto& run = runs_.at(ref);
  bool stops =
      run.phase == run_phase::to_stop || run.phase == run_phase::stopping ||
      run.phase == run_phase::stopped || run.phase == run_phase::doubtful;
  if (stops) return;
  note("stop", {{"task", fleet::to_string(ref)},
                {"run", std::to_string(run.run)},
                {"worker", run.worker.name},
                {"reason", std::string(reason)}});
  run.phase = run_phase::to_stop;
  run.next_try = {};
}

void dispatcher::fail_hopeless_jobs(const fleet_tables& tables, moment now) {
  for (const auto& [id, job] : tables.jobs) {
    if (is_ended(job) || failing_.contains(id)) continue;
    const auto* where = find_queue(*site_, job.spec.queue);
    if (where == nullptr) continue;
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!out_of_attempts(job.spec.steps[s], occurrence.steps[s],
                             where->attempts)) {
          continue;
        }
        if (!failing_.insert(id).second) continue;
        note("job_failed", {{"job", fleet::to_string(id)},
                            {"step", std::to_string(s)},
                            {"attempts", std::to_string(where->attempts)}});
        propose_command(fail_job{id, "out of attempts", now.wall});
      }
    }
  }
}

void dispatcher::act(const fleet_tables& tables, moment now) {
  for (auto& [name, worker] : workers_) act_on(tables, worker, now);
}

void dispatcher::act_on(const fleet_tables& tables, worker_state& worker,
                        moment now) {
  const auto* record = record_of(tables, worker.life);
  if (record == nullptr) return;
  for (const auto& ref : worker.runs) {
    auto run = runs_.find(ref);
    if (run == runs_.end()) continue;
    act_on_run(tables, *record, worker, ref, run->second, now);
  }
  act_on_worker(*record, worker, now);
}

void dispatcher::act_on_run(const fleet_tables& tables,
                            const worker_record& record, worker_state& worker,
                            const task_ref& ref, run_watch& run, moment now) {
  if (run.next_try > now.steady) return;
  if (run.phase == run_phase::to_stop) {
    run.phase = run_phase::stopping;
    send(record, stop_order{ref, run.run}, limits_.order_timeout, now.steady);
    return;
  }
  if (run.phase != run_phase::to_start) return;
  auto lease = lease_for(worker, now);
  if (lease == 0) return;  // a look will tell the clock
  const auto& job = tables.jobs.at(ref.job);
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  const auto& snapshot = job.spec.steps[ref.step].gang
                             ? step.snapshot
                             : step.tasks[ref.index].snapshot;
  run.phase = run_phase::starting;
  worker.clock.granted(lease);
  send(record, start_order{ref, run.run, job.spec.text, lease, snapshot, {}},
       limits_.order_timeout, now.steady);
}

// The end of the lease to grant now; 0 while the worker's clock is unknown. A
// worker that does not answer is granted no more: it may hear every order, and
// its work could never be given up.
auto dispatcher::lease_for(const worker_state& worker, moment now) const
    -> std::int64_t {
  if (worker.unanswered > 0 && worker.clock.latest_end() != 0) {
    return worker.clock.latest_end();
  }
  return worker.clock.lease_end(now.steady, limits_.lease).value_or(0);
}

void dispatcher::act_on_worker(const worker_record& record,
                               worker_state& worker, moment now) {
  if (worker.look_out || worker.next_look > now.steady) return;
  bool untold = worker.told < worker.acknowledged;
  // A worker that did not answer is asked again while it reports, or it would
  // never be used again.
  bool probe = worker.unanswered > 0 &&
               now.steady - worker.reported_at < limits_.report_silence;
  if (worker.holding == 0 && !untold && !probe) return;
  // The answer would list the same ends again.
  if (!worker.uncommitted.empty() &&
      now.steady - worker.answered_at < stale_look) {
    return;
  }
  bool unsettled = std::ranges::any_of(worker.runs, [&](const task_ref& ref) {
    auto run = runs_.find(ref);
    return run != runs_.end() && needs_a_look(run->second.phase);
  });
  auto wait = worker.holding == 0 ? milliseconds(0)
              : unsettled         ? settle_wait
                                  : limits_.look_wait;
  auto lease = lease_for(worker, now);
  worker.clock.granted(lease);
  worker.look_out = true;
  send(record, look_order{lease, worker.acknowledged, wait},
       limits_.order_timeout + wait, now.steady);
}

void dispatcher::send(const worker_record& to, order what, milliseconds timeout,
                      time_point now) {
  auto id = next_id_++;
  orders_[id] = {to.life, what, now};
  effects_.emplace_back(
      send_order{id, to.life, to.address, fence_, std::move(what), timeout});
}

auto dispatcher::answered(const fleet_tables& tables, std::uint64_t id,
                          const order_answer& answer, moment now)
    -> std::vector<effect> {
  auto it = orders_.find(id);
  if (it == orders_.end()) return {};
  auto asked = std::move(it->second);
  orders_.erase(it);
  // Numbers begin anew in each life, so an earlier life's answer is void.
  auto worker = workers_.find(asked.worker.name);
  if (worker == workers_.end() || worker->second.life != asked.worker) {
    return {};
  }
  const auto* looked = std::get_if<order_looked>(&answer);
  if (looked != nullptr && looked->born_ms != 0 &&
      looked->born_ms != asked.worker.born_ms) {
    handle(tables, asked, order_misdirected{}, now);
    return take_effects();
  }
  if (std::holds_alternative<look_order>(asked.what)) {
    worker->second.look_out = false;
  }
  std::visit([&](const auto& one) { handle(tables, asked, one, now); }, answer);
  act_on(tables, worker->second, now);
  return take_effects();
}

auto dispatcher::ordered_run(const order& what) -> run_watch* {
  return std::visit(
      overloaded{[](const look_order&) -> run_watch* { return nullptr; },
                 [&](const auto& one) -> run_watch* {
                   auto it = runs_.find(one.task);
                   if (it == runs_.end() || it->second.run != one.run) {
                     return nullptr;
                   }
                   return &it->second;
                 }},
      what);
}

void dispatcher::handle(const fleet_tables&, const pending_order& asked,
                        const order_accepted& answer, moment now) {
  auto& worker = workers_[asked.worker.name];
  worker.clock.sample(answer.clock_ms, now.steady);
  worker.unanswered = 0;
  worker.answered_at = now.steady;
  auto* run = ordered_run(asked.what);
  if (run == nullptr) return;
  if (std::holds_alternative<start_order>(asked.what) &&
      run->phase == run_phase::starting) {
    run->phase = run_phase::started;
    run->settled_at = run->moved_at = now.steady;
    const auto& start = std::get<start_order>(asked.what);
    if (start.snapshot.empty()) run->base_at = now.steady;
  }
  if (std::holds_alternative<stop_order>(asked.what) &&
      run->phase == run_phase::stopping) {
    run->phase = run_phase::stopped;
    run->settled_at = now.steady;
  }
}

void dispatcher::handle(const fleet_tables& tables, const pending_order& asked,
                        const order_looked& answer, moment now) {
  auto& worker = workers_[asked.worker.name];
  worker.clock.sample(answer.clock_ms, now.steady);
  worker.unanswered = 0;
  worker.answered_at = now.steady;
  worker.next_look = now.steady;
  const auto& look = std::get<look_order>(asked.what);
  worker.told = std::max(worker.told, look.acknowledged);
  note_running(tables, worker, answer, asked.sent_at, now);
  note_ends(tables, worker, answer, now);
}

// Compares what a worker has with what it should have. Only a look that was
// sent after the last order was answered tells that a run is missing.
void dispatcher::note_running(const fleet_tables& tables, worker_state& worker,
                              const order_looked& answer, time_point sent_at,
                              moment now) {
  std::map<task_ref, const running_task*> running;
  for (const auto& r : answer.running) running[r.task] = &r;
  std::set<task_ref> ended;
  for (const auto& e : answer.ended) ended.insert(e.task);
  for (const auto& ref : worker.runs) {
    auto watched = runs_.find(ref);
    if (watched == runs_.end()) continue;
    auto& run = watched->second;
    auto it = running.find(ref);
    if (it != running.end() && it->second->run == run.run) {
      if (run.base_at == time_point{}) {
        run.base_at = now.steady;
        run.base_percent = it->second->percent;
      }
      bool is_new = run.phase == run_phase::inherited ||
                    run.phase == run_phase::starting ||
                    run.phase == run_phase::to_start;
      if (is_new) run.phase = run_phase::started;
      if (is_new || it->second->percent != run.percent) {
        run.moved_at = now.steady;
      }
      run.percent = it->second->percent;
      run.snapshot = it->second->snapshot;
      if (!run.measured && run.percent >= run.base_percent + least_progress) {
        run.measured = true;
        measure(tables, ref, run, run.percent, now);
      }
      continue;
    }
    if (ended.contains(ref) || sent_at <= run.settled_at) continue;
    if (run.phase == run_phase::inherited) {
      run.phase = run_phase::to_start;
      run.next_try = now.steady;
    } else if (run.phase == run_phase::started || needs_a_look(run.phase)) {
      end_as_lost(ref, run, "the worker does not have it", now);
    }
  }
}

// Takes the progress of a run since it began here as a sign of the speed of
// its machine. The members of a gang go at the pace of the slowest, and a
// wrong rack slows a task, so those tell nothing.
void dispatcher::measure(const fleet_tables& tables, const task_ref& ref,
                         const run_watch& run, std::uint32_t percent,
                         moment now) {
  const auto* record = record_of(tables, run.worker);
  auto job = tables.jobs.find(ref.job);
  if (record == nullptr || job == tables.jobs.end()) return;
  const auto& spec = job->second.spec.steps[ref.step];
  bool far = !spec.data_rack.empty() && spec.data_rack != record->rack;
  auto took = (now.steady - run.base_at).count();
  if (spec.gang || spec.lasting || far || took <= 0) return;
  if (run.base_at == time_point{}) return;
  speeds_.observe({ref.job, ref.occurrence, ref.step}, machine_of(*record),
                  static_cast<double>(percent - run.base_percent) /
                      static_cast<double>(took));
}

void dispatcher::note_ends(const fleet_tables& tables, worker_state& worker,
                           const order_looked& answer, moment now) {
  end_runs fresh;
  fresh.at = now.wall;
  auto noted = worker.noted;
  for (const auto& end : answer.ended) {
    if (end.sequence <= noted) continue;
    const auto* task = task_of(tables, end.task);
    bool matches = task != nullptr && task->run == end.run &&
                   task->worker == worker.life &&
                   (task->holding || (end.how == run_end::done && !task->done));
    // A run that was given up has ended well after all, and its task is
    // running again: to acknowledge it would make that a second time.
    if (!matches && end.how == run_end::done && task != nullptr &&
        !task->done) {
      note("end_withheld", {{"task", fleet::to_string(end.task)},
                            {"run", std::to_string(end.run)},
                            {"worker", worker.life.name}});
      worker.next_look = now.steady + stale_look;
      break;
    }
    noted = end.sequence;
    if (!matches) continue;
    judge(worker, end.how, now);
    auto run = runs_.find(end.task);
    if (end.how == run_end::done && run != runs_.end()) {
      measure(tables, end.task, run->second, whole_percent, now);
    }
    note("ended", {{"task", fleet::to_string(end.task)},
                   {"run", std::to_string(end.run)},
                   {"worker", worker.life.name},
                   {"how", std::string(to_string(end.how))}});
    fresh.runs.push_back(
        {end.task, end.run, worker.life, end.how, end.snapshot});
  }
  worker.noted = noted;
  worker.uncommitted.insert(worker.uncommitted.end(), fresh.runs.begin(),
                            fresh.runs.end());
  if (!fresh.runs.empty()) propose_command(std::move(fresh));
  confirm_ends(tables, worker);
}

// An end may be acknowledged once the tables have it.
void dispatcher::confirm_ends(const fleet_tables& tables,
                              worker_state& worker) {
  std::erase_if(worker.uncommitted, [&](const ended_run& end) {
    const auto* task = task_of(tables, end.task);
    return task == nullptr || !task->holding || task->run != end.run;
  });
  if (worker.uncommitted.empty()) worker.acknowledged = worker.noted;
}

void dispatcher::judge(worker_state& worker, run_end how, moment now) {
  if (how == run_end::done) worker.failures = 0;
  if (how != run_end::failed) return;
  ++worker.failures;
  if (worker.failures < failures_to_quarantine) return;
  auto doubled =
      std::min(worker.failures - failures_to_quarantine, longest_doubling);
  auto length = limits_.quarantine * (1 << doubled);
  worker.quarantined_until = now.steady + length;
  note("quarantined", {{"worker", worker.life.name},
                       {"failures", std::to_string(worker.failures)},
                       {"for_ms", std::to_string(length.count())}});
}

void dispatcher::handle(const fleet_tables&, const pending_order& asked,
                        const order_rejected& answer, moment now) {
  auto& worker = workers_[asked.worker.name];
  if (answer.clock_ms != 0) worker.clock.sample(answer.clock_ms, now.steady);
  worker.unanswered = 0;
  worker.answered_at = now.steady;
  auto* run = ordered_run(asked.what);
  if (run == nullptr) {
    worker.next_look = now.steady + fence_pause;
    return;
  }
  if (std::holds_alternative<stop_order>(asked.what)) {
    if (run->phase != run_phase::stopping) return;
    bool fenced = answer.why == rejection::fence;
    run->phase = fenced ? run_phase::to_stop : run_phase::stopped;
    run->settled_at = now.steady;
    run->next_try = now.steady + (fenced ? fence_pause : retry_pause);
    return;
  }
  const auto* start = std::get_if<start_order>(&asked.what);
  if (start == nullptr || run->phase != run_phase::starting) return;
  switch (answer.why) {
    case rejection::fence:
      run->phase = run_phase::to_start;
      run->next_try = now.steady + fence_pause;
      break;
    case rejection::late:
      run->phase = run_phase::to_start;
      run->next_try = now.steady + retry_pause;
      break;
    case rejection::old_run:
      run->phase = run_phase::doubtful;
      run->settled_at = now.steady;
      break;
    case rejection::no_room:
      worker.quarantined_until = now.steady + fence_pause;
      end_as_lost(start->task, *run, "no room", now);
      break;
    case rejection::no_ticket:
      end_as_lost(start->task, *run, "no valid ticket", now);
      break;
    case rejection::invalid:
      judge(worker, run_end::failed, now);
      end_as_lost(start->task, *run, "refused as invalid", now);
      break;
  }
}

void dispatcher::handle(const fleet_tables&, const pending_order& asked,
                        const order_misdirected&, moment) {
  const auto& worker = workers_[asked.worker.name];
  note("worker_life_over", {{"worker", asked.worker.name},
                            {"born", std::to_string(worker.life.born_ms)},
                            {"reason", "another life answers at its address"}});
  propose_command(drop_worker{worker.life});
}

void dispatcher::handle(const fleet_tables&, const pending_order& asked,
                        const order_refused&, moment now) {
  auto& worker = workers_[asked.worker.name];
  worker.answered_at = now.steady;
  worker.next_look = now.steady + unwell_pause;
  auto* run = ordered_run(asked.what);
  if (run == nullptr) return;
  if (const auto* start = std::get_if<start_order>(&asked.what)) {
    if (run->phase != run_phase::starting) return;
    judge(worker, run_end::failed, now);
    end_as_lost(start->task, *run, "the worker is unwell", now);
  } else if (run->phase == run_phase::stopping) {
    run->phase = run_phase::to_stop;
    run->next_try = now.steady + unwell_pause;
  }
}

void dispatcher::handle(const fleet_tables& tables, const pending_order& asked,
                        const order_unanswered& answer, moment now) {
  auto& worker = workers_[asked.worker.name];
  ++worker.unanswered;
  worker.next_look =
      now.steady + (worker.holding == 0 ? probe_pause : unwell_pause);
  auto* run = ordered_run(asked.what);
  if (run == nullptr) return;
  if (run->phase == run_phase::stopping) run->phase = run_phase::to_stop;
  run->next_try = now.steady + (answer.sent ? retry_pause : unwell_pause);
  const auto* start = std::get_if<start_order>(&asked.what);
  if (start == nullptr || run->phase != run_phase::starting) return;
  run->phase = run_phase::to_start;
  bool gang = tables.jobs.contains(start->task.job) &&
              tables.jobs.at(start->task.job).spec.steps[start->task.step].gang;
  bool too_late = now.steady - run->placed_at >
                  limits_.gang_wait - 2 * limits_.order_timeout;
  if (too_late && gang) stop_run(start->task, "no answer to its start");
}

void dispatcher::end_as_lost(const task_ref& ref, run_watch& run,
                             std::string_view reason, moment now) {
  if (!ending_.insert(ref).second) return;
  note("run_lost", {{"task", fleet::to_string(ref)},
                    {"run", std::to_string(run.run)},
                    {"worker", run.worker.name},
                    {"reason", std::string(reason)}});
  propose_command(end_runs{
      {{ref, run.run, run.worker, run_end::lost, run.snapshot}}, now.wall});
}

void dispatcher::give_up_runs(const fleet_tables& tables,
                              const worker_life& life, std::string_view reason,
                              moment now) {
  for (auto& [ref, run] : runs_) {
    const auto* task = task_of(tables, ref);
    if (run.worker != life || task == nullptr) continue;
    end_as_lost(ref, run, reason, now);
  }
}

}  // namespace parsleyledge::fleet
