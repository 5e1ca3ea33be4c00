#include "core/fleet/evacuation.h"

#include <algorithm>
#include <numeric>

#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

// Work that ends within this time goes on. A move costs a task a second or two,
// and an evacuation allows what runs to go on.
constexpr milliseconds max_stay{10'000};

/// Takes capacity for the tasks of the work, if all of them fit.
auto allocate(const evacuated_work& work, std::span<resources> available)
    -> bool {
  auto needed = static_cast<std::int64_t>(work.tasks_to_place);
  std::vector<std::pair<std::size_t, std::int64_t>> taken;
  for (const auto& worker : work.workers) {
    if (needed == 0) break;
    auto n = std::min({count_fitting(available[worker.index], work.per_task),
                       worker.max_tasks, needed});
    if (n <= 0) continue;
    taken.emplace_back(worker.index, n);
    needed -= n;
  }
  if (needed > 0) return false;
  for (auto [worker, n] : taken) available[worker] -= work.per_task * n;
  return true;
}

auto choose(const evacuated_work& work, std::span<resources> available)
    -> evacuation_choice {
  if (work.long_running) {
    if (!work.may_stop) return availability_limited{};
  } else if (!work.time_left) {
    return remaining_time_unknown{};
  } else if (*work.time_left <= max_stay) {
    return ends_soon{};
  } else if (!work.checkpoints) {
    return has_no_checkpoints{};
  }
  if (!allocate(work, available)) return no_capacity_elsewhere{};
  return move_work{};
}

}  // namespace

auto to_string(const evacuation_choice& choice) -> std::string_view {
  using std::string_view;
  return std::visit(
      overloaded{[](const move_work&) -> string_view { return "moved"; },
                 [](const ends_soon&) -> string_view { return "ends_soon"; },
                 [](const remaining_time_unknown&) -> string_view {
                   return "remaining_time_unknown";
                 },
                 [](const has_no_checkpoints&) -> string_view {
                   return "no_checkpoints";
                 },
                 [](const availability_limited&) -> string_view {
                   return "availability_limited";
                 },
                 [](const no_capacity_elsewhere&) -> string_view {
                   return "no_capacity";
                 }},
      choice);
}

auto choose_evacuations(std::span<const evacuated_work> work,
                        std::span<const resources> available)
    -> std::vector<evacuation_choice> {
  std::vector<std::size_t> order(work.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::stable_sort(order, [&](std::size_t a, std::size_t b) {
    if (work[a].priority != work[b].priority)
      return work[a].priority < work[b].priority;
    return work[a].time_left > work[b].time_left;
  });
  std::vector<resources> left(available.begin(), available.end());
  std::vector<evacuation_choice> choices(work.size());
  for (auto i : order) choices[i] = choose(work[i], left);
  return choices;
}

}  // namespace parsleyledge::fleet
