#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/fleet/placer.h"

namespace parsleyledge::fleet {

/// Capacity on one worker that becomes free when a victim is stopped.
struct freed_capacity {
  std::size_t candidate = 0;
  resources available;
};

/// Work that may be stopped for the need, as a whole: a gang or one task.
struct victim {
  std::vector<freed_capacity> freed;
  std::int64_t loss = 0;  // core-milliseconds of work to be repeated
};

/// Where the tasks of a step are placed, and what must be stopped for them.
struct reclaim_plan {
  std::vector<choice> chosen;
  std::vector<std::size_t> victims;  // indexes of those stopped
  std::int64_t loss = 0;             // of all victims stopped
  std::int64_t cost = 0;             // loss plus weighted run time
};

/// Plans the placement of all tasks of a need at the lowest cost: the work lost
/// by stopping victims, plus the run time of the tasks, which favours fast
/// workers. Nullopt if the tasks do not fit even with all victims stopped.
auto plan_reclaim(std::span<const candidate> workers,
                  std::span<const victim> victims, const placement_need& need)
    -> std::optional<reclaim_plan>;

}  // namespace parsleyledge::fleet
