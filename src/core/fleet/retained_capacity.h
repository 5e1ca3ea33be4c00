#pragma once

#include <deque>

#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// Capacity of a worker that urgent work released shortly before. It is
/// retained for other urgent work, which then need not stop anything to get it.
class retained_capacity {
 public:
  /// Retains capacity until a time. Times must not decrease from call to call.
  void retain(const resources& available, time_point until);

  /// Urgent work takes so much of it.
  void use(const resources& amount);

  /// The capacity that is retained at this time.
  auto total(time_point now) const -> resources;

  /// Removes what is no longer retained.
  void expire(time_point now);

 private:
  struct piece {
    resources available;
    time_point until;
  };

  std::deque<piece> pieces_;  // the first to expire first
};

}  // namespace parsleyledge::fleet
