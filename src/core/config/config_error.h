#pragma once

#include <string>

#include "core/config/config_value.h"

namespace parsleyledge {

/// Why a configuration was refused: the place, the dotted key and the reason.
struct config_error {
  source_location where;
  std::string key;
  std::string detail;

  /// The error as one line: "file:line: key: detail".
  auto text() const -> std::string;
};

}  // namespace parsleyledge
