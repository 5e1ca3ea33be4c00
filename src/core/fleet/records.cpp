#include "core/fleet/records.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// A worker also crashes because of another of its tasks, or of none. So two
// crashes prove that a task is at fault only if both workers had started it,
// and the last one started tasks of the same job only.
constexpr std::uint32_t max_crashes = 3;
constexpr std::uint32_t max_crashes_alone = 2;

}  // namespace

auto crashes_workers(const step_record& step) -> bool {
  return std::ranges::any_of(step.tasks, [](const task_record& task) {
    bool is_proved =
        task.crashed_alone && task.started_crashes >= max_crashes_alone;
    return !task.done && (is_proved || task.crashes >= max_crashes);
  });
}

auto has_assigned_tasks(const job_record& job) -> bool {
  for (const auto& [number, occurrence] : job.open) {
    for (const auto& step : occurrence.steps) {
      if (std::ranges::any_of(step.tasks, &task_record::assigned)) return true;
    }
  }
  return false;
}

auto is_evacuated(const fleet_tables& tables, const worker_record& worker)
    -> bool {
  return tables.evacuations.contains(worker.data_centre);
}

auto summarize_evacuations(const fleet_tables& tables)
    -> std::vector<evacuation_summary> {
  std::vector<evacuation_summary> found;
  for (const auto& [name, evacuation] : tables.evacuations)
    found.push_back({name, evacuation.requested_at});
  if (found.empty()) return found;
  auto add = [&](const task_record& task, bool long_running) {
    const auto* worker = find_worker(tables, task.worker);
    if (!task.assigned || worker == nullptr) return;
    auto it = std::ranges::find(found, worker->data_centre,
                                &evacuation_summary::data_centre);
    if (it == found.end()) return;
    ++it->tasks;
    if (long_running) ++it->long_running;
  };
  for (const auto& [id, job] : tables.jobs) {
    for (const auto& [number, occurrence] : job.open) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        for (const auto& task : occurrence.steps[s].tasks)
          add(task, job.spec.steps[s].long_running);
      }
    }
  }
  return found;
}

auto is_ended(const job_record& job) -> bool {
  return job.state != job_state::queued && job.state != job_state::running;
}

auto find_task(const fleet_tables& tables, const task_ref& ref)
    -> const task_record* {
  auto job = tables.jobs.find(ref.job);
  if (job == tables.jobs.end()) return nullptr;
  auto occurrence = job->second.open.find(ref.occurrence);
  if (occurrence == job->second.open.end()) return nullptr;
  if (ref.step >= occurrence->second.steps.size()) return nullptr;
  const auto& tasks = occurrence->second.steps[ref.step].tasks;
  return ref.index < tasks.size() ? &tasks[ref.index] : nullptr;
}

auto find_worker(const fleet_tables& tables,
                 const worker_incarnation& incarnation)
    -> const worker_record* {
  auto it = tables.workers.find(incarnation.name);
  if (it == tables.workers.end() || it->second.incarnation != incarnation)
    return nullptr;
  return &it->second;
}

auto machine_of(const worker_record& worker) -> std::string_view {
  return worker.machine.empty() ? worker.incarnation.name : worker.machine;
}

auto is_done(const step_spec& spec, const step_record& step) -> bool {
  if (spec.long_running) return false;
  return spec.gang ? step.done > 0 : step.done == step.tasks.size();
}

auto to_string(job_state state) -> std::string_view {
  switch (state) {
    case job_state::queued:
      return "queued";
    case job_state::running:
      return "running";
    case job_state::complete:
      return "complete";
    case job_state::failed:
      return "failed";
    case job_state::cancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace parsleyledge::fleet
