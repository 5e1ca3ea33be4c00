#include "core/jobs/estimate.h"

#include <algorithm>

namespace parsleyledge {

namespace {

constexpr std::size_t max_history = 32;
constexpr std::size_t min_history = 4;  // fewer say too little
constexpr std::int64_t max_ratio = 100'000;

}  // namespace

void record_run_time(run_time_history& history, milliseconds declared,
                     milliseconds actual) {
  if (declared.count() <= 0) return;
  auto ratio = std::clamp<std::int64_t>(
      actual.count() * 1000 / declared.count(), 1, max_ratio);
  history.ratios.push_back(static_cast<std::uint32_t>(ratio));
  if (history.ratios.size() > max_history) {
    history.ratios.erase(history.ratios.begin());
  }
}

auto corrected_run_time(std::span<const std::uint32_t> ratios,
                        milliseconds declared) -> milliseconds {
  if (ratios.size() < min_history) return declared;
  std::vector<std::uint32_t> sorted(ratios.begin(), ratios.end());
  auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::ranges::nth_element(sorted, middle);
  return milliseconds(declared.count() * *middle / 1000);
}

}  // namespace parsleyledge
