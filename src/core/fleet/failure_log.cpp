#include "core/fleet/failure_log.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// More steps than fail at a time on the largest site.
constexpr std::size_t entries_kept = 256;

}  // namespace

auto failure_log::find_or_add(const step_ref& step, std::string_view worker)
    -> entry& {
  auto it = std::ranges::find(entries_, step, &entry::step);
  if (it != entries_.end()) return *it;
  entry made{step, std::string(worker), 0, false};
  if (entries_.size() < entries_kept) return entries_.emplace_back(made);
  auto& reused = entries_[next_];
  next_ = (next_ + 1) % entries_kept;
  return reused = std::move(made);
}

auto failure_log::record(const step_ref& step, std::string_view worker)
    -> failure_attribution {
  auto& known = find_or_add(step, worker);
  if (known.everywhere) return {};
  if (known.first_worker == worker) {
    ++known.failures;
    return {true, {}, 0};
  }
  known.everywhere = true;
  return {false, known.first_worker, known.failures};
}

}  // namespace parsleyledge::fleet
