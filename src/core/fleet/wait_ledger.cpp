#include "core/fleet/wait_ledger.h"

#include <algorithm>

namespace parsleyledge::fleet {

void wait_ledger::add_time(wait& waiting, time_point now) {
  auto elapsed = now - waiting.recorded_at;
  waiting.recorded_at = now;
  auto share = std::ranges::find(
      waiting.shares, waiting.cause.index(),
      [](const wait_share& one) { return one.cause.index(); });
  if (share == waiting.shares.end()) {
    waiting.shares.push_back({waiting.cause, elapsed});
  } else {
    share->time += elapsed;
  }
}

void wait_ledger::record(const step_ref& step, const wait_cause& cause,
                         time_point now) {
  auto [it, added] = waits_.try_emplace(step, wait{cause, now, {}});
  if (added) return;
  add_time(it->second, now);
  it->second.cause = cause;
}

auto wait_ledger::extend(const step_ref& step, time_point now) -> bool {
  auto it = waits_.find(step);
  if (it == waits_.end()) return false;
  add_time(it->second, now);
  return true;
}

auto wait_ledger::is_recent(const step_ref& step, time_point since) const
    -> bool {
  auto it = waits_.find(step);
  return it != waits_.end() && it->second.recorded_at > since;
}

auto wait_ledger::finish(const step_ref& step, time_point now)
    -> std::vector<wait_share> {
  auto it = waits_.find(step);
  if (it == waits_.end()) return {};
  add_time(it->second, now);
  auto shares = std::move(it->second.shares);
  waits_.erase(it);
  return shares;
}

}  // namespace parsleyledge::fleet
