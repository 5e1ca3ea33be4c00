#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Estimates the steady clock of one incarnation of a worker and tracks the
/// lease that was granted by that clock. The worker's clock may be slow.
class lease_clock {
 public:
  /// Records a reading of the worker's clock that was received at
  /// `received_at`.
  void sample(std::int64_t clock_ms, time_point received_at);

  /// The end, in milliseconds of the worker's clock, of a lease of this length
  /// from now; nullopt before the first sample.
  auto lease_end(time_point now, milliseconds length) const
      -> std::optional<std::int64_t>;

  /// Records that a lease up to this end, by the worker's clock, may have been
  /// granted.
  void record_grant(std::int64_t end);

  /// The latest end that may have been granted, by the worker's clock; 0 if
  /// none was.
  auto latest_end() const -> std::int64_t { return latest_end_; }

  /// Records that an earlier leader may have granted a lease that lasts until
  /// this local time.
  void assume_granted_until(time_point local_end);

  /// Whether every lease has certainly expired, even if the worker's clock is
  /// slow.
  auto has_expired(time_point now) const -> bool;

 private:
  auto min_reading(time_point now) const -> std::optional<std::int64_t>;

  std::optional<std::int64_t> reading_;
  time_point received_at_;
  std::int64_t latest_end_ = 0;
  time_point assumed_local_end_;
};

}  // namespace parsleyledge::fleet
