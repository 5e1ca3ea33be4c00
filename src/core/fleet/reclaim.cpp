#include "core/fleet/reclaim.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace parsleyledge::fleet {

namespace {

// A late urgent step loses most of its value, so its run time on a slow worker
// weighs three times as much as lost work of victims.
constexpr double run_time_weight = 3;
// What a task of an urgent step costs in addition in a wrong rack, where it
// runs three times as long and is late for certain, in units of its own work.
constexpr double wrong_rack_weight = 12;

/// Builds a plan greedily, over the workers of one rack or of all racks.
class plan_builder {
 public:
  plan_builder(std::span<const candidate> workers,
               std::span<const victim> victims, const placement_need& need,
               bool wrong_rack)
      : workers_(workers),
        victims_(victims),
        need_(need),
        wrong_rack_(wrong_rack) {
    for (const auto& w : workers) available_.push_back(w.free);
    tasks_.resize(workers.size());
    stopped_.resize(victims.size());
    victims_at_.resize(workers.size());
    for (std::size_t v = 0; v < victims.size(); ++v) {
      for (const auto& f : victims[v].freed) {
        victims_at_[f.candidate].push_back(v);
      }
    }
    for (auto& list : victims_at_) {
      std::ranges::sort(list, {},
                        [&](std::size_t v) { return victims_[v].loss; });
    }
  }

  /// Places all tasks on these workers, each where it costs least. Returns
  /// false if they do not all fit.
  auto place_all(std::span<const std::size_t> among) -> bool {
    for (std::uint32_t n = 0; n < need_.tasks; ++n) {
      std::optional<std::size_t> best;
      std::int64_t least = 0;
      for (auto w : among) {
        auto cost = task_cost(w);
        if (!cost || (best && *cost >= least)) continue;
        best = w;
        least = *cost;
      }
      if (!best) return false;
      cost_ += least;
      place_task(*best);
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
      if (stopped_[v]) plan.victims.push_back(v);
    }
    return plan;
  }

 private:
  /// The victims to stop so that one more task fits on a worker: the cheapest
  /// ones, without those that turn out not to be needed. Nullopt if the task
  /// cannot fit.
  auto victims_for(std::size_t w) const
      -> std::optional<std::vector<std::size_t>> {
    auto available = available_[w];
    std::vector<std::size_t> chosen;
    for (auto v : victims_at_[w]) {
      if (fits(available, need_.per_task)) break;
      if (stopped_[v]) continue;
      chosen.push_back(v);
      available += freed_on(v, w);
    }
    if (!fits(available, need_.per_task)) return {};
    // The most expensive ones are the last.
    for (auto i = chosen.size(); i-- > 0;) {
      auto without = available - freed_on(chosen[i], w);
      if (!fits(without, need_.per_task)) continue;
      available = without;
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return chosen;
  }

  /// What becomes free on one worker when a victim is stopped.
  auto freed_on(std::size_t v, std::size_t w) const -> resources {
    resources sum;
    for (const auto& f : victims_[v].freed) {
      if (f.candidate == w) sum += f.available;
    }
    return sum;
  }

  /// The cost of one more task on a worker: the work lost by stopping victims,
  /// plus the weighted run time of the task there. Nullopt if it cannot fit.
  auto task_cost(std::size_t w) const -> std::optional<std::int64_t> {
    auto assigned = workers_[w].taken + tasks_[w];
    if (need_.max_per_worker > 0 && assigned >= need_.max_per_worker) return {};
    auto stopped = victims_for(w);
    if (!stopped) return {};
    std::int64_t loss = 0;
    for (auto v : *stopped) loss += victims_[v].loss;
    auto weight = run_time_weight / workers_[w].speed +
                  (wrong_rack_ ? wrong_rack_weight : 0);
    return loss + static_cast<std::int64_t>(
                      static_cast<double>(need_.task_work) * weight);
  }

  void place_task(std::size_t w) {
    auto to_stop = victims_for(w);
    for (auto v : *to_stop) {
      stopped_[v] = true;
      loss_ += victims_[v].loss;
      for (const auto& f : victims_[v].freed)
        available_[f.candidate] += f.available;
    }
    available_[w] -= need_.per_task;
    ++tasks_[w];
  }

  std::span<const candidate> workers_;
  std::span<const victim> victims_;
  const placement_need& need_;
  bool wrong_rack_;
  std::vector<resources> available_;
  std::vector<std::uint32_t> tasks_;
  std::vector<bool> stopped_;
  std::vector<std::vector<std::size_t>> victims_at_;
  std::int64_t loss_ = 0;
  std::int64_t cost_ = 0;
};

/// One set of workers for each rack; only the data's rack if the need has one.
auto rack_candidates(std::span<const candidate> workers,
                     const placement_need& need)
    -> std::vector<std::vector<std::size_t>> {
  std::map<std::string_view, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    racks[workers[i].rack].push_back(i);
  }
  std::vector<std::vector<std::size_t>> sets;
  for (auto& [rack, members] : racks) {
    bool eligible = need.data_rack.empty() || need.data_rack == rack;
    if (eligible) sets.push_back(std::move(members));
  }
  return sets;
}

}  // namespace

auto plan_reclaim(std::span<const candidate> workers,
                  std::span<const victim> victims, const placement_need& need)
    -> std::optional<reclaim_plan> {
  std::optional<reclaim_plan> best;
  auto consider = [&](std::span<const std::size_t> among, bool wrong_rack) {
    plan_builder plan(workers, victims, need, wrong_rack);
    if (!plan.place_all(among)) return;
    auto found = plan.result();
    if (!best || found.cost < best->cost) best = std::move(found);
  };
  bool rack_bound = need.same_rack || !need.data_rack.empty();
  if (rack_bound) {
    for (const auto& among : rack_candidates(workers, need))
      consider(among, false);
  }
  if (!rack_bound || need.any_rack) {
    std::vector<std::size_t> all(workers.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    consider(all, rack_bound);
  }
  return best;
}

}  // namespace parsleyledge::fleet
