#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"

namespace parsleyledge::fleet {

namespace {

// Progress of a long-running task that has finished its start.
constexpr std::uint32_t ready_percent = 100;

auto is_serving(const step_spec& spec) -> bool {
  return spec.target.count() > 0;
}

}  // namespace

// Whether backfill tasks and serving tasks run on the same worker.
auto dispatcher::shares_processors(const fleet_tables& tables,
                                   const worker_state& worker) const -> bool {
  bool any_backfill = false;
  bool any_serving = false;
  for (const auto* run : worker.runs) {
    const auto& spec = tables.jobs.at(run->task.job).spec.steps[run->task.step];
    any_backfill = any_backfill || spec.backfill;
    any_serving = any_serving || is_serving(spec);
  }
  return any_backfill && any_serving;
}

// Sets the throttle of the backfill tasks on a worker by the load of its
// serving tasks relative to their targets. Serving tasks that are still
// starting are left out.
void dispatcher::throttle_backfill(const fleet_tables& tables,
                                   worker_state& worker,
                                   const poll_response& response,
                                   clock_reading now) {
  bool backfill = std::ranges::any_of(worker.runs, [&](const tracked_run* run) {
    return tables.jobs.at(run->task.job).spec.steps[run->task.step].backfill;
  });
  if (!backfill) return worker.throttle.release();
  double worst_ratio = 0;
  bool has_serving = false;
  for (const auto& running : response.running) {
    auto job = tables.jobs.find(running.task.job);
    if (job == tables.jobs.end()) continue;
    if (running.task.step >= job->second.spec.steps.size()) continue;
    const auto& spec = job->second.spec.steps[running.task.step];
    if (!is_serving(spec)) continue;
    has_serving = true;
    if (running.percent < ready_percent) continue;
    worst_ratio =
        std::max(worst_ratio, static_cast<double>(running.load) /
                                  static_cast<double>(spec.target.count()));
  }
  auto before = worker.throttle.percent();
  if (has_serving) {
    worker.throttle.observe(worst_ratio, now.steady);
  } else {
    worker.throttle.release();
  }
  auto percent = worker.throttle.percent();
  if (percent != before) {
    log_decision("pace", {{"worker", worker.incarnation.name},
                          {"percent", std::to_string(percent)},
                          {"worst_ratio", std::to_string(worst_ratio)}});
  }
  const auto* record = find_worker(tables, worker.incarnation);
  if (record == nullptr) return;
  for (auto* run : worker.runs) {
    const auto& spec = tables.jobs.at(run->task.job).spec.steps[run->task.step];
    if (!spec.backfill || run->phase != run_phase::started) continue;
    if (run->throttle == percent || run->throttle_pending) continue;
    run->throttle_pending = true;
    send(*record, throttle_request{run->task, run->run, percent},
         limits_.request_timeout, now.steady);
  }
}

}  // namespace parsleyledge::fleet
