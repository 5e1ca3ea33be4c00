#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// A worker elsewhere, and the limit of its step on tasks of one worker.
struct eligible_worker {
  std::size_t index = 0;
  std::int64_t max_tasks = std::numeric_limits<std::int64_t>::max();
};

/// Work that runs in a data centre under evacuation: one task, or the tasks of
/// a gang that run there.
struct evacuated_work {
  std::vector<task_ref> tasks;
  std::size_t tasks_to_place = 1;  // of a gang all, as they start together
  std::uint32_t priority = 0;      // of its queue; 0 is the highest
  bool long_running = false;
  bool checkpoints = false;
  bool may_stop = true;  // within the unavailable tasks that its step allows
  resources per_task;
  // Until all its tasks end by themselves; nullopt if it is unknown.
  std::optional<milliseconds> time_left;
  // The workers elsewhere that may run it, by their index, and how many of its
  // tasks each may take.
  std::vector<eligible_worker> workers;
};

/// Stop the work, so that it starts elsewhere.
struct move_work {};

/// The work ends soon, as far as is known.
struct ends_soon {};

/// Nothing is known yet about the time that the work still takes.
struct remaining_time_unknown {};

/// The work would lose its progress, since it saves none.
struct has_no_checkpoints {};

/// Too many other tasks of its step are unavailable.
struct availability_limited {};

/// The work does not fit elsewhere.
struct no_capacity_elsewhere {};

/// What is to be done with work in a data centre under evacuation: to move it,
/// or the reason why it stays for now.
using evacuation_choice =
    std::variant<move_work, ends_soon, remaining_time_unknown,
                 has_no_checkpoints, availability_limited,
                 no_capacity_elsewhere>;

/// The name of the choice in logs.
auto to_string(const evacuation_choice& choice) -> std::string_view;

/// Decides for each work whether it moves. Answers the load of a data centre
/// that is emptied while the others are nearly full: the work of the highest
/// priority and the longest remaining time takes the capacity `available` on
/// the workers elsewhere first, and what ends soon goes on. A gang moves as a
/// whole or not at all. The choices are in the order of the work.
auto choose_evacuations(std::span<const evacuated_work> work,
                        std::span<const resources> available)
    -> std::vector<evacuation_choice>;

}  // namespace parsleyledge::fleet
