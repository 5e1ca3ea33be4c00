#pragma once

#include <span>
#include <vector>

#include "core/fleet/records.h"
#include "core/fleet/site.h"

namespace parsleyledge::fleet {

/// A step whose tasks may start now.
struct backlog_item {
  step_ref step;
  const job_record* job = nullptr;
  const step_spec* spec = nullptr;
  const queue* job_queue = nullptr;
  std::vector<std::uint32_t> tasks;  // indexes of those not yet assigned
  time_point due;                    // wall clock: due time of the occurrence
  time_point objective_at;           // wall clock: objective of the job
  bool expired = false;              // too far past its objective to count
  bool suspected = false;            // a task was running as a worker crashed
};

/// The steps that may start at this time, most urgent first: by the queue's
/// priority, within a priority the expired ones last, then by the objective.
auto collect_backlog(const fleet_tables& tables, const site& config,
                     time_point wall) -> std::vector<backlog_item>;

/// The duration of the longest chain of dependent steps, by the caller's
/// estimates.
auto critical_path(const job_spec& spec) -> milliseconds;

/// Whether a step has failed as often as its queue allows.
auto out_of_attempts(const step_spec& spec, const step_record& step,
                     std::uint32_t attempts) -> bool;

}  // namespace parsleyledge::fleet
