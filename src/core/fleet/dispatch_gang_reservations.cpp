#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

// More reservations would leave too much of a small site idle while the tasks
// there end.
constexpr std::size_t max_gang_reservations = 2;

/// The number of tasks of the step that are assigned to each worker.
auto tasks_by_worker(const backlog_item& item)
    -> std::map<std::string_view, std::uint32_t> {
  std::map<std::string_view, std::uint32_t> counts;
  auto open = item.job->open.find(item.step.occurrence);
  if (open == item.job->open.end()) return counts;
  for (const auto& task : open->second.steps[item.step.step].tasks) {
    if (task.assigned) ++counts[task.worker.name];
  }
  return counts;
}

/// Whether the job has not ended and no task of the step is assigned or done.
auto is_unplaced(const fleet_tables& tables, const step_ref& step) -> bool {
  auto job = tables.jobs.find(step.job);
  if (job == tables.jobs.end() || is_ended(job->second)) return false;
  auto open = job->second.open.find(step.occurrence);
  if (open == job->second.open.end()) return true;
  const auto& record = open->second.steps[step.step];
  return record.done == 0 &&
         std::ranges::none_of(record.tasks, &task_record::assigned);
}

}  // namespace

// The workers with the capacity available to this step. Capacity that is
// retained for urgent work counts only for urgent steps, and capacity that is
// reserved for a gang only for that gang and for urgent steps.
auto dispatcher::candidates_for(const backlog_item& item,
                                std::span<const std::size_t> rows,
                                const planning_pass& pass) const
    -> std::vector<candidate> {
  std::vector<candidate> candidates;
  candidates.reserve(rows.size());
  auto counts = tasks_by_worker(item);
  bool urgent = item.job_queue->priority == 0;
  auto own_reservation = gang_reservations_.find(item.step);
  for (auto i : rows) {
    const auto& row = pass.row(i);
    const auto& name = row.record->incarnation.name;
    auto available =
        urgent ? row.available : row.available - row.retained - row.reserved;
    if (!urgent && own_reservation != gang_reservations_.end()) {
      for (const auto& [worker, amount] : own_reservation->second.amounts) {
        if (worker == name) available += amount;
      }
    }
    auto taken = counts.find(name);
    candidates.push_back({row.record->rack, available, row.record->capacity,
                          row.speed, taken == counts.end() ? 0 : taken->second,
                          row.speed_known, row.task_slots});
  }
  return candidates;
}

// Removes the reservations of gangs that are placed or ended, and those that
// timed out, so that they are chosen again; applies the others to the pass.
void dispatcher::renew_gang_reservations(const fleet_tables& tables,
                                         planning_pass& pass,
                                         clock_reading now) {
  std::erase_if(gang_reservations_, [&](const auto& item) {
    return now.steady - item.second.since > limits_.gang_reservation_timeout ||
           !is_unplaced(tables, item.first);
  });
  for (const auto& [step, reservation] : gang_reservations_) {
    for (const auto& [worker, amount] : reservation.amounts)
      pass.reserve(worker, amount);
  }
}

// The capacity that would be available on a worker without its runs of lower
// priority. Long-running tasks count as staying.
auto dispatcher::available_without_lower_priority(const fleet_tables& tables,
                                                  const worker_record& record,
                                                  std::uint32_t priority) const
    -> resources {
  auto available = record.capacity;
  auto worker = workers_.find(record.incarnation.name);
  if (worker == workers_.end()) return available;
  for (const auto* run : worker->second.runs) {
    const auto& spec = tables.jobs.at(run->task.job).spec;
    const auto& step = spec.steps[run->task.step];
    const auto* queue = queue_of(*site_, spec);
    bool lower = queue != nullptr && queue->priority > priority;
    if (!lower || step.long_running) available -= reserved_by(step);
  }
  return available;
}

// Reserves capacity for a gang that has waited: on workers where it will fit
// once the tasks of lower priority have ended. No run is stopped for it.
void dispatcher::reserve_for_gang(const backlog_item& item,
                                  const fleet_tables& tables,
                                  std::span<const candidate> candidates,
                                  std::span<const std::size_t> rows,
                                  const placement_need& need,
                                  planning_pass& pass, clock_reading now) {
  bool has_waited = now.wall - item.due > limits_.gang_reservation_delay;
  bool qualifies = need.all_or_nothing && has_waited && !item.expired &&
                   item.job_queue->priority != 0 && !item.job_queue->advice;
  if (!qualifies || gang_reservations_.contains(item.step) ||
      gang_reservations_.size() >= max_gang_reservations)
    return;
  std::vector<candidate> without_lower(candidates.begin(), candidates.end());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& row = pass.row(rows[i]);
    without_lower[i].free = available_without_lower_priority(
                                tables, *row.record, item.job_queue->priority) -
                            row.retained - row.reserved;
  }
  auto chosen = choose_workers(without_lower, need);
  if (chosen.empty()) return;
  gang_reservation reservation{{}, now.steady};
  for (const auto& c : chosen) {
    const auto& name = pass.row(rows[c.candidate]).record->incarnation.name;
    auto amount = need.per_task * c.tasks;
    reservation.amounts.emplace_back(name, amount);
    pass.reserve(name, amount);
  }
  log_decision("place_held",
               {{"step", fleet::to_string(item.step)},
                {"workers", std::to_string(chosen.size())},
                {"tasks", std::to_string(need.tasks)},
                {"waited_ms", std::to_string((now.wall - item.due).count())}});
  gang_reservations_[item.step] = std::move(reservation);
}

}  // namespace parsleyledge::fleet
