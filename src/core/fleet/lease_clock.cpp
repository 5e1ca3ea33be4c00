#include "core/fleet/lease_clock.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// A worker's steady clock may run 2 % slow, by the platform's pages.
constexpr std::int64_t slow_percent = 98;

}  // namespace

auto lease_clock::least_reading(time_point now) const
    -> std::optional<std::int64_t> {
  if (!reading_) return {};
  return *reading_ + (now - heard_).count() * slow_percent / 100;
}

// A reading is never ahead of the clock, so the largest bound holds.
void lease_clock::sample(std::int64_t clock_ms, time_point heard) {
  auto known = least_reading(heard);
  if (known && *known >= clock_ms) return;
  reading_ = clock_ms;
  heard_ = heard;
}

auto lease_clock::lease_end(time_point now, milliseconds length) const
    -> std::optional<std::int64_t> {
  auto reading = least_reading(now);
  if (!reading) return {};
  return *reading + length.count();
}

void lease_clock::record_grant(std::int64_t end) {
  end_ = std::max(end_, end);
}

void lease_clock::assume_granted_until(time_point local_end) {
  inherited_end_ = std::max(inherited_end_, local_end);
}

auto lease_clock::has_expired(time_point now) const -> bool {
  if (now < inherited_end_) return false;
  if (end_ == 0) return true;
  auto reading = least_reading(now);
  return reading && *reading > end_;
}

}  // namespace parsleyledge::fleet
