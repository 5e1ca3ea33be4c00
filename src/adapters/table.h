#pragma once

#include <string>
#include <vector>

namespace parsleyledge {

/// A table of text for people: a header, then rows, with aligned columns.
struct text_table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;

  auto print() const -> std::string;
};

}  // namespace parsleyledge
