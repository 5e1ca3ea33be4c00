#include "adapters/config_holder.h"

#include <algorithm>

namespace parsleyledge {

auto config_holder::confirm(config_version version, time_point requested_at)
    -> bool {
  ranked_lock lock(mutex_);
  if (site_ == nullptr || version != version_) return false;
  confirmed_at_ = std::max(confirmed_at_, requested_at);
  return true;
}

auto config_holder::replace(config_version version, site_config site,
                            time_point requested_at) -> bool {
  ranked_lock lock(mutex_);
  if (site_ != nullptr && version < version_) return false;
  version_ = version;
  site_ = std::make_shared<const site_config>(std::move(site));
  confirmed_at_ = std::max(confirmed_at_, requested_at);
  return true;
}

auto config_holder::in_force(time_point now)
    -> std::shared_ptr<const site_config> {
  ranked_lock lock(mutex_);
  if (site_ == nullptr || now - confirmed_at_ >= lease) return nullptr;
  return site_;
}

auto config_holder::version() -> config_version {
  ranked_lock lock(mutex_);
  return version_;
}

auto config_holder::lease_until() -> time_point {
  ranked_lock lock(mutex_);
  return confirmed_at_ + lease;
}

}  // namespace parsleyledge
