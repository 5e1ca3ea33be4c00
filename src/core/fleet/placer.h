#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string_view>
#include <vector>

#include "core/fleet/resources.h"

namespace parsleyledge::fleet {

constexpr auto unlimited_tasks = std::numeric_limits<std::int64_t>::max();

/// A worker that may run tasks of a step.
struct candidate {
  std::string_view rack;
  resources free;
  resources capacity;
  double speed = 1;         // relative to the others of its service
  std::uint32_t taken = 0;  // tasks of this step already assigned to it
  bool speed_known = true;  // whether its speed has been measured
  std::int64_t task_slots = unlimited_tasks;  // tasks that it may yet take
};

/// The tasks to be placed, with their constraints.
struct placement_need {
  resources per_task;
  std::uint32_t tasks = 1;
  std::uint32_t max_per_worker = 0;  // 0: no limit
  bool all_or_nothing = false;
  bool same_rack = false;
  std::string_view data_rack;
  bool any_rack = false;       // waited long enough to accept a slower rack
  bool slow_first = false;     // leave fast workers to urgent work
  bool explore = false;        // first one task to each worker of unknown speed
  std::int64_t task_work = 0;  // core-milliseconds of a task at speed 1
};

/// The number of tasks to run on one of the candidates.
struct choice {
  std::size_t candidate = 0;
  std::uint32_t tasks = 0;
};

/// Chooses workers: fast ones first, or slow ones first for work with slack,
/// and among equals the one with the least capacity left (best fit), so that
/// wide tasks still find empty workers. Returns an empty list if tasks that
/// must be placed together do not all fit.
auto choose_workers(std::span<const candidate> workers,
                    const placement_need& need) -> std::vector<choice>;

/// Whether the need would fit if all these workers were empty.
auto can_ever_fit(std::span<const candidate> workers,
                  const placement_need& need) -> bool;

}  // namespace parsleyledge::fleet
