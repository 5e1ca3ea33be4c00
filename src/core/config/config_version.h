#pragma once

#include "core/strong.h"

namespace parsleyledge {

/// Counts the accepted changes of the operators' folder. It never goes back.
using config_version = strong<struct config_version_tag>;

}  // namespace parsleyledge
