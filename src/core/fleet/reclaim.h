#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/fleet/placer.h"

namespace parsleyledge::fleet {

/// Room that stopping a victim makes free on one worker.
struct freed_capacity {
  std::size_t candidate = 0;
  resources available;
};

/// Work of a lower priority that can only be stopped as a whole: a gang, or
/// one task.
struct victim {
  std::vector<freed_capacity> frees;
  std::int64_t loss = 0;  // core-milliseconds that would be done again
};

/// Where a step would go, and what has to be stopped for it.
struct reclaim_plan {
  std::vector<choice> chosen;
  std::vector<std::size_t> stopped;  // victims
  std::int64_t loss = 0;             // of all of them
  std::int64_t cost = 0;             // loss, and the slowness of the places
};

/// Finds places for all tasks of a need where the work lost is least. Among
/// equal losses a faster worker goes first. Nothing if it cannot fit even so.
auto plan_reclaim(std::span<const candidate> workers,
                  std::span<const victim> victims, const placement_need& need)
    -> std::optional<reclaim_plan>;

}  // namespace parsleyledge::fleet
