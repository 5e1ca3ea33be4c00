#include "core/jobs/home_planner.h"

#include <algorithm>
#include <bit>

namespace parsleyledge {

namespace {

auto size_of(std::span<const assignment> cells) -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto& a : cells) {
    total += static_cast<std::uint32_t>(std::popcount(a.accelerators));
  }
  return total;
}

/// Whether a home has the shape's size and every worker of it is in service.
auto is_whole(std::span<const assignment> cells, const gang_shape& shape,
              const cell_map& map) -> bool {
  if (size_of(cells) != shape.accelerators) return false;
  return std::ranges::all_of(cells, [&](const assignment& a) {
    auto index = map.find_worker(a.worker);
    if (!index) return false;
    const auto& w = map.workers()[*index];
    return w.condition == worker_condition::ready &&
           (a.accelerators & ~full_mask(w.accelerators)) == 0;
  });
}

}  // namespace

auto guaranteed_slots(const site_config& site)
    -> std::vector<std::pair<guarantee_slot, gang_shape>> {
  std::vector<std::pair<guarantee_slot, gang_shape>> slots;
  for (const auto& [customer, settings] : site.customers) {
    for (const auto& [name, promise] : settings.guarantees) {
      for (std::uint32_t i = 0; i < promise.count; ++i) {
        slots.push_back({{customer, name, i}, promise.shape});
      }
    }
  }
  std::ranges::stable_sort(slots, [](const auto& a, const auto& b) {
    if (a.second.accelerators != b.second.accelerators) {
      return a.second.accelerators > b.second.accelerators;
    }
    return a.second.within < b.second.within;
  });
  return slots;
}

auto plan_homes(const site_config& site, const home_table& homes,
                std::span<const guarantee_slot> claimed, cell_map& cells)
    -> home_plan {
  home_plan plan;
  std::vector<std::pair<guarantee_slot, gang_shape>> homeless;
  auto wanted = guaranteed_slots(site);
  auto is_claimed = [&](const guarantee_slot& slot) {
    return std::ranges::find(claimed, slot) != claimed.end();
  };
  std::map<guarantee_slot, bool> known;
  for (const auto& [slot, shape] : wanted) {
    known[slot] = true;
    auto it = homes.find(slot);
    bool keep = it != homes.end() &&
                (is_claimed(slot) || is_whole(it->second, shape, cells));
    if (keep) {
      for (const auto& a : it->second) cells.add_home(a, !is_claimed(slot));
    } else {
      homeless.emplace_back(slot, shape);
    }
  }
  for (const auto& [slot, home] : homes) {
    if (known.contains(slot)) continue;
    // A claim outlives its guarantee; its home goes when it ends.
    if (is_claimed(slot)) {
      for (const auto& a : home) cells.add_home(a, false);
    } else {
      plan.change.removed.push_back(slot);
    }
  }
  placement_weights weights;
  for (const auto& [slot, shape] : homeless) {
    gang_need need{shape, 0, 0};
    auto found = cells.find(need, cell_scope::new_home, weights);
    if (found.empty()) {
      plan.unmet.push_back(slot);
      if (homes.contains(slot)) plan.change.removed.push_back(slot);
      continue;
    }
    auto home = cells.assignments(found.front().cells, need);
    for (const auto& a : home) cells.add_home(a, true);
    plan.change.homes.push_back({slot, std::move(home)});
  }
  return plan;
}

}  // namespace parsleyledge
