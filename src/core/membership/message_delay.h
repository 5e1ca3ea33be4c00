#pragma once

#include <algorithm>

#include "core/time.h"

namespace parsleyledge {

/// Estimates how long the messages of one connection were under way. The clocks
/// of sender and receiver are not synchronized, so a delay is relative to the
/// fastest message of the last two to four seconds, or before a pause of up to
/// a minute.
class message_delay {
 public:
  /// Returns the delay of a message that was sent at `sent_at` on the sender's
  /// clock and received at `received_at` on this process's.
  auto record(time_point sent_at, time_point received_at) -> milliseconds {
    auto age = received_at - window_started_at_;
    if (age >= window) {
      // After a pause, queued messages arrive together and with a delay.
      if (age >= 2 * window && age < max_pause) {
        previous_ = std::min(previous_, current_);
      } else {
        previous_ = age < max_pause ? current_ : milliseconds::max();
      }
      current_ = milliseconds::max();
      window_started_at_ = received_at;
    }
    auto difference = received_at - sent_at;
    current_ = std::min(current_, difference);
    return difference - std::min(previous_, current_);
  }

 private:
  static constexpr milliseconds window{2000};
  static constexpr milliseconds max_pause{60'000};

  time_point window_started_at_;
  milliseconds previous_ = milliseconds::max();  // smallest differences
  milliseconds current_ = milliseconds::max();
};

}  // namespace parsleyledge
