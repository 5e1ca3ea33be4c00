#include "core/fleet/reclaim.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace parsleyledge::fleet {

namespace {

// An urgent step that is late loses most of its worth, so the time that a slow
// worker takes more weighs three times as much as work of others.
constexpr double slow_weight = 3;

/// A plan in the making, over the workers of one rack or of all.
class builder {
 public:
  builder(std::span<const candidate> workers, std::span<const victim> victims,
          const placement_need& need)
      : workers_(workers), victims_(victims), need_(need) {
    for (const auto& w : workers) room_.push_back(w.free);
    tasks_.resize(workers.size());
    stopped_.resize(victims.size());
    at_worker_.resize(workers.size());
    for (std::size_t v = 0; v < victims.size(); ++v) {
      for (const auto& f : victims[v].frees) {
        at_worker_[f.candidate].push_back(v);
      }
    }
    for (auto& list : at_worker_) {
      std::ranges::sort(list, {},
                        [&](std::size_t v) { return victims_[v].loss; });
    }
  }

  /// Places all tasks on workers among these, each where it costs least.
  auto place_all(std::span<const std::size_t> among) -> bool {
    for (std::uint32_t n = 0; n < need_.tasks; ++n) {
      std::optional<std::size_t> best;
      std::int64_t least = 0;
      for (auto w : among) {
        auto here = cost(w);
        if (!here || (best && *here >= least)) continue;
        best = w;
        least = *here;
      }
      if (!best) return false;
      cost_ += least;
      take(*best);
    }
    return true;
  }

  auto result() const -> reclaim_plan {
    reclaim_plan plan;
    plan.loss = loss_;
    plan.cost = cost_;
    for (std::size_t w = 0; w < tasks_.size(); ++w) {
      if (tasks_[w] > 0) plan.chosen.push_back({w, tasks_[w]});
    }
    for (std::size_t v = 0; v < stopped_.size(); ++v) {
      if (stopped_[v]) plan.stopped.push_back(v);
    }
    return plan;
  }

 private:
  /// Work lost by making room for one more task here, and what the task takes
  /// longer here than on a fast worker; nothing if it is impossible.
  auto cost(std::size_t w) const -> std::optional<std::int64_t> {
    auto taken = workers_[w].taken + tasks_[w];
    if (need_.max_per_worker > 0 && taken >= need_.max_per_worker) return {};
    auto available = room_[w];
    std::int64_t loss = 0;
    for (auto v : at_worker_[w]) {
      if (fits(available, need_.each)) break;
      if (stopped_[v]) continue;
      loss += victims_[v].loss;
      for (const auto& f : victims_[v].frees) {
        if (f.candidate == w) available += f.available;
      }
    }
    if (!fits(available, need_.each)) return {};
    auto slowness =
        static_cast<double>(need_.task_work) * slow_weight / workers_[w].speed;
    return loss + static_cast<std::int64_t>(slowness);
  }

  void take(std::size_t w) {
    for (auto v : at_worker_[w]) {
      if (fits(room_[w], need_.each)) break;
      if (stopped_[v]) continue;
      stopped_[v] = true;
      loss_ += victims_[v].loss;
      for (const auto& f : victims_[v].frees) room_[f.candidate] += f.available;
    }
    room_[w] -= need_.each;
    ++tasks_[w];
  }

  std::span<const candidate> workers_;
  std::span<const victim> victims_;
  const placement_need& need_;
  std::vector<resources> room_;
  std::vector<std::uint32_t> tasks_;
  std::vector<bool> stopped_;
  std::vector<std::vector<std::size_t>> at_worker_;
  std::int64_t loss_ = 0;
  std::int64_t cost_ = 0;
};

/// The sets of workers to try: the data's rack, or each rack, or all.
auto worker_sets(std::span<const candidate> workers, const placement_need& need)
    -> std::vector<std::vector<std::size_t>> {
  std::map<std::string_view, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    racks[workers[i].rack].push_back(i);
  }
  std::vector<std::vector<std::size_t>> sets;
  for (auto& [rack, members] : racks) {
    bool here = need.data_rack.empty() || need.data_rack == rack;
    if (here) sets.push_back(std::move(members));
  }
  return sets;
}

}  // namespace

auto plan_reclaim(std::span<const candidate> workers,
                  std::span<const victim> victims, const placement_need& need)
    -> std::optional<reclaim_plan> {
  std::optional<reclaim_plan> best;
  auto consider = [&](std::span<const std::size_t> among) {
    builder plan(workers, victims, need);
    if (!plan.place_all(among)) return;
    auto found = plan.result();
    if (!best || found.cost < best->cost) best = std::move(found);
  };
  bool bound = need.same_rack || !need.data_rack.empty();
  if (bound) {
    for (const auto& among : worker_sets(workers, need)) consider(among);
  }
  // A wrong rack costs more than anything that is stopped in the right one.
  if (!best && (!bound || need.any_rack)) {
    std::vector<std::size_t> all(workers.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    consider(all);
  }
  return best;
}

}  // namespace parsleyledge::fleet
