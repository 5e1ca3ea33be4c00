#pragma once

#include <chrono>

namespace parsleyledge {

using std::chrono::milliseconds;

/// The clock type of the core. It has no now(): callers pass the current time
/// as an argument.
struct core_clock {
  using duration = milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;
};

using time_point = core_clock::time_point;

/// The time point at this number of milliseconds after the clock's epoch.
constexpr auto at_ms(core_clock::rep ms) -> time_point {
  return time_point(milliseconds(ms));
}

/// Milliseconds since the clock's epoch.
constexpr auto to_ms(time_point t) -> core_clock::rep {
  return t.time_since_epoch().count();
}

}  // namespace parsleyledge
