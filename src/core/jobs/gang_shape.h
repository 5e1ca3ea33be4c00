#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleyledge {

/// The domain that a whole gang must fit in.
enum class adjacency { worker, rack, data_centre };

/// Number of accelerators of a gang, and the domain that they must be in.
struct gang_shape {
  std::uint32_t accelerators = 0;
  adjacency within = adjacency::worker;

  auto operator<=>(const gang_shape&) const = default;
};

/// The adjacency with this name, or nothing if there is none.
auto parse_adjacency(std::string_view name) -> std::optional<adjacency>;

/// The adjacency's name in settings and requests.
auto to_string(adjacency within) -> std::string_view;

}  // namespace parsleyledge
