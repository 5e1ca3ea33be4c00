#include "core/fleet/site.h"

#include <algorithm>

#include "core/fleet/job_spec.h"

namespace parsleyledge::fleet {

auto find_queue(const site& config, std::string_view host,
                std::string_view path) -> const queue* {
  const queue* best = nullptr;
  for (const auto& q : config.queues) {
    if (q.host != host || !path.starts_with(q.prefix)) continue;
    if (best == nullptr || q.prefix.size() > best->prefix.size()) best = &q;
  }
  return best;
}

auto find_queue(const site& config, std::string_view name) -> const queue* {
  auto it = std::ranges::lower_bound(config.queues, name, {}, &queue::name);
  return it == config.queues.end() || it->name != name ? nullptr : &*it;
}

auto queue_of(const site& config, const job_spec& spec) -> const queue* {
  if (const auto* configured = find_queue(config, spec.queue)) {
    return configured;
  }
  return spec.accepted_by.service.empty() ? nullptr : &spec.accepted_by;
}

}  // namespace parsleyledge::fleet
