#include "core/fleet/backfill_throttle.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// A ratio of a response time to its target. Below 1, since a poll reports
// response times of the past.
constexpr double decrease_above_ratio = 0.95;
constexpr double increase_below_ratio = 0.7;
constexpr std::uint32_t decrease_divisor = 3;
constexpr std::uint32_t increase_percent = 10;
// A reported response time covers the last 500 ms, and a throttle takes effect
// 100 ms after its request, so a report that comes sooner still shows the
// effect of the previous throttle.
constexpr milliseconds min_decrease_interval{700};
constexpr milliseconds min_increase_interval{1000};

}  // namespace

void backfill_throttle::observe(double worst_ratio, time_point now) {
  auto since = now - changed_at_;
  if (worst_ratio > decrease_above_ratio && since >= min_decrease_interval &&
      percent_ > 0) {
    percent_ /= decrease_divisor;
    if (percent_ < min_percent) percent_ = 0;
    changed_at_ = now;
  } else if (worst_ratio < increase_below_ratio &&
             since >= min_increase_interval) {
    percent_ = std::min(percent_ + increase_percent, max_percent);
    changed_at_ = now;
  }
}

}  // namespace parsleyledge::fleet
