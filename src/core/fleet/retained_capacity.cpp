#include "core/fleet/retained_capacity.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

auto smaller(const resources& a, const resources& b) -> resources {
  return {std::min(a.cpu_milli, b.cpu_milli),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace

void retained_capacity::retain(const resources& available, time_point until) {
  pieces_.push_back({available, until});
}

void retained_capacity::use(const resources& amount) {
  auto left = amount;
  for (auto& piece : pieces_) {
    auto taken = smaller(piece.available, left);
    piece.available -= taken;
    left -= taken;
  }
  std::erase_if(pieces_,
                [](const piece& one) { return one.available == resources{}; });
}

auto retained_capacity::total(time_point now) const -> resources {
  resources sum;
  for (const auto& piece : pieces_) {
    if (piece.until > now) sum += piece.available;
  }
  return sum;
}

void retained_capacity::expire(time_point now) {
  while (!pieces_.empty() && pieces_.front().until <= now) {
    pieces_.pop_front();
  }
}

}  // namespace parsleyledge::fleet
