#include "core/fleet/lease_clock.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// The platform allows a worker's steady clock to run up to 2 % slow.
constexpr std::int64_t min_clock_rate_percent = 98;

}  // namespace

auto lease_clock::min_reading(time_point now) const
    -> std::optional<std::int64_t> {
  if (!reading_) return {};
  return *reading_ +
         (now - received_at_).count() * min_clock_rate_percent / 100;
}

// Each sample gives a lower bound of the worker's clock, since the clock has
// advanced while the message was in flight. The largest bound is kept.
void lease_clock::sample(std::int64_t clock_ms, time_point received_at) {
  auto known = min_reading(received_at);
  if (known && *known >= clock_ms) return;
  reading_ = clock_ms;
  received_at_ = received_at;
}

auto lease_clock::lease_end(time_point now, milliseconds length) const
    -> std::optional<std::int64_t> {
  auto reading = min_reading(now);
  if (!reading) return {};
  return *reading + length.count();
}

void lease_clock::record_grant(std::int64_t end) {
  latest_end_ = std::max(latest_end_, end);
}

void lease_clock::assume_granted_until(time_point local_end) {
  assumed_local_end_ = std::max(assumed_local_end_, local_end);
}

auto lease_clock::has_expired(time_point now) const -> bool {
  if (now < assumed_local_end_) return false;
  if (latest_end_ == 0) return true;
  auto reading = min_reading(now);
  return reading && *reading > latest_end_;
}

}  // namespace parsleyledge::fleet
