#include "core/fleet/evacuation_tracker.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// Between two choices, so that a moved task is known to be away before the next
// one of its step is chosen.
constexpr milliseconds choice_interval{1000};
constexpr milliseconds progress_interval{5000};
// A moved task that is not placed again after this time shows that placement
// has reasons that the choice does not know: its step moves no further.
constexpr milliseconds placement_timeout{10'000};

/// Whether a run has ended for the leader: it is stopped or is to be stopped.
auto is_stopping(run_phase phase) -> bool {
  return phase == run_phase::to_stop || phase == run_phase::stopping ||
         phase == run_phase::stopped || phase == run_phase::unconfirmed;
}

/// Work under evacuation, and the data centre of each of its tasks.
struct located_work {
  evacuated_work work;
  std::vector<std::string_view> data_centres;
  bool is_started = true;  // all its tasks are
};

void add_run(located_work& to, const tracked_run& run,
             std::string_view data_centre, time_point now) {
  auto left = time_left(run, now);
  auto& work = to.work;
  if (work.tasks.empty()) {
    work.time_left = left;
  } else {
    work.time_left = left && work.time_left
                         ? std::optional(std::max(*left, *work.time_left))
                         : std::nullopt;
  }
  work.tasks.push_back(run.task);
  to.data_centres.push_back(data_centre);
  to.is_started = to.is_started && run.phase == run_phase::started;
}

/// The workers elsewhere on which tasks of a step may be placed at once. None
/// where more than their capacity decides: a policy of the queue, or a rack.
auto eligible_workers(const evacuation_input& input, const queue& job_queue,
                      const step_spec& spec, const step_record& step)
    -> std::vector<eligible_worker> {
  bool depends_on_more =
      job_queue.advice.has_value() || !spec.data_rack.empty() || spec.same_rack;
  if (depends_on_more) return {};
  std::vector<eligible_worker> workers;
  for (auto i : input.pass.rows_of(job_queue.service, spec.label)) {
    eligible_worker worker{i};
    if (spec.max_per_worker > 0) {
      const auto& incarnation = input.pass.row(i).record->incarnation;
      auto taken = std::ranges::count_if(step.tasks, [&](const auto& task) {
        return task.assigned && task.worker == incarnation;
      });
      worker.max_tasks = std::int64_t{spec.max_per_worker} - taken;
    }
    workers.push_back(worker);
  }
  return workers;
}

/// The runs of a step in data centres under evacuation: a gang as one work,
/// other tasks one by one.
auto collect_step(const evacuation_input& input, const job_record& job,
                  const step_ref& ref) -> std::vector<located_work> {
  const auto& spec = job.spec.steps[ref.step];
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  const auto& tasks = step.tasks;
  const auto* queue = queue_of(input.config, job.spec);
  std::vector<located_work> found;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    if (!tasks[i].assigned) continue;
    const auto* worker = find_worker(input.tables, tasks[i].worker);
    if (worker == nullptr || !is_evacuated(input.tables, *worker)) continue;
    auto run = input.runs.find({ref.job, ref.occurrence, ref.step, i});
    if (run == input.runs.end() || is_stopping(run->second.phase)) continue;
    if (!spec.gang || found.empty()) {
      auto& work = found.emplace_back().work;
      work.priority = queue == nullptr ? 0 : queue->priority;
      work.long_running = spec.long_running;
      work.checkpoints = spec.checkpoints;
      work.per_task = reserved_by(spec);
    }
    auto& last = found.back();
    add_run(last, run->second, worker->data_centre, input.now);
    if (spec.long_running)
      last.work.may_stop =
          last.work.may_stop && input.may_stop(run->second.task);
  }
  if (found.empty() || queue == nullptr) return found;
  auto workers = eligible_workers(input, *queue, spec, step);
  for (auto& one : found) {
    one.work.workers = workers;
    if (!spec.gang) continue;
    one.work.tasks_to_place = tasks.size();
    // A gang stops as a whole.
    bool allows_all =
        spec.max_unavailable == 0 || spec.max_unavailable >= tasks.size();
    one.work.may_stop = one.work.may_stop && allows_all;
  }
  return found;
}

}  // namespace

void evacuation_tracker::restore(const fleet_tables& tables) {
  *this = {};
  for (const auto& [name, evacuation] : tables.evacuations) known_.insert(name);
}

auto evacuation_tracker::take_decisions() -> std::vector<decision> {
  return std::exchange(decisions_, {});
}

