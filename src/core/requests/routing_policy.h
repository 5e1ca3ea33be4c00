#pragma once

#include <variant>

namespace parsleyledge {

/// The best of a few random endpoints by load and recent latency.
struct sampled_load {
  unsigned samples = 3;
};

/// Each endpoint in turn. A baseline for comparisons.
struct round_robin {};

/// The endpoint with the fewest requests in flight. A baseline for comparisons.
struct least_in_flight {};

using routing_policy = std::variant<sampled_load, round_robin, least_in_flight>;

}  // namespace parsleyledge
