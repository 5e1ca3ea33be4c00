#pragma once

#include <variant>

namespace parsleyledge {

/// Chooses the best of a few random endpoints by load and recent latency.
struct sampled_load {
  unsigned samples = 3;
};

/// Baseline: each endpoint in turn.
struct round_robin {};

/// Baseline: the endpoint with the fewest requests in flight.
struct least_in_flight {};

using routing_policy = std::variant<sampled_load, round_robin, least_in_flight>;

}  // namespace parsleyledge
