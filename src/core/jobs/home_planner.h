#pragma once

#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/cell_map.h"
#include "core/jobs/scheduler.h"

namespace parsleyledge {

/// Changes of homes that a configuration or a loss of workers asks for.
struct home_plan {
  move_homes change;
  std::vector<guarantee_slot> unmet;
};

/// All slots that the configuration guarantees, the largest gangs first.
auto guaranteed_slots(const site_config& site)
    -> std::vector<std::pair<guarantee_slot, gang_shape>>;

/// Keeps every home that is whole and gives each other slot a new one, in no
/// other home. `cells` must carry all homes that stay.
auto plan_homes(const site_config& site, const home_table& homes,
                std::span<const guarantee_slot> claimed, cell_map& cells)
    -> home_plan;

}  // namespace parsleyledge
