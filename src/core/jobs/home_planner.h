#pragma once

#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/cell_map.h"
#include "core/jobs/scheduler.h"

namespace parsleyledge {

/// Changes of homes after a change of configuration or a loss of workers. A
/// home is the set of accelerators set aside for one slot of a guarantee.
struct home_plan {
  set_homes change;
  std::vector<guarantee_slot> unmet;  // no capacity for a home
};

/// All slots that the configuration guarantees, with their shapes: larger gangs
/// first, those of equal size by the smaller domain first.
auto guaranteed_slots(const site_config& site)
    -> std::vector<std::pair<guarantee_slot, gang_shape>>;

/// Keeps the homes that are claimed or usable, and plans a new home, disjoint
/// from all others, for every other guaranteed slot. Marks the resulting homes
/// in `cells`, where occupied and reclaimable accelerators must already be
/// marked, and homes not yet.
auto plan_homes(const site_config& site, const home_table& homes,
                std::span<const guarantee_slot> claimed, cell_map& cells)
    -> home_plan;

}  // namespace parsleyledge
