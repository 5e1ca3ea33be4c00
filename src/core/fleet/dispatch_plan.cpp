#include <algorithm>
#include <cmath>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

// Work of queues that allow at least this multiple of its length runs on slow
// machines first and leaves fast ones to other work: the slowest machines take
// 2.5 times as long as others.
constexpr double slow_worker_stretch = 2.5;
// A step needs this many tasks to compare the speeds of machines whose speed is
// unknown.
constexpr std::uint32_t min_explore_tasks = 3;
// A step that has waited for this time takes any capacity that it fits twice,
// since a job may have nothing running for three seconds at most.
constexpr milliseconds last_resort_delay{2000};
/// Keeps the rows of workers on which the step may be tried: for suspected work
/// the empty ones, if it fits there.
void keep_trial_rows(const backlog_item& item, const planning_pass& pass,
                     std::vector<std::size_t>& rows) {
  std::erase_if(rows, [&](std::size_t i) {
    return !pass.row(i).trial.allows(item.step.job, item.suspected);
  });
  if (!item.suspected) return;
  auto need = reserved_by(*item.spec);
  std::int64_t tasks = 0;
  std::vector<std::size_t> empty;
  for (auto i : rows) {
    if (!pass.row(i).empty) continue;
    tasks += count_fitting(pass.row(i).available, need);
    empty.push_back(i);
  }
  auto wanted = item.spec->gang ? item.tasks.size() : std::size_t{1};
  if (tasks >= static_cast<std::int64_t>(wanted)) rows = std::move(empty);
}

auto placed_tasks(std::span<const choice> chosen) -> std::uint32_t {
  std::uint32_t sum = 0;
  for (const auto& c : chosen) sum += c.tasks;
  return sum;
}

/// Chooses among all workers and racks, if there is capacity for twice the
/// need.
auto choose_last_resort(std::span<const candidate> workers, placement_need need)
    -> std::vector<choice> {
  need.any_rack = true;
  need.explore = false;
  auto twice = need;
  twice.tasks = need.all_or_nothing ? 2 * need.tasks : 2;
  twice.all_or_nothing = true;
  if (choose_workers(workers, twice).empty()) return {};
  return choose_workers(workers, need);
}

auto fits_one_rack(std::span<const candidate> workers,
                   const placement_need& need, std::string_view required_rack)
    -> bool {
  std::map<std::string_view, std::vector<candidate>> racks;
  for (const auto& w : workers) {
    if (required_rack.empty() || w.rack == required_rack)
      racks[w.rack].push_back(w);
  }
  return std::ranges::any_of(
      racks, [&](const auto& rack) { return can_ever_fit(rack.second, need); });
}

}  // namespace

auto dispatcher::is_usable(const worker_record& record,
                           const worker_state& worker, clock_reading now) const
    -> bool {
  if (record.draining || worker.under_maintenance ||
      worker.incarnation != record.incarnation) {
    return false;
  }
  bool is_unresponsive =
      worker.missed_responses > 0 || worker.unavailable_until > now.steady;
  if (is_unresponsive) return false;
  auto received_at = std::max(worker.reported_at, worker.responded_at);
  return now.steady - received_at <= limits_.report_timeout;
}

auto dispatcher::has_pending_placement(const step_ref& step) const -> bool {
  if (reclaim_reservations_.contains(step)) return true;
  return std::ranges::any_of(proposed_placements_, [&](const auto& item) {
    return std::ranges::any_of(item.second, [&](const placement& p) {
      return step_ref{p.task.job, p.task.occurrence, p.task.step} == step;
    });
  });
}

auto dispatcher::trial_of(const fleet_tables& tables,
                          const worker_state& worker) -> start_trial {
  start_trial trial;
  for (const auto* run : worker.runs) {
    if (run->outlived_start) continue;
    const auto* task = find_task(tables, run->task);
    trial.add(run->task.job, task != nullptr && task->suspected);
  }
  return trial;
}

auto dispatcher::begin_pass(const fleet_tables& tables, clock_reading now) const
    -> planning_pass {
  planning_pass pass;
  auto state = workers_.begin();  // sorted by name, as the tables are
  for (const auto& [name, record] : tables.workers) {
    while (state != workers_.end() && state->first < name) ++state;
    if (state == workers_.end()) break;
    const auto& worker = state->second;
    if (state->first != name || !is_usable(record, worker, now)) continue;
    if (is_evacuated(tables, record)) continue;
    auto speed = speeds_.learned(machine_of(record));
    auto available = record.capacity - worker.used;
    // A worker that uses more than a capacity that has shrunk takes no work,
    // not even work that needs other components of the capacity.
    if (exceeds(worker.used, record.capacity))
      available = component_min(available, {});
    pass.add({&record,
              available,
              worker.retained.total(now.steady),
              {},
              std::exp(speed.log_speed),
              speed.weight > 0,
              worker.quarantined_until > now.steady,
              worker.runs.empty(),
              trial_of(tables, worker),
              std::int64_t{limits_.max_tasks_per_worker} -
                  static_cast<std::int64_t>(worker.runs.size())});
  }
  auto subtract = [&](std::span<const placement> placements) {
    for (const auto& p : placements) {
      auto job = tables.jobs.find(p.task.job);
      if (job == tables.jobs.end()) continue;
      pass.allocate(p.worker.name,
                    reserved_by(job->second.spec.steps[p.task.step]));
      const auto* task = find_task(tables, p.task);
      pass.begin_trial(p.worker.name, p.task.job,
                       task != nullptr && task->suspected);
    }
  };
  for (const auto& [token, placements] : proposed_placements_)
    subtract(placements);
  for (const auto& [step, reservation] : reclaim_reservations_)
    subtract(reservation.placements);
  return pass;
}

