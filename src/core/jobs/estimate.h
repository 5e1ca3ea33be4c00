#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/time.h"

namespace parsleyledge {

/// Ratios of the actual to the declared run time of a customer's latest
/// completed jobs, in per mille, oldest first. Their number is bounded.
struct run_time_history {
  std::vector<std::uint32_t> ratios;

  auto operator==(const run_time_history&) const -> bool = default;
};

/// Adds the ratio of a completed job and removes the oldest one above the
/// bound. Ignores a job without a declared run time.
void record_run_time(run_time_history& history, milliseconds declared,
                     milliseconds actual);

/// The declared run time times the median of the customer's ratios (per
/// mille); the declared one if there are too few ratios.
auto corrected_run_time(std::span<const std::uint32_t> ratios,
                        milliseconds declared) -> milliseconds;

}  // namespace parsleyledge
