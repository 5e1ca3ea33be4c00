#include "core/fleet/ticket_cache.h"

#include <algorithm>

namespace parsleyledge::fleet {

void ticket_cache::store(const step_ref& step,
                         std::span<const worker_incarnation> asked,
                         const advice_given& advice, time_point until) {
  auto& known = steps_[step];
  for (const auto& worker : asked) {
    auto it =
        std::ranges::find(advice.allowed, worker.name, &allowed_worker::name);
    bool allowed = it != advice.allowed.end();
    known[worker.name] = {worker, allowed ? it->ticket : std::string(), until};
  }
}

auto ticket_cache::find_entry(const step_ref& step,
                              const worker_incarnation& worker) const
    -> const entry* {
  auto known = steps_.find(step);
  if (known == steps_.end()) return nullptr;
  auto it = known->second.find(worker.name);
  if (it == known->second.end() || it->second.incarnation != worker)
    return nullptr;
  return &it->second;
}

auto ticket_cache::find(const step_ref& step, const worker_incarnation& worker,
                        time_point when) const -> permission {
  const auto* known = find_entry(step, worker);
  if (known == nullptr) return permission::unknown;
  if (known->ticket.empty()) return permission::denied;
  return known->until > when ? permission::allowed : permission::unknown;
}

auto ticket_cache::ticket(const step_ref& step,
                          const worker_incarnation& worker,
                          time_point when) const -> std::string_view {
  const auto* known = find_entry(step, worker);
  if (known == nullptr || known->until <= when) return {};
  return known->ticket;
}

void ticket_cache::erase(const step_ref& step,
                         const worker_incarnation& worker) {
  auto known = steps_.find(step);
  if (known == steps_.end()) return;
  auto it = known->second.find(worker.name);
  if (it != known->second.end() && it->second.incarnation == worker) {
    known->second.erase(it);
  }
}

}  // namespace parsleyledge::fleet
