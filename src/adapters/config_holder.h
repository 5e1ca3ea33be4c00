#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/config/config_version.h"
#include "core/config/site_config.h"
#include "core/ranked_lock.h"
#include "core/time.h"

namespace parsleyledge {

/// The configuration that an entry has in force, and until when it may act on
/// it without hearing from the control group again.
class config_holder {
 public:
  /// Time without a confirmation after which an entry refuses work.
  static constexpr milliseconds lease{3000};

  /// Confirms that `version` was the group's when asked at `asked_at`. Never
  /// goes back to an older version; returns whether it was accepted.
  auto confirm(config_version version, time_point asked_at) -> bool;

  /// Puts a version in force, unless it is older than the present one.
  auto replace(config_version version, site_config site, time_point asked_at)
      -> bool;

  /// The configuration if the lease holds, else null.
  auto in_force(time_point now) -> std::shared_ptr<const site_config>;

  auto version() -> config_version;
  auto lease_until() -> time_point;

 private:
  ranked_mutex mutex_{lock_rank::config_table};
  config_version version_;
  std::shared_ptr<const site_config> site_;  // null before the first word
  time_point confirmed_at_;
};

}  // namespace parsleyledge
