#pragma once

#include <variant>

namespace parsleyledge {

/// Baseline for benchmarks: jobs in order of arrival, each on the first cells
/// that fit.
struct first_fit {};

/// Baseline for benchmarks: jobs in order of arrival, each where the fewest
/// accelerators are left over.
struct best_fit {};

/// The policy with guarantees, reclaim, and weighted order and placement.
struct cell_policy {};

using placement_policy = std::variant<cell_policy, first_fit, best_fit>;

}  // namespace parsleyledge
