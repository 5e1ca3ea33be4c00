#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

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
// Levels beyond this distance from the lowest weigh the same.
constexpr std::uint32_t max_weighted_levels = 10;
// Urgent work waits for this time at most for other work to end by itself.
constexpr milliseconds max_end_wait{1200};
// Runs that were to end by themselves are stopped this long after that.
constexpr milliseconds end_estimate_error{200};

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

/// Whether a component that the need does not include is exceeded. Stops for
/// the need would not free enough of it for the worker to take work again.
auto exceeds_unneeded(const resources& used, const resources& capacity,
                      const resources& need) -> bool {
  return (need.cpu_milli == 0 && used.cpu_milli > capacity.cpu_milli) ||
         (need.memory_mb == 0 && used.memory_mb > capacity.memory_mb) ||
         (need.accelerators == 0 && used.accelerators > capacity.accelerators);
}

}  // namespace

// The number of accelerators assigned to each customer's work of priority 0.
auto dispatcher::urgent_accelerators(const fleet_tables& tables) const
    -> std::map<std::string_view, std::int64_t> {
  std::map<std::string_view, std::int64_t> in_use;
  for (const auto& [id, job] : tables.jobs) {
    const auto* queue = queue_of(*site_, job.spec);
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

// Keeps this many of the tasks of a step, those beside most others on their
// worker first: what is freed has to suffice on one worker.
void dispatcher::limit_stops(std::vector<stoppable_work>& tasks,
                             std::size_t limit) {
  if (tasks.size() <= limit) return;
  std::map<std::size_t, std::size_t> by_worker;
  auto worker_of = [](const stoppable_work& work) {
    return work.as_victim.freed.front().candidate;
  };
  for (const auto& work : tasks) ++by_worker[worker_of(work)];
  std::ranges::stable_sort(tasks, std::ranges::greater(), [&](const auto& w) {
    return std::pair(by_worker[worker_of(w)], worker_of(w));
  });
  tasks.resize(limit);
}

// How many tasks of a step may be stopped: of a long-running one only as many
// as may be unavailable at once.
auto dispatcher::max_stops(const step_spec& spec, const step_ref& ref) const
    -> std::size_t {
  if (!spec.long_running || spec.max_unavailable == 0) return spec.tasks;
  std::size_t unavailable = 0;
  for (std::uint32_t t = 0; t < spec.tasks; ++t) {
    auto run = runs_.find({ref.job, ref.occurrence, ref.step, t});
    if (run == runs_.end() || !is_at_work(run->second)) ++unavailable;
  }
  return spec.max_unavailable -
         std::min<std::size_t>(unavailable, spec.max_unavailable);
}

// Adds the runs of a step that could be stopped: a gang as a whole, other tasks
// one by one. Long-running ones end by themselves only when their customer
// cancels them, so they give way to guaranteed work only.
void dispatcher::add_stoppable_work(
    const job_record& job, const step_ref& ref, bool guaranteed,
    const std::map<std::string_view, std::size_t>& index, clock_reading now,
    std::vector<stoppable_work>& found) const {
  const auto& spec = job.spec.steps[ref.step];
  const auto& tasks = job.open.at(ref.occurrence).steps[ref.step].tasks;
  const auto* queue = queue_of(*site_, job.spec);
  if (queue == nullptr || (spec.long_running && !guaranteed)) return;
  auto limit = max_stops(spec, ref);
  if (limit < (spec.gang ? tasks.size() : 1)) return;
  auto weight = loss_weight(*site_, queue->priority);
  std::vector<stoppable_work> single;
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
    auto left = time_left(run->second, now.steady);
    work.time_left = left && work.time_left
                         ? std::optional(std::max(*left, *work.time_left))
                         : std::nullopt;
    work.accelerators += spec.per_task.accelerators;
    work.as_victim.loss +=
        weight * loss_of(spec, now.steady - run->second.placed_at);
    if (!spec.gang && !work.as_victim.freed.empty()) single.push_back(work);
  }
  if (spec.gang && !work.as_victim.freed.empty())
    found.push_back(std::move(work));
  limit_stops(single, limit);
  std::ranges::move(single, std::back_inserter(found));
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
    const auto* queue = queue_of(*site_, job.spec);
    if (queue == nullptr) continue;
    bool lower = queue->priority > item.job_queue->priority;
    bool other = guaranteed && job.spec.customer != item.job->spec.customer;
    if (!lower && !other) continue;
    auto& list = lower ? found : borrowed[job.spec.customer];
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        add_stoppable_work(job, {id, number, s}, guaranteed, index, now, list);
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
                               std::span<stoppable_work> found) {
  auto own_cores =
      cores_of(*item.spec) * static_cast<std::int64_t>(item.tasks.size());
  for (auto& work : found) {
    if (!work.time_left || *work.time_left > max_end_wait) {
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
  // A claim has to be honoured in time whatever else happens meanwhile, so it
  // waits for nothing.
  if (guaranteed) {
    for (auto& work : found) work.time_left.reset();
  } else {
    wait_for_ends(item, found);
  }
  std::vector<victim> victims;
  victims.reserve(found.size());
  for (const auto& work : found) victims.push_back(work.as_victim);
  need.any_rack = need.any_rack || guaranteed;
  auto plan = plan_reclaim(candidates, victims, need);
  if (!plan || (plan->victims.empty() && !guaranteed)) return;
  auto own_work = cores_of(*item.spec) * item.spec->estimate.count() *
                  static_cast<std::int64_t>(item.tasks.size());
  if (!guaranteed && plan->loss > own_work * loss_factor) return;
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
