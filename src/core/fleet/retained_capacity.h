#pragma once

#include <deque>

#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// Capacity of a worker that urgent work released recently. It is retained for
/// the next urgent work, which then need not stop other work to get it.
class retained_capacity {
 public:
  /// Retains capacity until a time. Times must not decrease from call to call.
  void retain(const resources& available, time_point until);

  /// Removes an amount that urgent work now uses, starting with the capacity
  /// that expires first.
  void use(const resources& amount);

  /// The capacity that is retained at this time.
  auto total(time_point now) const -> resources;

  /// Removes capacity whose retention has ended.
  void expire(time_point now);

 private:
  struct entry {
    resources available;
    time_point until;
  };

  std::deque<entry> entries_;  // the first to expire first
};

}  // namespace parsleyledge::fleet
