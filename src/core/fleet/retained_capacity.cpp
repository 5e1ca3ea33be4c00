#include "core/fleet/retained_capacity.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

auto component_min(const resources& a, const resources& b) -> resources {
  return {std::min(a.cpu_milli, b.cpu_milli),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace

void retained_capacity::retain(const resources& available, time_point until) {
  entries_.push_back({available, until});
}

void retained_capacity::use(const resources& amount) {
  auto left = amount;
  for (auto& entry : entries_) {
    auto taken = component_min(entry.available, left);
    entry.available -= taken;
    left -= taken;
  }
  std::erase_if(entries_,
                [](const entry& one) { return one.available == resources{}; });
}

auto retained_capacity::total(time_point now) const -> resources {
  resources sum;
  for (const auto& entry : entries_) {
    if (entry.until > now) sum += entry.available;
  }
  return sum;
}

void retained_capacity::expire(time_point now) {
  while (!entries_.empty() && entries_.front().until <= now) {
    entries_.pop_front();
  }
}

}  // namespace parsleyledge::fleet
