#include "core/fleet/planning_pass.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

auto has_label(const worker_record& worker, std::string_view label) -> bool {
  return label.empty() ||
         std::ranges::find(worker.labels, label) != worker.labels.end();
}

/// Whether `other` fits wherever `need` fits.
auto is_no_smaller(const placement_need& need, const placement_need& other)
    -> bool {
  auto tasks = [](const placement_need& n) {
    return n.all_or_nothing ? n.tasks : 1;
  };
  return need.per_task.cpu_milli >= other.per_task.cpu_milli &&
         need.per_task.memory_mb >= other.per_task.memory_mb &&
         need.per_task.accelerators >= other.per_task.accelerators &&
         tasks(need) >= tasks(other) && (need.same_rack || !other.same_rack) &&
         (!need.any_rack || other.any_rack) &&
         (other.data_rack.empty() || other.data_rack == need.data_rack) &&
         other.max_per_worker == 0;
}

}  // namespace

void planning_pass::add(planning_row row) {
  index_[row.record->incarnation.name] = rows_.size();
  rows_.push_back(row);
}

void planning_pass::allocate(std::string_view worker, const resources& amount) {
  auto it = index_.find(worker);
  if (it == index_.end()) return;
  rows_[it->second].available -= amount;
  --rows_[it->second].task_slots;
}

void planning_pass::begin_trial(std::string_view worker, job_id job,
                                bool suspected) {
  auto it = index_.find(worker);
  if (it == index_.end()) return;
  rows_[it->second].empty = false;
  rows_[it->second].trial.add(job, suspected);
}

void planning_pass::reserve(std::string_view worker, const resources& amount) {
  auto it = index_.find(worker);
  if (it != index_.end()) rows_[it->second].reserved += amount;
}

void planning_pass::allocate_retained(std::size_t i, const resources& amount) {
  auto& row = rows_[i];
  row.available -= amount;
  row.retained -= amount;
  row.retained.cpu_milli = std::max<std::int64_t>(row.retained.cpu_milli, 0);
  row.retained.memory_mb = std::max<std::int64_t>(row.retained.memory_mb, 0);
  row.retained.accelerators =
      std::max<std::int64_t>(row.retained.accelerators, 0);
}

auto planning_pass::available(std::string_view worker) const
    -> const resources* {
  auto it = index_.find(worker);
  bool missing = it == index_.end() || rows_[it->second].quarantined;
  return missing ? nullptr : &rows_[it->second].available;
}

auto planning_pass::rows_of(std::string_view service,
                            std::string_view label) const
    -> std::vector<std::size_t> {
  auto found = all_rows_of(service, label);
  std::erase_if(found, [&](std::size_t i) { return rows_[i].quarantined; });
  return found;
}

auto planning_pass::all_rows_of(std::string_view service,
                                std::string_view label) const
    -> std::vector<std::size_t> {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    const auto& record = *rows_[i].record;
    if (record.service == service && has_label(record, label)) {
      found.push_back(i);
    }
  }
  return found;
}

auto planning_pass::is_half_free(std::string_view service) -> bool {
  if (busy_services_.contains(service)) return false;
  resources available;
  resources capacity;
  for (const auto& row : rows_) {
    if (row.record->service != service) continue;
    available += row.available;
    capacity += row.record->capacity;
  }
  bool half_free = fits(available * 2, capacity);
  if (!half_free) busy_services_.insert(service);
  return half_free;
}

void planning_pass::record_failure(std::string_view service,
                                   std::string_view label,
                                   const placement_need& need) {
  failures_.push_back({service, label, need});
}

auto planning_pass::has_failed(std::string_view service, std::string_view label,
                               const placement_need& need) const -> bool {
  return std::ranges::any_of(failures_, [&](const failure& f) {
    return f.service == service && f.label == label &&
           is_no_smaller(need, f.need);
  });
}

}  // namespace parsleyledge::fleet
