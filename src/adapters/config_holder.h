#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/config/config_version.h"
#include "core/config/site_config.h"
#include "core/ranked_lock.h"
#include "core/time.h"

namespace parsleyledge {

/// The configuration that is in force at an entry, with a lease that the
/// control group renews by confirming the version.
class config_holder {
 public:
  /// Time without a confirmation after which an entry refuses requests.
  static constexpr milliseconds lease{3000};

  /// Renews the lease from `requested_at`, the time at which the control group
  /// was asked, if `version` is the one in force. Returns whether it is.
  auto confirm(config_version version, time_point requested_at) -> bool;

  /// Replaces the configuration, unless `version` is older than the current
  /// one. Returns whether it was replaced.
  auto replace(config_version version, site_config site,
               time_point requested_at) -> bool;

  /// The configuration, or null if the lease has expired.
  auto in_force(time_point now) -> std::shared_ptr<const site_config>;

  auto version() -> config_version;
  auto lease_until() -> time_point;

 private:
  ranked_mutex mutex_{lock_rank::config_table};
  config_version version_;
  std::shared_ptr<const site_config>
      site_;  // null before the first configuration
  time_point confirmed_at_;
};

}  // namespace parsleyledge