void evacuation_tracker::synchronize(const fleet_tables& tables) {
  for (const auto& [name, evacuation] : tables.evacuations) {
    if (!known_.insert(name).second) continue;
    decisions_.push_back({"evacuation_begun", {{"data_centre", name}}});
    next_choice_at_ = {};
  }
  std::erase_if(known_, [&](const std::string& name) {
    if (tables.evacuations.contains(name)) return false;
    decisions_.push_back({"evacuation_withdrawn", {{"data_centre", name}}});
    return true;
  });
  if (!known_.empty()) return;
  remaining_.clear();
  moving_.clear();
  unplaced_steps_.clear();
}

auto evacuation_tracker::is_choice_due(time_point now) const -> bool {
  return !known_.empty() && now >= next_choice_at_;
}

void evacuation_tracker::log_progress(
    const std::map<std::string_view, task_counts>& tasks, time_point now) {
  bool is_due = now >= next_progress_at_;
  if (is_due) next_progress_at_ = now + progress_interval;
  std::map<std::string, std::size_t, std::less<>> remaining;
  for (const auto& [name, counts] : tasks) {
    std::size_t sum = 0;
    for (const auto& [reason, count] : counts) sum += count;
    remaining[std::string(name)] = sum;
    auto before = remaining_.find(name);
    bool is_emptied =
        sum == 0 && (before == remaining_.end() || before->second != 0);
    if (!is_emptied && (sum == 0 || !is_due)) continue;
    decision progress{
        "evacuation_progress",
        {{"data_centre", std::string(name)}, {"tasks", std::to_string(sum)}}};
    for (const auto& [reason, count] : counts)
      progress.fields.emplace_back(reason, std::to_string(count));
    decisions_.push_back(std::move(progress));
  }
  remaining_ = std::move(remaining);
}

// Capacity that moved tasks are to take looks free until they are placed, so
// the next ones wait for them.
auto evacuation_tracker::awaits_placement(const evacuation_input& input)
    -> bool {
  std::erase_if(moving_, [&](const auto& item) {
    const auto& [task, since] = item;
    const auto* record = find_task(input.tables, task);
    auto job = input.tables.jobs.find(task.job);
    if (record == nullptr || record->done || is_ended(job->second)) return true;
    if (record->assigned) {
      const auto* worker = find_worker(input.tables, record->worker);
      if (worker != nullptr && !is_evacuated(input.tables, *worker))
        return true;
    }
    bool timed_out = input.now - since > placement_timeout;
    if (timed_out)
      unplaced_steps_.insert({task.job, task.occurrence, task.step});
    return timed_out;
  });
  return !moving_.empty();
}

auto evacuation_tracker::choose_moves(const evacuation_input& input)
    -> std::vector<task_ref> {
  next_choice_at_ = input.now + choice_interval;
  std::vector<located_work> found;
  for (const auto& [id, job] : input.tables.jobs) {
    for (const auto& [number, occurrence] : job.open) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        auto work = collect_step(input, job, {id, number, s});
        found.insert(found.end(), std::make_move_iterator(work.begin()),
                     std::make_move_iterator(work.end()));
      }
    }
  }
  std::vector<evacuated_work> work;
  work.reserve(found.size());
  for (const auto& one : found) work.push_back(one.work);
  std::vector<resources> available;
  available.reserve(input.pass.size());
  for (std::size_t i = 0; i < input.pass.size(); ++i) {
    const auto& row = input.pass.row(i);
    available.push_back(row.available - row.retained - row.reserved);
  }
  auto choices = choose_evacuations(work, available);
  std::map<std::string_view, task_counts> tasks;
  for (const auto& [name, evacuation] : input.tables.evacuations) tasks[name];
  bool may_move = !awaits_placement(input);
  std::set<step_ref> moved_steps;
  std::vector<task_ref> moved;
  for (std::size_t i = 0; i < found.size(); ++i) {
    const auto& first = work[i].tasks.front();
    step_ref step{first.job, first.occurrence, first.step};
    auto reason = to_string(choices[i]);
    if (std::holds_alternative<move_work>(choices[i])) {
      bool moves = may_move && found[i].is_started &&
                   !unplaced_steps_.contains(step) &&
                   (moved_steps.insert(step).second || !work[i].long_running);
      if (moves) {
        moved.insert(moved.end(), work[i].tasks.begin(), work[i].tasks.end());
      } else {
        reason = "waits";
      }
    }
    for (auto data_centre : found[i].data_centres) ++tasks[data_centre][reason];
  }
  for (const auto& task : moved) moving_[task] = input.now;
  log_progress(tasks, input.now);
  return moved;
}

}  // namespace parsleyledge::fleet
