#pragma once

#include <ctime>

#include "core/time.h"

namespace parsleyledge {

/// The monotonic clock for leases, timeouts and latencies, in milliseconds.
/// Unlike std::chrono::steady_clock, it includes the time during which the
/// machine is suspended, so a lease expires during a suspension.
inline auto steady_now() -> time_point {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(
      milliseconds(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000));
}

/// The wall clock in milliseconds, for times that are stored or displayed.
inline auto wall_now() -> time_point {
  return time_point(std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch()));
}

/// The wall clock at the first call, continued by the monotonic clock: steps of
/// the wall clock do not change it. For the times of messages.
inline auto message_now() -> time_point {
  static const auto offset = wall_now() - steady_now();
  return steady_now() + offset;
}

}  // namespace parsleyledge
