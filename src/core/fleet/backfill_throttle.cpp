#include "core/fleet/backfill_throttle.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

constexpr double over = 0.95;  // of the target: polls come after the fact
constexpr double slack =
    0.7;  // of the target, below which throttle is given back
constexpr std::uint32_t back_off = 3;  // the throttle is divided by it
constexpr std::uint32_t least = 10;    // per cent; below it filling stops
constexpr std::uint32_t step_up = 10;  // per cent
// The reported figure covers the last half second and a throttle acts a tenth
// of a second after its request, so a sooner figure shows the throttle before.
constexpr milliseconds settle_time{700};
constexpr milliseconds rise_interval{1000};

}  // namespace

void backfill_throttle::observe(double worst_ratio, time_point now) {
  auto since = now - changed_at_;
  if (worst_ratio > over && since >= settle_time && percent_ > 0) {
    percent_ /= back_off;
    if (percent_ < least) percent_ = 0;
    changed_at_ = now;
  } else if (worst_ratio < slack && since >= rise_interval) {
    percent_ = std::min(percent_ + step_up, whole);
    changed_at_ = now;
  }
}

}  // namespace parsleyledge::fleet
