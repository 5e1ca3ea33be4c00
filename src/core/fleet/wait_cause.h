#pragma once

#include <span>
#include <string_view>
#include <variant>

#include "core/fleet/placer.h"

namespace parsleyledge::fleet {

/// The available capacity is too small, even in total.
struct no_capacity {};

/// The available capacity is large enough in total, but not on single workers.
struct fragmented_capacity {};

/// The step fits, but not in one rack or not in the rack of its data.
struct rack_full {};

/// The step would fit with the workers in quarantine.
struct workers_quarantined {};

/// The step would fit with the capacity that is kept for urgent work and gangs.
struct capacity_reserved {};

/// Runs are being stopped for the step.
struct stops_pending {};

/// The workers that the policy of the queue allows are not all known, or full.
struct advice_pending {};

/// Why a step waits for its placement.
using wait_cause = std::variant<no_capacity, fragmented_capacity, rack_full,
                                workers_quarantined, capacity_reserved,
                                stops_pending, advice_pending>;

/// The name of the cause in logs, metrics and summaries.
auto to_string(const wait_cause& cause) -> std::string_view;

/// Finds out why a need does not fit. `workers` have the capacity available to
/// the step, `with_reserved` are the same workers with all capacity that is
/// free, and `with_quarantined` has the workers in quarantine as well.
auto find_wait_cause(std::span<const candidate> workers,
                     std::span<const candidate> with_reserved,
                     std::span<const candidate> with_quarantined,
                     const placement_need& need) -> wait_cause;

}  // namespace parsleyledge::fleet
