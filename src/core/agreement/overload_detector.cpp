#include "core/agreement/overload_detector.h"

namespace parsleyledge::agreement {

namespace {

// Followers start an election after 700 ms without a message, so a leader that
// is late by more than a fraction of that does not serve its callers in time.
constexpr milliseconds max_delay{150};
constexpr int late_rounds_to_transfer = 3;
// If all replicas are overloaded, transfers must not add to the load.
constexpr milliseconds min_transfer_interval{10'000};

}  // namespace

auto overload_detector::record_delay(milliseconds late, time_point now)
    -> bool {
  late_rounds_ = late > max_delay ? late_rounds_ + 1 : 0;
  if (late_rounds_ < late_rounds_to_transfer || now < quiet_until_)
    return false;
  late_rounds_ = 0;
  quiet_until_ = now + min_transfer_interval;
  return true;
}

}  // namespace parsleyledge::agreement