void dispatcher::plan_placements(const fleet_tables& tables,
                                 clock_reading now) {
  propose_ready_reservations(tables, now);
  auto backlog = collect_backlog(tables, *site_, now.wall);
  track_waiting(backlog, now.steady);
  if (backlog.empty()) return;
  auto pass = begin_pass(tables, now);
  renew_gang_reservations(tables, pass, now);
  for (const auto& item : backlog) {
    if (has_pending_placement(item.step)) {
      record_pending_wait(item.step, now);
    } else {
      place_step(item, tables, pass, now);
    }
  }
}

// Proposes the placements of reservations whose capacity is free on every
// worker, and removes those that timed out or are no longer needed.
void dispatcher::propose_ready_reservations(const fleet_tables& tables,
                                            clock_reading now) {
  if (reclaim_reservations_.empty()) return;
  auto pass = begin_pass(tables, now);
  for (auto it = reclaim_reservations_.begin();
       it != reclaim_reservations_.end();) {
    auto& [step, reservation] = *it;
    if (now.steady >= reservation.stop_at) stop_ending(step, reservation);
    auto job = tables.jobs.find(step.job);
    bool is_needed =
        job != tables.jobs.end() && (job->second.state == job_state::queued ||
                                     job->second.state == job_state::running);
    bool is_ready = is_needed;
    for (const auto& p : reservation.placements) {
      auto worker = tables.workers.find(p.worker.name);
      const auto* available =
          pass.available(p.worker.name);  // without the reserved capacity
      is_needed = is_needed && available != nullptr &&
                  worker != tables.workers.end() &&
                  worker->second.incarnation == p.worker;
      is_ready = is_ready && is_needed && available->cpu_milli >= 0 &&
                 available->memory_mb >= 0 && available->accelerators >= 0;
    }
    if (is_ready) {
      finish_wait(step, job->second.spec.queue, now);
      auto placements = reservation.placements;
      auto token = propose_command(place_tasks{placements, now.wall});
      proposed_placements_[token] = std::move(placements);
    }
    bool is_finished = !is_needed || is_ready || reservation.until < now.steady;
    it = is_finished ? reclaim_reservations_.erase(it) : std::next(it);
  }
}

// Stops the runs that were expected to end by themselves and have not.
void dispatcher::stop_ending(const step_ref& step,
                             reclaim_reservation& reservation) {
  for (const auto& ref : std::exchange(reservation.ending, {})) {
    auto run = runs_.find(ref);
    if (run != runs_.end()) stop_run(run->second, displaced{step});
  }
}

auto dispatcher::make_placements(const backlog_item& item,
                                 std::span<const choice> chosen,
                                 std::span<const std::size_t> rows,
                                 const planning_pass& pass) const
    -> std::vector<placement> {
  std::vector<placement> placements;
  const step_record* step = nullptr;
  auto open = item.job->open.find(item.step.occurrence);
  if (open != item.job->open.end()) {
    step = &open->second.steps[item.step.step];
  }
  std::size_t next = 0;
  for (const auto& c : chosen) {
    for (std::uint32_t n = 0; n < c.tasks; ++n, ++next) {
      auto index = item.tasks[next];
      auto last_run = step == nullptr   ? 0
                      : item.spec->gang ? step->last_run
                                        : step->tasks[index].run;
      placements.push_back(
          {{item.step.job, item.step.occurrence, item.step.step, index},
           last_run + 1,
           pass.row(rows[c.candidate]).record->incarnation});
    }
  }
  return placements;
}

auto dispatcher::need_of(const backlog_item& item, clock_reading now) const
    -> placement_need {
  placement_need need;
  need.per_task = reserved_by(*item.spec);
  need.tasks = static_cast<std::uint32_t>(item.tasks.size());
  need.max_per_worker = item.spec->max_per_worker;
  need.all_or_nothing = item.spec->gang;
  need.same_rack = item.spec->same_rack;
  need.data_rack = item.spec->data_rack;
  // A wrong rack triples the run time, so it is worth waiting for the right
  // one for as long as the step takes.
  need.any_rack = now.wall - item.due > item.spec->estimate;
  need.slow_first = item.job_queue->stretch >= slow_worker_stretch &&
                    now.wall < item.objective_at - item.spec->estimate;
  need.explore = need.slow_first && !need.all_or_nothing &&
                 need.tasks >= min_explore_tasks;
  need.task_work = cores_of(*item.spec) * item.spec->estimate.count();
  return need;
}

