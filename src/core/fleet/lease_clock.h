#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace parsleyledge::fleet {

/// What is known of the steady clock of one incarnation of a worker, and of the
/// lease that was granted on it. The worker's clock may be slow.
class lease_clock {
 public:
  /// A reading of the worker's clock that arrived at `heard`.
  void sample(std::int64_t clock_ms, time_point heard);

  /// The end, on the worker's clock, of a lease of this length; nothing
  /// before the first sample.
  auto lease_end(time_point now, milliseconds length) const
      -> std::optional<std::int64_t>;

  /// A lease up to this end may have been granted.
  void record_grant(std::int64_t end);

  /// The latest end that may have been granted; 0 if none was.
  auto latest_end() const -> std::int64_t { return end_; }

  /// An earlier leader may have granted a lease that runs until then.
  void assume_granted_until(time_point local_end);

  /// Whether every lease has run out for certain, even on a slow clock.
  auto has_expired(time_point now) const -> bool;

 private:
  auto least_reading(time_point now) const -> std::optional<std::int64_t>;

  std::optional<std::int64_t> reading_;
  time_point heard_;
  std::int64_t end_ = 0;
  time_point inherited_end_;
};

}  // namespace parsleyledge::fleet
