#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleyledge {

/// The smallest part of the site that must hold a whole gang.
enum class adjacency { worker, rack, data_centre };

/// What a gang occupies: accelerators that are adjacent in one domain.
struct gang_shape {
  std::uint32_t accelerators = 0;
  adjacency within = adjacency::worker;

  auto operator<=>(const gang_shape&) const = default;
};

/// Reads an adjacency's name; nothing if there is no such name.
auto parse_adjacency(std::string_view name) -> std::optional<adjacency>;

/// The adjacency's name.
auto to_string(adjacency within) -> std::string_view;

}  // namespace parsleyledge
