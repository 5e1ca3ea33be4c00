#include "core/jobs/estimate.h"

#include <algorithm>

namespace parsleyledge {

namespace {

constexpr std::size_t max_ratios = 32;
constexpr std::size_t min_ratios = 4;  // fewer are no basis for a correction
constexpr std::int64_t max_ratio_per_mille = 100'000;

}  // namespace

void record_run_time(run_time_history& history, milliseconds declared,
                     milliseconds actual) {
  if (declared.count() <= 0) return;
  auto ratio = std::clamp<std::int64_t>(
      actual.count() * 1000 / declared.count(), 1, max_ratio_per_mille);
  history.ratios.push_back(static_cast<std::uint32_t>(ratio));
  if (history.ratios.size() > max_ratios) {
    history.ratios.erase(history.ratios.begin());
  }
}

auto corrected_run_time(std::span<const std::uint32_t> ratios,
                        milliseconds declared) -> milliseconds {
  if (ratios.size() < min_ratios) return declared;
  std::vector<std::uint32_t> sorted(ratios.begin(), ratios.end());
  auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::ranges::nth_element(sorted, median);
  return milliseconds(declared.count() * *median / 1000);
}

}  // namespace parsleyledge
