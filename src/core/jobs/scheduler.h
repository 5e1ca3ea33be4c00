#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/estimate.h"
#include "core/jobs/job.h"
#include "core/jobs/placement_policy.h"
#include "core/jobs/worker.h"
#include "core/problem.h"
#include "core/state/command.h"

namespace parsleyledge {

using home_table = std::map<guarantee_slot, std::vector<assignment>>;
using history_table = std::map<std::string, run_time_history>;

/// The rows that a decision reads. Nothing in it is copied or kept.
struct schedule_view {
  std::span<const worker> workers;
  std::span<const job_record* const> jobs;  // that wait, run or hold
  const home_table& homes;
  const history_table& histories;
  const site_config& site;
  time_point now;
};

/// What to commit next, and which guarantees no worker can hold at present.
struct schedule {
  std::vector<command> commands;
  std::vector<guarantee_slot> unmet;
};

/// Decides on every waiting job and every guarantee.
auto decide(const placement_policy& policy, const schedule_view& view)
    -> schedule;

/// Why a job can never run here, or nothing. `workers` are all that are
/// known, whatever their condition.
auto check_job(const job_spec& spec, std::span<const worker> workers,
               const site_config& site) -> std::optional<problem>;

/// Why the guarantees of a configuration do not fit on the known workers, or
/// nothing. Fits if no worker is known yet.
auto check_guarantees(const site_config& site, std::span<const worker> workers)
    -> std::optional<std::string>;

/// The shape that placement must not make unplaceable: the largest one that
/// is guaranteed.
auto largest_guaranteed(const site_config& site) -> gang_shape;

}  // namespace parsleyledge
