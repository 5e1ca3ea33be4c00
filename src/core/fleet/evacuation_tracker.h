#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/fleet/effect.h"
#include "core/fleet/evacuation.h"
#include "core/fleet/planning_pass.h"
#include "core/fleet/site.h"
#include "core/fleet/tracked_run.h"

namespace parsleyledge::fleet {

/// What a leader knows as it decides on the work in data centres under
/// evacuation.
struct evacuation_input {
  const fleet_tables& tables;
  const site& config;
  const std::unordered_map<task_ref, tracked_run, task_hash>& runs;
  const planning_pass& pass;  // of the workers elsewhere
  time_point now;             // steady clock
  // Whether a long-running task may be stopped, as far as its step allows
  // unavailable tasks.
  std::function<bool(const task_ref&)> may_stop;
};

/// Follows the evacuations of data centres for the leader: what still runs
/// there, why, and what is to be moved next. The orders themselves are in the
/// tables, so that nothing is lost with a leader.
class evacuation_tracker {
 public:
  /// Begins a leadership. The evacuations in the tables are known already.
  void restore(const fleet_tables& tables);

  /// Logs the orders since the last call and the end of those withdrawn.
  void synchronize(const fleet_tables& tables);

  /// Whether it is time to choose again what moves. Never true without an
  /// evacuation.
  auto is_choice_due(time_point now) const -> bool;

  /// Returns the tasks to be stopped now, so that they start elsewhere. Of a
  /// step whose tasks run until they are cancelled at most one.
  auto choose_moves(const evacuation_input& input) -> std::vector<task_ref>;

  /// The decisions to be logged since the last call.
  auto take_decisions() -> std::vector<decision>;

  /// How many tasks still run in each data centre under evacuation.
  auto remaining() const
      -> const std::map<std::string, std::size_t, std::less<>>& {
    return remaining_;
  }

 private:
  /// Numbers of tasks by the reason why they are still there.
  using task_counts = std::map<std::string_view, std::size_t>;

  auto awaits_placement(const evacuation_input& input) -> bool;
  void log_progress(const std::map<std::string_view, task_counts>& tasks,
                    time_point now);

  std::set<std::string, std::less<>> known_;  // evacuations that are logged
  std::map<std::string, std::size_t, std::less<>> remaining_;
  // Tasks that were stopped to move and are not placed again, since when.
  std::map<task_ref, time_point> moving_;
  std::set<step_ref> unplaced_steps_;  // of such tasks that waited too long
  time_point next_choice_at_;
  time_point next_progress_at_;
  std::vector<decision> decisions_;
};

}  // namespace parsleyledge::fleet