// Notes since when steps wait. Of a job with other runs only long-running and
// suspected tasks count.
void dispatcher::track_waiting(std::span<const backlog_item> backlog,
                               time_point now) {
  auto previous = std::exchange(waiting_since_, {});
  for (const auto& item : backlog) {
    bool counts = item.spec->long_running || item.suspected ||
                  !has_assigned_tasks(*item.job);
    if (!counts) continue;
    auto known = previous.find(item.step);
    waiting_since_[item.step] = known == previous.end() ? now : known->second;
  }
}

auto dispatcher::has_waited_long(const backlog_item& item, time_point now) const
    -> bool {
  auto it = waiting_since_.find(item.step);
  return it != waiting_since_.end() && now - it->second >= last_resort_delay;
}

// Whether a step is past last_resort_delay and may use capacity that is kept
// for others: long-running tasks always, other tasks while at least half of
// the service is free.
auto dispatcher::is_overdue(const backlog_item& item, planning_pass& pass,
                            time_point now) const -> bool {
  if (!has_waited_long(item, now)) return false;
  return item.spec->long_running || pass.is_half_free(item.job_queue->service);
}

void dispatcher::place_step(const backlog_item& item,
                            const fleet_tables& tables, planning_pass& pass,
                            clock_reading now) {
  auto need = need_of(item, now);
  const auto& service = item.job_queue->service;
  const auto& label = item.spec->label;
  bool urgent = item.job_queue->priority == 0;
  bool failed_before = pass.has_failed(service, label, need);
  bool overdue = is_overdue(item, pass, now.steady);
  if (failed_before && !urgent && !overdue && !item.suspected &&
      !gang_reservations_.contains(item.step)) {
    waits_.extend(item.step, now.steady);
    return;
  }
  auto rows = pass.rows_of(service, label);
  auto all_rows = rows;
  auto is_not_allowed = [&](std::size_t i) {
    return permission_of(item, pass.row(i).record->incarnation, now) !=
           permission::allowed;
  };
  std::erase_if(rows, is_not_allowed);
  if (!has_waited_long(item, now.steady)) keep_trial_rows(item, pass, rows);
  auto candidates = candidates_for(item, rows, pass);
  bool needs_rack = need.same_rack || !need.data_rack.empty();
  if (needs_rack && !need.any_rack) {
    need.any_rack = !fits_one_rack(candidates, need, need.data_rack);
  }
  auto chosen = choose_workers(candidates, need);
  if (chosen.empty() && overdue) {
    all_rows = pass.all_rows_of(service, label);
    auto last_rows = all_rows;
    std::erase_if(last_rows, is_not_allowed);
    auto last = candidates_for(item, last_rows, pass);
    for (std::size_t i = 0; i < last.size(); ++i) {
      const auto& row = pass.row(last_rows[i]);
      last[i].free = urgent ? row.available : row.available - row.retained;
    }
    chosen = choose_last_resort(last, need);
    if (!chosen.empty()) {
      rows = std::move(last_rows);
      candidates = std::move(last);
    }
  }
  if (item.job_queue->advice && placed_tasks(chosen) < need.tasks) {
    request_advice(item, all_rows, pass, now);
  }
  if (chosen.empty()) {
    record_wait(item, candidates, need, pass, now);
    if (!item.job_queue->advice && !item.suspected) {
      pass.record_failure(service, label, need);
    }
    reclaim(item, tables, candidates, rows, need, pass, now);
    reserve_for_gang(item, tables, candidates, rows, need, pass, now);
    return;
  }
  gang_reservations_.erase(item.step);
  waiting_since_.erase(item.step);
  finish_wait(item.step, item.job_queue->name, now);
  auto placements = make_placements(item, chosen, rows, pass);
  double slowest = candidates[chosen.front().candidate].speed;
  for (const auto& c : chosen) {
    slowest = std::min(slowest, candidates[c.candidate].speed);
    auto amount = need.per_task * c.tasks;
    pass.take_task_slots(rows[c.candidate], c.tasks);
    pass.begin_trial(pass.row(rows[c.candidate]).record->incarnation.name,
                     item.step.job, item.suspected);
    if (!urgent) {
      pass.allocate_on(rows[c.candidate], amount);
      continue;
    }
    pass.allocate_retained(rows[c.candidate], amount);
    workers_[pass.row(rows[c.candidate]).record->incarnation.name].retained.use(
        amount);
  }
  log_decision("placed",
               {{"step", fleet::to_string(item.step)},
                {"slowest", std::to_string(slowest)},
                {"estimate_ms", std::to_string(item.spec->estimate.count())},
                {"tasks", std::to_string(placements.size())},
                {"run", std::to_string(placements.front().run)},
                {"worker", placements.front().worker.name},
                {"waited_ms", std::to_string((now.wall - item.due).count())}});
  auto token = propose_command(place_tasks{placements, now.wall});
  proposed_placements_[token] = std::move(placements);
}

}  // namespace parsleyledge::fleet
