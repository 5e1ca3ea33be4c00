#pragma once

#include "core/time.h"

namespace parsleyledge {

/// The monotonic clock: for leases, timeouts and latencies.
inline auto steady_now() -> time_point {
  return time_point(std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// The wall clock: for times that are stored or shown.
inline auto wall_now() -> time_point {
  return time_point(std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch()));
}

}  // namespace parsleyledge
