#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/estimate.h"
#include "core/jobs/job.h"
#include "core/jobs/placement_policy.h"
#include "core/jobs/worker.h"
#include "core/jobs/worker_roster.h"
#include "core/problem.h"
#include "core/state/command.h"

namespace parsleyledge {

using home_table = std::map<guarantee_slot, std::vector<assignment>>;
using history_table = std::map<std::string, run_time_history>;

/// Input of one scheduling decision. It refers to the tables of the caller,
/// which must outlive the call.
struct schedule_view {
  std::span<const worker> workers;
  std::span<const job_record* const> jobs;  // queued, or with accelerators
  const home_table& homes;
  const history_table& histories;
  const site_config& site;
  time_point now;
};

/// Result of a scheduling decision: the commands to commit next, and the
/// guarantee slots for which the workers in service have no capacity.
struct schedule {
  std::vector<command> commands;
  std::vector<guarantee_slot> unmet;
};

/// Decides on all waiting jobs and guarantees: where to place, what to reclaim
/// or reserve, and which homes to set. A pure function of its arguments.
auto schedule_jobs(const placement_policy& policy, const schedule_view& view)
    -> schedule;

/// Returns a problem (status 422) if a job can never run on this site, else
/// nothing. `workers` are all known workers in any condition; if there are
/// none, their capacity is not checked.
auto check_job(const job_spec& spec, std::span<const worker> workers,
               const site_config& site) -> std::optional<problem>;

/// As above with what the leader knows of the workers: status 409 if the job
/// does not fit, but workers may still report.
auto check_job(const job_spec& spec, const worker_roster& roster,
               const site_config& site) -> std::optional<problem>;

/// Returns a message that names the first guarantee of a configuration that
/// does not fit on the known workers beside the others, else nothing. All
/// workers count as ready; if there are none, every guarantee fits.
auto check_guarantees(const site_config& site, std::span<const worker> workers)
    -> std::optional<std::string>;

/// Returns a problem if a guarantee of a configuration does not fit, else
/// nothing: status 422 if it does not fit on the whole site, 409 if workers may
/// still report, after which the same change may be accepted. `file` names the
/// changed file.
auto check_guarantees(const site_config& site, const worker_roster& roster,
                      std::string_view file) -> std::optional<problem>;

/// The largest guaranteed shape, which placement tries to keep placeable. One
/// accelerator if nothing is guaranteed.
auto largest_guaranteed(const site_config& site) -> gang_shape;

}  // namespace parsleyledge
