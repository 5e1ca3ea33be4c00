#pragma once

#include <deque>

#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// Room on a worker that urgent work left a moment ago. It is kept for other
/// urgent work for a while, which then need not stop anything to get it.
class retained_capacity {
 public:
  /// Keeps room until a time. Times must not decrease from call to call.
  void retain(const resources& available, time_point until);

  /// Urgent work takes so much of it.
  void use(const resources& amount);

  /// The room that is kept at this time.
  auto total(time_point now) const -> resources;

  /// Forgets what is no longer kept.
  void expire(time_point now);

 private:
  struct piece {
    resources available;
    time_point until;
  };

  std::deque<piece> pieces_;  // the first to expire first
};

}  // namespace parsleyledge::fleet
