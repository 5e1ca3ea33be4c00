#include "core/jobs/home_planner.h"

#include <algorithm>
#include <bit>

namespace parsleyledge {

namespace {

auto count_accelerators(std::span<const assignment> cells) -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto& a : cells) {
    total += static_cast<std::uint32_t>(std::popcount(a.accelerators));
  }
  return total;
}

/// Whether a home has the shape's number of accelerators and all its workers
/// are ready.
auto is_usable(std::span<const assignment> cells, const gang_shape& shape,
               const cell_map& map) -> bool {
  if (count_accelerators(cells) != shape.accelerators) return false;
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
    for (const auto& [name, guarantee] : settings.guarantees) {
      for (std::uint32_t i = 0; i < guarantee.count; ++i) {
        slots.push_back({{customer, name, i}, guarantee.shape});
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
  std::vector<std::pair<guarantee_slot, gang_shape>> without_home;
  auto slots = guaranteed_slots(site);
  auto is_claimed = [&](const guarantee_slot& slot) {
    return std::ranges::find(claimed, slot) != claimed.end();
  };
  std::map<guarantee_slot, bool> guaranteed;
  for (const auto& [slot, shape] : slots) {
    guaranteed[slot] = true;
    auto it = homes.find(slot);
    bool keeps_home = it != homes.end() &&
                      (is_claimed(slot) || is_usable(it->second, shape, cells));
    if (keeps_home) {
      for (const auto& a : it->second) cells.add_home(a, !is_claimed(slot));
    } else {
      without_home.emplace_back(slot, shape);
    }
  }
  for (const auto& [slot, home] : homes) {
    if (guaranteed.contains(slot)) continue;
    // A claim of a guarantee that was removed keeps its home until it ends.
    if (is_claimed(slot)) {
      for (const auto& a : home) cells.add_home(a, false);
    } else {
      plan.change.removed.push_back(slot);
    }
  }
  placement_weights weights;
  for (const auto& [slot, shape] : without_home) {
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
