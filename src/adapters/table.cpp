#include "adapters/table.h"

#include <algorithm>
#include <span>

namespace parsleyledge {

auto text_table::format() const -> std::string {
  std::vector<std::size_t> widths;
  auto widen_columns = [&](std::span<const std::string> row) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  };
  widen_columns(header);
  for (const auto& row : rows) widen_columns(row);
  std::string out;
  auto append_row = [&](std::span<const std::string> row) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out += row[i];
      if (i + 1 < row.size()) out.append(widths[i] - row[i].size() + 2, ' ');
    }
    out += '\n';
  };
  append_row(header);
  for (const auto& row : rows) append_row(row);
  return out;
}

}  // namespace parsleyledge
