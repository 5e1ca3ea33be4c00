#include "core/fleet/ticket_cache.h"

#include <algorithm>

namespace parsleyledge::fleet {

void ticket_cache::store(const step_ref& step,
                         std::span<const worker_incarnation> asked,
                         const advice_given& advice, time_point until) {
  auto& cached = steps_[step];
  for (const auto& worker : asked) {
    auto it =
        std::ranges::find(advice.allowed, worker.name, &allowed_worker::name);
    bool allowed = it != advice.allowed.end();
    cached[worker.name] = {worker, allowed ? it->ticket : std::string(), until};
  }
}

auto ticket_cache::find_entry(const step_ref& step,
                              const worker_incarnation& worker) const
    -> const entry* {
  auto entries_of_step = steps_.find(step);
  if (entries_of_step == steps_.end()) return nullptr;
  auto it = entries_of_step->second.find(worker.name);
  if (it == entries_of_step->second.end() || it->second.incarnation != worker)
    return nullptr;
  return &it->second;
}

auto ticket_cache::find(const step_ref& step, const worker_incarnation& worker,
                        time_point when) const -> permission {
  const auto* cached = find_entry(step, worker);
  if (cached == nullptr) return permission::unknown;
  if (cached->ticket.empty()) return permission::denied;
  return cached->until > when ? permission::allowed : permission::unknown;
}

auto ticket_cache::ticket(const step_ref& step,
                          const worker_incarnation& worker,
                          time_point when) const -> std::string_view {
  const auto* cached = find_entry(step, worker);
  if (cached == nullptr || cached->until <= when) return {};
  return cached->ticket;
}

void ticket_cache::erase(const step_ref& step,
                         const worker_incarnation& worker) {
  auto entries_of_step = steps_.find(step);
  if (entries_of_step == steps_.end()) return;
  auto it = entries_of_step->second.find(worker.name);
  if (it != entries_of_step->second.end() && it->second.incarnation == worker) {
    entries_of_step->second.erase(it);
  }
}

}  // namespace parsleyledge::fleet
