#pragma once

#include <cstdint>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Decides which share of a worker's processors its backfill tasks may use
/// beside its serving tasks. The share drops at once when a serving task
/// exceeds its target, and rises slowly while response times are well below it.
class backfill_throttle {
 public:
  /// Records the worst ratio of a serving task's response time to its target.
  void observe(double worst_ratio, time_point now);

  /// Starts from a low share, for tasks that have run beside serving tasks.
  void restrict() { percent_ = min_percent; }

  /// Lifts the throttle, once no serving task is left on the worker.
  void release() { percent_ = max_percent; }

  /// The share of the processors that backfill tasks may use, in per cent; 0
  /// stops them.
  auto percent() const -> std::uint32_t { return percent_; }

 private:
  static constexpr std::uint32_t max_percent = 100;
  static constexpr std::uint32_t min_percent = 10;  // below it backfill stops

  std::uint32_t percent_ = max_percent;
  time_point changed_at_;
};

}  // namespace parsleyledge::fleet
