#include "core/jobs/gang_shape.h"

namespace parsleyledge {

auto parse_adjacency(std::string_view name) -> std::optional<adjacency> {
  for (auto within :
       {adjacency::worker, adjacency::rack, adjacency::data_centre}) {
    if (name == to_string(within)) return within;
  }
  return {};
}

auto to_string(adjacency within) -> std::string_view {
  switch (within) {
    case adjacency::worker:
      return "worker";
    case adjacency::rack:
      return "rack";
    case adjacency::data_centre:
      return "data_centre";
  }
  return "unknown";
}

}  // namespace parsleyledge
