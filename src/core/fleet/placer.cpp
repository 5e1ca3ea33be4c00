#include "core/fleet/placer.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace parsleyledge::fleet {

namespace {

// Workers whose speeds fall into one class of this width rank as equal, so that
// noise in the learned speeds does not spread tasks over more workers.
constexpr double speed_class_width = 0.25;

/// How many tasks of the need the worker can take now.
auto count_placeable(const candidate& worker, const placement_need& need)
    -> std::uint32_t {
  auto count = count_fitting(worker.free, need.per_task);
  count = std::min(count, std::max<std::int64_t>(worker.task_slots, 0));
  if (need.max_per_worker > 0) {
    auto left = std::int64_t{need.max_per_worker} - worker.taken;
    count = std::min(count, std::max<std::int64_t>(left, 0));
  }
  return static_cast<std::uint32_t>(std::min<std::int64_t>(count, need.tasks));
}

struct ranked_worker {
  std::size_t index;
  std::uint32_t available;  // tasks that fit
  int speed_rank;           // lowest first
  std::int64_t spare;       // accelerators, then processors, left free
};

auto rank_workers(std::span<const candidate> workers,
                  std::span<const std::size_t> among,
                  const placement_need& need) -> std::vector<ranked_worker> {
  std::vector<ranked_worker> order;
  order.reserve(among.size());
  for (auto i : among) {
    auto available = count_placeable(workers[i], need);
    if (available == 0) continue;
    auto left = workers[i].free - need.per_task * available;
    auto spare = left.accelerators * 1'000'000 + left.cpu_milli;
    auto speed_class = static_cast<int>(workers[i].speed / speed_class_width);
    auto rank = need.slow_first ? speed_class : -speed_class;
    order.push_back({i, available, rank, spare});
  }
  std::ranges::sort(order, [](const ranked_worker& a, const ranked_worker& b) {
    return std::tie(a.speed_rank, a.spare, a.index) <
           std::tie(b.speed_rank, b.spare, b.index);
  });
  return order;
}

/// Fills the best-ranked workers first. Empty if the tasks must be placed
/// together and do not all fit.
auto fill_workers(std::span<const candidate> workers,
                  std::span<const std::size_t> among,
                  const placement_need& need) -> std::vector<choice> {
  std::vector<choice> chosen;
  auto left = need.tasks;
  auto order = rank_workers(workers, among, need);
  if (need.explore) {
    for (auto& r : order) {
      if (left == 0 || workers[r.index].speed_known) continue;
      chosen.push_back({r.index, 1});
      r.available = 0;
      --left;
    }
  }
  for (const auto& r : order) {
    if (left == 0) break;
    auto n = std::min(r.available, left);
    if (n == 0) continue;
    chosen.push_back({r.index, n});
    left -= n;
  }
  if (need.all_or_nothing && left > 0) chosen.clear();
  return chosen;
}

/// The speed of the slowest chosen worker, which bounds the speed of a gang.
auto slowest_speed(std::span<const candidate> workers,
                   std::span<const choice> chosen) -> double {
  double speed = 0;
  for (const auto& c : chosen) {
    auto s = workers[c.candidate].speed;
    if (speed == 0 || s < speed) speed = s;
  }
  return speed;
}

auto group_by_rack(std::span<const candidate> workers)
    -> std::map<std::string_view, std::vector<std::size_t>> {
  std::map<std::string_view, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    racks[workers[i].rack].push_back(i);
  }
  return racks;
}

auto all_indexes(std::span<const candidate> workers)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> all(workers.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

/// Places the gang on the rack where it runs fastest; among equally fast racks
/// on the one that needs the fewest workers.
auto choose_rack(std::span<const candidate> workers, const placement_need& need)
    -> std::vector<choice> {
  std::vector<choice> best;
  double best_speed = 0;
  for (const auto& [rack, members] : group_by_rack(workers)) {
    auto chosen = fill_workers(workers, members, need);
    if (chosen.empty()) continue;
    auto speed = slowest_speed(workers, chosen);
    bool faster = speed > best_speed + speed_class_width;
    bool fewer_workers =
        speed > best_speed - speed_class_width && chosen.size() < best.size();
    if (!best.empty() && !faster && !fewer_workers) continue;
    best = std::move(chosen);
    best_speed = speed;
  }
  return best;
}

}  // namespace

auto choose_workers(std::span<const candidate> workers,
                    const placement_need& need) -> std::vector<choice> {
  if (!need.data_rack.empty()) {
    std::vector<std::size_t> in_data_rack;
    for (std::size_t i = 0; i < workers.size(); ++i) {
      if (workers[i].rack == need.data_rack) in_data_rack.push_back(i);
    }
    auto chosen = fill_workers(workers, in_data_rack, need);
    if (!chosen.empty() || !need.any_rack) return chosen;
  }
  if (need.same_rack) {
    auto chosen = choose_rack(workers, need);
    if (!chosen.empty() || !need.any_rack) return chosen;
  }
  return fill_workers(workers, all_indexes(workers), need);
}

auto can_ever_fit(std::span<const candidate> workers,
                  const placement_need& need) -> bool {
  std::int64_t total = 0;
  for (auto worker : workers) {
    worker.free = worker.capacity;
    worker.taken = 0;
    worker.task_slots = unlimited_tasks;
    total += count_placeable(worker, need);
  }
  return total >= (need.all_or_nothing ? need.tasks : 1);
}

}  // namespace parsleyledge::fleet
