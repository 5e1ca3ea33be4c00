#pragma once

#include <cstdint>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Decides which share of the processors backfill tasks may use beside tasks
/// that serve on the worker. It backs off at once when a serving task is over
/// its target, and gives back slowly while there is slack.
class backfill_throttle {
 public:
  /// Takes in the worst ratio of a serving task's response time to its target.
  void observe(double worst_ratio, time_point now);

  /// No serving task is left on the worker.
  void release() { percent_ = whole; }

  /// The share of the processors that backfill tasks may use, in per cent.
  auto percent() const -> std::uint32_t { return percent_; }

 private:
  static constexpr std::uint32_t whole = 100;

  std::uint32_t percent_ = whole;
  time_point changed_at_;
};

}  // namespace parsleyledge::fleet
