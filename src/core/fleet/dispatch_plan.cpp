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
// Interval between two attempts to reclaim capacity for a step; a stop takes
// half as long.
constexpr milliseconds reclaim_interval{100};
// Cost of a stop besides the repeated work: the capacity is idle until the stop
// is confirmed, and the task loads its data again.
constexpr milliseconds stop_overhead{1000};
// Weight of lost work for each priority level above the lowest: gangs of the
// higher queues wait long for capacity, while single tasks soon find some.
// Also the limit on what an urgent step beyond its guarantee may cost: as much
// work of the next lower priority as it has itself.
constexpr std::int64_t loss_factor = 3;
// The same for an urgent step within its guarantee, as long as it can wait.
constexpr std::int64_t guaranteed_loss_factor = 12;
// A guaranteed step waits for this time for a rack of its own at that cost,
// then it takes any capacity at any cost.
constexpr milliseconds max_rack_wait{700};
// Levels beyond this distance from the lowest weigh the same.
constexpr std::uint32_t max_weighted_levels = 10;
// A step that has waited for this time takes any capacity that it fits twice,
// since a job may have nothing running for three seconds at most.
constexpr milliseconds last_resort_delay{2000};
// Urgent work waits for this time at most for other work to end by itself.
constexpr milliseconds max_end_wait{1200};
// Runs that were to end by themselves are stopped this long after that.
constexpr milliseconds end_estimate_error{200};
// Work that is in the way of guaranteed work is stopped this long after the
// claim, so that it is honoured within the 2.7 s that sites allow.
constexpr milliseconds latest_stop{1200};

/// Core-milliseconds lost if a run is stopped. A stop saves the progress of a
/// task with checkpoints.
auto loss_of(const step_spec& spec, milliseconds run_time) -> std::int64_t {
  auto lost = spec.checkpoints ? milliseconds(0) : run_time;
  return cores_of(spec) * (lost + stop_overhead).count();
}

/// The weight of work lost by a queue of this priority, relative to the lowest.
auto loss_weight(const site& config, std::uint32_t priority) -> std::int64_t {
  std::uint32_t lowest = priority;
  for (const auto& q : config.queues) lowest = std::max(lowest, q.priority);
  auto levels = std::min(lowest - priority, max_weighted_levels);
  std::int64_t weight = 1;
  for (std::uint32_t i = 0; i < levels; ++i) weight *= loss_factor;
  return weight;
}

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

/// Whether a component that the need does not include is exceeded. Stops for
/// the need would not free enough of it for the worker to take work again.
auto exceeds_unneeded(const resources& used, const resources& capacity,
                      const resources& need) -> bool {
  return (need.cpu_milli == 0 && used.cpu_milli > capacity.cpu_milli) ||
         (need.memory_mb == 0 && used.memory_mb > capacity.memory_mb) ||
         (need.accelerators == 0 && used.accelerators > capacity.accelerators);
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
    trial.add(run->task.job, task != nullptr && task->crashes > 0);
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
              trial_of(tables, worker)});
  }
  auto subtract = [&](std::span<const placement> placements) {
    for (const auto& p : placements) {
      auto job = tables.jobs.find(p.task.job);
      if (job == tables.jobs.end()) continue;
      pass.allocate(p.worker.name,
                    reserved_by(job->second.spec.steps[p.task.step]));
      const auto* task = find_task(tables, p.task);
      pass.begin_trial(p.worker.name, p.task.job,
                       task != nullptr && task->crashes > 0);
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

// The number of accelerators assigned to each customer's work of priority 0.
auto dispatcher::urgent_accelerators(const fleet_tables& tables) const
    -> std::map<std::string_view, std::int64_t> {
  std::map<std::string_view, std::int64_t> in_use;
  for (const auto& [id, job] : tables.jobs) {
    const auto* queue = find_queue(*site_, job.spec.queue);
    if (queue == nullptr || queue->priority != 0) continue;
    for (const auto& [number, occurrence] : job.open) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        auto n = std::ranges::count(occurrence.steps[s].tasks, true,
                                    &task_record::assigned);
        in_use[job.spec.customer] +=
            job.spec.steps[s].per_task.accelerators * n;
      }
    }
  }
  return in_use;
}

