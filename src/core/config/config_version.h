#pragma once

#include "core/strong.h"

namespace parsleyledge {

/// The number of accepted changes of the configuration folder. It never
/// decreases.
using config_version = strong<struct config_version_tag>;

}  // namespace parsleyledge
