#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/fleet/resources.h"

namespace parsleyledge::fleet {

/// A worker that may take tasks of a step.
struct candidate {
  std::string_view rack;
  resources free;
  resources capacity;
  double speed = 1;         // relative to the others of its service
  std::uint32_t taken = 0;  // tasks of this step that it has already
  bool known = true;        // whether its speed was ever seen
};

/// What is to be placed.
struct placement_need {
  resources each;
  std::uint32_t tasks = 1;
  std::uint32_t max_per_worker = 0;  // 0: no limit
  bool together = false;             // all tasks or none
  bool same_rack = false;
  std::string_view data_rack;
  bool any_rack = false;       // waited long enough to run on a slower rack
  bool slow_first = false;     // leave fast workers to others
  bool explore = false;        // first one task to each worker of unknown speed
  std::int64_t task_work = 0;  // core-milliseconds of a task at speed 1
};

/// So many tasks on one of the candidates.
struct choice {
  std::size_t candidate = 0;
  std::uint32_t tasks = 0;
};

/// Chooses workers: fast ones first unless the need is patient, and among
/// equals the one with the least room to spare, so that wide tasks still find
/// whole workers. Returns nothing if tasks that belong together do not fit.
auto choose_workers(std::span<const candidate> workers,
                    const placement_need& need) -> std::vector<choice>;

/// Whether the need could be met if all these workers were empty.
auto can_ever_fit(std::span<const candidate> workers,
                  const placement_need& need) -> bool;

}  // namespace parsleyledge::fleet