auto dispatcher::guarantee_of(std::string_view customer) const -> std::int64_t {
  auto it = site_->customers.find(customer);
  return it == site_->customers.end() ? 0 : it->second.guaranteed_accelerators;
}

// Whether the customer's work of priority 0 stays within its guarantee with
// this step. Capacity for such a step is reclaimed at any cost to others.
auto dispatcher::is_guaranteed(const backlog_item& item,
                               const fleet_tables& tables) const -> bool {
  if (item.job_queue->priority != 0) return false;
  auto in_use = urgent_accelerators(tables);
  auto needed = item.spec->per_task.accelerators *
                    static_cast<std::int64_t>(item.tasks.size()) +
                in_use[item.job->spec.customer];
  return needed <= guarantee_of(item.job->spec.customer);
}

// Adds the runs of a step that could be stopped: a gang as a whole, other tasks
// one by one.
void dispatcher::add_stoppable_work(
    const job_record& job, const step_ref& ref,
    const std::map<std::string_view, std::size_t>& index, clock_reading now,
    std::vector<stoppable_work>& found) const {
  const auto& spec = job.spec.steps[ref.step];
  const auto& tasks = job.open.at(ref.occurrence).steps[ref.step].tasks;
  const auto* queue = find_queue(*site_, job.spec.queue);
  if (spec.long_running || queue == nullptr) return;
  auto weight = loss_weight(*site_, queue->priority);
  stoppable_work work;
  for (std::uint32_t t = 0; t < tasks.size(); ++t) {
    task_ref name{ref.job, ref.occurrence, ref.step, t};
    auto run = runs_.find(name);
    bool stops = tasks[t].assigned && run != runs_.end() &&
                 (run->second.phase == run_phase::started ||
                  run->second.phase == run_phase::starting);
    if (!stops) continue;
    if (!spec.gang) work = {};
    work.tasks.push_back(name);
    work.placed_at = run->second.placed_at;
    auto at = index.find(tasks[t].worker.name);
    if (at != index.end()) {
      work.as_victim.freed.push_back({at->second, reserved_by(spec)});
    }
    auto left = time_left(run->second, now);
    work.time_left = left && work.time_left
                         ? std::optional(std::max(*left, *work.time_left))
                         : std::nullopt;
    work.accelerators += spec.per_task.accelerators;
    work.as_victim.loss +=
        weight * loss_of(spec, now.steady - run->second.placed_at);
    if (!spec.gang && !work.as_victim.freed.empty()) found.push_back(work);
  }
  if (spec.gang && !work.as_victim.freed.empty())
    found.push_back(std::move(work));
}

// The runs on these workers that may be stopped for urgent work: those of lower
// priority and, for a step within its customer's guarantee, the latest runs of
// other customers' urgent work that exceed their guarantees.
auto dispatcher::find_victims(
    const fleet_tables& tables, const backlog_item& item, bool guaranteed,
    const std::map<std::string_view, std::size_t>& index,
    clock_reading now) const -> std::vector<stoppable_work> {
  std::vector<stoppable_work> found;
  std::map<std::string_view, std::vector<stoppable_work>> borrowed;
  for (const auto& [id, job] : tables.jobs) {
    const auto* queue = find_queue(*site_, job.spec.queue);
    if (queue == nullptr) continue;
    bool lower = queue->priority > item.job_queue->priority;
    bool other = guaranteed && job.spec.customer != item.job->spec.customer;
    if (!lower && !other) continue;
    auto& list = lower ? found : borrowed[job.spec.customer];
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        add_stoppable_work(job, {id, number, s}, index, now, list);
      }
    }
  }
  auto in_use = urgent_accelerators(tables);
  for (auto& [customer, list] : borrowed) {
    std::ranges::sort(list, std::ranges::greater(), &stoppable_work::placed_at);
    auto excess = in_use[customer] - guarantee_of(customer);
    for (auto& work : list) {
      if (work.accelerators > excess) continue;
      excess -= work.accelerators;
      found.push_back(std::move(work));
    }
  }
  return found;
}

