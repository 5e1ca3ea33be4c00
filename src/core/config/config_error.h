#pragma once

#include <string>

#include "core/config/config_value.h"

namespace parsleyledge {

/// An error in the configuration: its location, the dotted key and the reason.
struct config_error {
  source_location where;
  std::string key;
  std::string detail;

  /// The error as one line, "file:line: key: detail", without empty parts.
  auto text() const -> std::string;
};

}  // namespace parsleyledge
