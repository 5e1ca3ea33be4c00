#pragma once

#include <map>
#include <utility>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/wait_cause.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// How long a step has waited for one cause.
struct wait_share {
  wait_cause cause;
  milliseconds time{0};
};

/// Records how long steps wait for their placement, by cause.
class wait_ledger {
 public:
  /// Records that the step waits at this time. The time since it was last
  /// recorded counts for the cause given then.
  void record(const step_ref& step, const wait_cause& cause, time_point now);

  /// The same with the cause given last. Returns false if there is none.
  auto extend(const step_ref& step, time_point now) -> bool;

  /// Whether a cause was recorded for the step after `since`.
  auto is_recent(const step_ref& step, time_point since) const -> bool;

  /// Ends the wait of a step and returns its shares; empty if the step was not
  /// recorded.
  auto finish(const step_ref& step, time_point now) -> std::vector<wait_share>;

  /// Forgets the steps of jobs for which `keeps` is false.
  template <typename Predicate>
  void erase_unless(Predicate keeps) {
    std::erase_if(waits_,
                  [&](const auto& item) { return !keeps(item.first.job); });
  }

  void clear() { waits_.clear(); }

 private:
  struct wait {
    wait_cause cause;  // since `recorded_at`
    time_point recorded_at;
    std::vector<wait_share> shares;  // one for each cause
  };

  static void add_time(wait& waiting, time_point now);

  std::map<step_ref, wait> waits_;
};

}  // namespace parsleyledge::fleet
