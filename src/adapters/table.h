#pragma once

#include <string>
#include <vector>

namespace parsleyledge {

/// A plain-text table with a header and left-aligned columns.
struct text_table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;

  /// Formats the header and the rows, one line each, columns two spaces apart.
  auto format() const -> std::string;
};

}  // namespace parsleyledge
