#include "core/fleet/kept_room.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

auto smaller(const resources& a, const resources& b) -> resources {
  return {std::min(a.cpu_milli, b.cpu_milli),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

}  // namespace

void kept_room::keep(const resources& room, time_point until) {
  pieces_.push_back({room, until});
}

void kept_room::use(const resources& amount) {
  auto left = amount;
  for (auto& piece : pieces_) {
    auto taken = smaller(piece.room, left);
    piece.room -= taken;
    left -= taken;
  }
  std::erase_if(pieces_,
                [](const piece& one) { return one.room == resources{}; });
}

auto kept_room::total(time_point now) const -> resources {
  resources sum;
  for (const auto& piece : pieces_) {
    if (piece.until > now) sum += piece.room;
  }
  return sum;
}

void kept_room::expire(time_point now) {
  while (!pieces_.empty() && pieces_.front().until <= now) {
    pieces_.pop_front();
  }
}

}  // namespace parsleyledge::fleet
