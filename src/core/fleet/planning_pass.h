#pragma once

#include <map>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/fleet/placer.h"
#include "core/fleet/records.h"
#include "core/fleet/start_trial.h"

namespace parsleyledge::fleet {

/// A worker that may take work, with its unassigned capacity. The capacity may
/// be negative while runs are still to be stopped.
struct planning_row {
  const worker_record* record = nullptr;
  resources available;
  resources retained;  // part of `available`, for urgent work only
  resources reserved;  // for waiting gangs; it may not be free yet
  double speed = 1;
  bool speed_known = true;   // whether its speed has been measured
  bool quarantined = false;  // for work that has waited too long only
  bool empty = false;        // nothing is assigned to it
  start_trial trial;         // of its runs that have just started
  std::int64_t task_slots = unlimited_tasks;  // tasks that it may yet take
};

/// The workers and their capacity during one pass over the backlog. A need that
/// did not fit is not tried again in the same pass, since capacity only
/// decreases.
class planning_pass {
 public:
  void add(planning_row row);

  /// Allocates the capacity of a task on a worker, if the worker has a row.
  void allocate(std::string_view worker, const resources& amount);

  /// Records that runs of a job start on a worker, if the worker has a row.
  void begin_trial(std::string_view worker, job_id job, bool suspected);

  /// The capacity left on a worker; null if it has no row or is quarantined.
  auto available(std::string_view worker) const -> const resources*;

  /// The indexes of the rows of a service whose workers have a label, but for
  /// those in quarantine. An empty label matches all.
  auto rows_of(std::string_view service, std::string_view label) const
      -> std::vector<std::size_t>;

  /// The same rows and those in quarantine.
  auto all_rows_of(std::string_view service, std::string_view label) const
      -> std::vector<std::size_t>;

  /// Whether at least half of the capacity of a service is left.
  auto is_half_free(std::string_view service) -> bool;

  /// The number of rows.
  auto size() const -> std::size_t { return rows_.size(); }

  auto row(std::size_t i) const -> const planning_row& { return rows_[i]; }
  void allocate_on(std::size_t i, const resources& amount) {
    rows_[i].available -= amount;
  }
  void take_task_slots(std::size_t i, std::uint32_t tasks) {
    rows_[i].task_slots -= tasks;
  }

  /// Reserves capacity on a worker for a gang, if the worker has a row.
  void reserve(std::string_view worker, const resources& amount);

  /// Allocates capacity for urgent work, first what is retained for it.
  void allocate_retained(std::size_t i, const resources& amount);

  /// Records that a need did not fit the workers of a service and label.
  void record_failure(std::string_view service, std::string_view label,
                      const placement_need& need);

  /// Whether an equal or smaller need did not fit earlier in this pass.
  auto has_failed(std::string_view service, std::string_view label,
                  const placement_need& need) const -> bool;

 private:
  struct failure {
    std::string_view service;
    std::string_view label;
    placement_need need;
  };

  std::vector<planning_row> rows_;
  std::unordered_map<std::string_view, std::size_t> index_;
  std::vector<failure> failures_;
  std::set<std::string_view> busy_services_;  // those not half free
};

}  // namespace parsleyledge::fleet
