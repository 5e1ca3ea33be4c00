#include "core/fleet/retained_capacity.h"

namespace parsleyledge::fleet {

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
