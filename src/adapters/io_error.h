#pragma once

#include <string>

namespace parsleyledge {

/// A failed file operation: the file, the operation and the reason.
struct io_error {
  std::string file;
  std::string operation;
  std::string detail;

  /// The error formatted as one line.
  auto text() const -> std::string {
    return file + ": " + operation + ": " + detail;
  }
};

}  // namespace parsleyledge
