#pragma once

#include <string>

namespace parsleyledge {

/// A failed operation on a file: which file, what was done, and why.
struct io_error {
  std::string file;
  std::string operation;
  std::string detail;

  /// The error as one line.
  auto text() const -> std::string {
    return file + ": " + operation + ": " + detail;
  }
};

}  // namespace parsleyledge
