#pragma once

#include "core/time.h"

namespace parsleyledge::agreement {

/// Detects from the delays of a periodic task that this process no longer keeps
/// up, so that its replica should transfer the leadership. A pause of the
/// process delays the task once; a machine that is too slow delays it each
/// time.
class overload_detector {
 public:
  /// Records that the task began `late` after its due time. Returns whether the
  /// replica should transfer its leadership now.
  auto record_delay(milliseconds late, time_point now) -> bool;

 private:
  int late_rounds_ = 0;  // consecutive
  time_point quiet_until_;
};

}  // namespace parsleyledge::agreement
