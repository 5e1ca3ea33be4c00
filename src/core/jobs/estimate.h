#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/time.h"

namespace parsleyledge {

/// Ratios of actual to declared run times of a customer's latest jobs, in
/// per mille, the newest last. Holds a bounded number of them.
struct run_time_history {
  std::vector<std::uint32_t> ratios;

  auto operator==(const run_time_history&) const -> bool = default;
};

/// Adds an observation.
void record_run_time(run_time_history& history, milliseconds declared,
                     milliseconds actual);

/// The declared time corrected by the customer's observed median ratio.
auto corrected_run_time(std::span<const std::uint32_t> ratios,
                        milliseconds declared) -> milliseconds;

}  // namespace parsleyledge
