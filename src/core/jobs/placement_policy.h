#pragma once

#include <variant>

namespace parsleyledge {

/// Baseline: jobs in order of arrival, each on the first place that fits.
struct first_fit {};

/// Baseline: jobs in order of arrival, each where the least is left over.
struct best_fit {};

/// Guarantees, reclaim, weighted order and placement.
struct cell_policy {};

using placement_policy = std::variant<cell_policy, first_fit, best_fit>;

}  // namespace parsleyledge