// Lets work go on that ends soon enough by itself: it costs the step only the
// time until then, in which the step does no work of its own.
void dispatcher::wait_for_ends(const backlog_item& item,
                               std::span<stoppable_work> found,
                               clock_reading now) const {
  auto max_wait = std::min(max_end_wait, item.due + latest_stop - now.wall);
  auto own_cores =
      cores_of(*item.spec) * static_cast<std::int64_t>(item.tasks.size());
  for (auto& work : found) {
    if (!work.time_left || *work.time_left > max_wait) {
      work.time_left.reset();
      continue;
    }
    auto left = std::max(*work.time_left, milliseconds(0));
    auto wait_cost = own_cores * left.count();
    if (wait_cost >= work.as_victim.loss) {
      work.time_left.reset();
    } else {
      work.as_victim.loss = wait_cost;
    }
  }
}

// Stops the runs whose loss costs least to free capacity for an urgent step, if
// the loss is small enough or the step is guaranteed, and reserves the capacity
// until the runs have ended.
void dispatcher::reclaim(const backlog_item& item, const fleet_tables& tables,
                         std::span<const candidate> candidates,
                         std::span<const std::size_t> rows, placement_need need,
                         planning_pass& pass, clock_reading now) {
  if (item.job_queue->priority != 0) return;
  auto& last_try = reclaim_tried_at_[item.step];
  if (now.steady - last_try < reclaim_interval) return;
  last_try = now.steady;
  std::map<std::string_view, std::size_t> index;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& record = *pass.row(rows[i]).record;
    const auto& used = workers_.at(record.incarnation.name).used;
    if (exceeds_unneeded(used, record.capacity, need.per_task)) continue;
    index[record.incarnation.name] = i;
  }
  bool guaranteed = is_guaranteed(item, tables);
  auto found = find_victims(tables, item, guaranteed, index, now);
  if (found.empty()) return;
  wait_for_ends(item, found, now);
  std::vector<victim> victims;
  victims.reserve(found.size());
  for (const auto& work : found) victims.push_back(work.as_victim);
  bool must_start = guaranteed && now.wall - item.due >= max_rack_wait;
  need.any_rack = need.any_rack || must_start;
  auto plan = plan_reclaim(candidates, victims, need);
  if (!plan || (plan->victims.empty() && !must_start)) return;
  auto own_work = cores_of(*item.spec) * item.spec->estimate.count() *
                  static_cast<std::int64_t>(item.tasks.size());
  auto max_loss =
      own_work * (guaranteed ? guaranteed_loss_factor : loss_factor);
  if (!must_start && plan->loss > max_loss) return;
  reclaim_reservation reservation;
  reservation.placements = make_placements(item, plan->chosen, rows, pass);
  milliseconds longest_wait{0};
  for (auto v : plan->victims) {
    const auto& work = found[v];
    if (work.time_left) {
      longest_wait = std::max(longest_wait, *work.time_left);
      reservation.ending.insert(reservation.ending.end(), work.tasks.begin(),
                                work.tasks.end());
      continue;
    }
    for (const auto& ref : work.tasks) {
      stop_run(runs_.at(ref), displaced{item.step});
    }
  }
  reservation.stop_at = now.steady + longest_wait + end_estimate_error;
  reservation.until = reservation.stop_at + limits_.reservation_timeout;
  // The runs to be stopped still use their capacity, so no other step of this
  // pass may plan with it.
  for (const auto& c : plan->chosen) {
    pass.allocate_on(rows[c.candidate], need.per_task * c.tasks);
  }
  log_decision("reclaim",
               {{"step", fleet::to_string(item.step)},
                {"customer", item.job->spec.customer},
                {"guaranteed", guaranteed ? "yes" : "no"},
                {"tasks", std::to_string(reservation.placements.size())},
                {"stopped", std::to_string(plan->victims.size())},
                {"ending", std::to_string(reservation.ending.size())},
                {"lost_core_ms", std::to_string(plan->loss)}});
  reclaim_reservations_[item.step] = std::move(reservation);
}

}  // namespace parsleyledge::fleet
