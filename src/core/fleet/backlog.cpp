#include "core/fleet/backlog.h"

#include <algorithm>
#include <tuple>

namespace parsleyledge::fleet {

namespace {

// A step is expired once this multiple of the time that its job is allowed has
// passed: a job that ends later earns nothing.
constexpr int expiry_factor = 3;
// Waiting tasks of one job that are collected at a time. Its later occurrences
// wait for these, so that the time to collect is bounded whatever the number of
// occurrences that are due.
constexpr std::size_t max_collected_tasks = 10'000;

auto has_finished_dependencies(const job_spec& spec, const step_spec& step,
                               const occurrence_record* occurrence) -> bool {
  return std::ranges::all_of(step.after, [&](std::uint32_t dependency) {
    if (occurrence == nullptr) return false;
    return is_done(spec.steps[dependency], occurrence->steps[dependency]);
  });
}

auto waiting_tasks(const step_spec& spec, const step_record* step)
    -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> waiting;
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    if (step != nullptr && step->tasks[i].done) continue;
    bool assigned = step != nullptr && step->tasks[i].assigned;
    if (assigned && spec.gang) return {};
    if (!assigned) waiting.push_back(i);
  }
  return waiting;
}

void collect_occurrence(const job_record& job, const queue& job_queue,
                        std::uint32_t number, time_point wall,
                        std::vector<backlog_item>& backlog) {
  auto it = job.open.find(number);
  const auto* occurrence = it == job.open.end() ? nullptr : &it->second;
  auto due =
      job.spec.occurrences == 0 ? job.accepted_at : due_at(job.spec, number);
  auto path = critical_path(job.spec);
  auto allowed = milliseconds(static_cast<milliseconds::rep>(
                     job_queue.stretch * static_cast<double>(path.count()))) +
                 job_queue.objective;
  for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
    const auto& spec = job.spec.steps[s];
    const auto* step = occurrence == nullptr ? nullptr : &occurrence->steps[s];
    if (step != nullptr && is_done(spec, *step)) continue;
    if (!has_finished_dependencies(job.spec, spec, occurrence)) continue;
    if (step != nullptr && (crashes_workers(*step) ||
                            out_of_attempts(spec, *step, job_queue.attempts))) {
      continue;
    }
    auto tasks = waiting_tasks(spec, step);
    if (tasks.empty()) continue;
    bool suspected = std::ranges::any_of(tasks, [&](std::uint32_t i) {
      return step != nullptr && step->tasks[i].suspected;
    });
    backlog.push_back(
        {{job.spec.id, number, s},
         &job,
         &spec,
         &job_queue,
         std::move(tasks),
         due,
         due + allowed,
         !spec.long_running && wall > due + expiry_factor * allowed,
         suspected});
  }
}

}  // namespace

auto critical_path(const job_spec& spec) -> milliseconds {
  std::vector<milliseconds> ends(spec.steps.size());
  milliseconds longest{0};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    for (auto dependency : spec.steps[i].after) {
      ends[i] = std::max(ends[i], ends[dependency]);
    }
    ends[i] += spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

auto out_of_attempts(const step_spec& spec, const step_record& step,
                     std::uint32_t attempts) -> bool {
  if (spec.long_running) return false;
  if (spec.gang) return step.failures >= attempts;
  return std::ranges::any_of(step.tasks, [&](const task_record& task) {
    return task.failures >= attempts;
  });
}

auto collect_backlog(const fleet_tables& tables, const site& config,
                     time_point wall) -> std::vector<backlog_item> {
  std::vector<backlog_item> backlog;
  for (const auto& [id, job] : tables.jobs) {
    if (is_ended(job)) continue;
    const auto* job_queue = queue_of(config, job.spec);
    if (job_queue == nullptr) continue;
    auto total = occurrences_of(job.spec);
    std::size_t collected_tasks = 0;
    for (auto k = job.first_open; k < total; ++k) {
      if (due_at(job.spec, k) > wall) break;
      if (collected_tasks >= max_collected_tasks) break;
      if (std::ranges::find(job.done_early, k) != job.done_early.end()) {
        continue;
      }
      auto collected_items = backlog.size();
      collect_occurrence(job, *job_queue, k, wall, backlog);
      for (auto i = collected_items; i < backlog.size(); ++i)
        collected_tasks += backlog[i].tasks.size();
    }
  }
  std::ranges::sort(backlog, [](const backlog_item& a, const backlog_item& b) {
    return std::tie(a.job_queue->priority, a.expired, a.objective_at, a.step) <
           std::tie(b.job_queue->priority, b.expired, b.objective_at, b.step);
  });
  return backlog;
}

}  // namespace parsleyledge::fleet
