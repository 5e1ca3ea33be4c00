#include "core/fleet/failure_log.h"

#include <algorithm>

namespace parsleyledge::fleet {

namespace {

// More than the number of steps that fail at the same time on the largest site.
constexpr std::size_t max_entries = 256;

}  // namespace

auto failure_log::find_or_add(const step_ref& step, std::string_view worker)
    -> entry& {
  auto it = std::ranges::find(entries_, step, &entry::step);
  if (it != entries_.end()) return *it;
  entry added{step, std::string(worker), 0, false};
  if (entries_.size() < max_entries) return entries_.emplace_back(added);
  auto& reused = entries_[next_];
  next_ = (next_ + 1) % max_entries;
  return reused = std::move(added);
}

auto failure_log::record(const step_ref& step, std::string_view worker)
    -> failure_attribution {
  auto& failing = find_or_add(step, worker);
  if (failing.failed_elsewhere) return {};
  if (failing.first_worker == worker) {
    ++failing.failures;
    return {true, {}, 0};
  }
  failing.failed_elsewhere = true;
  return {false, failing.first_worker, failing.failures};
}

}  // namespace parsleyledge::fleet
