#include "adapters/log_budget.h"

#include <algorithm>
#include <utility>

namespace parsleyledge {

auto log_budget::admit(std::string_view kind, clock::time_point now)
    -> verdict {
  std::lock_guard lock(mutex_);
  auto it = buckets_.find(kind);
  if (it == buckets_.end()) {
    it = buckets_.emplace(std::string(kind), bucket{burst_, now, 0}).first;
  }
  auto& b = it->second;
  auto since = std::chrono::duration<double>(now - b.filled_at).count();
  b.lines = std::min(b.lines + since * per_second_, burst_);
  b.filled_at = now;
  if (b.lines < 1) {
    ++b.folded;
    return {};
  }
  b.lines -= 1;
  return {true, std::exchange(b.folded, 0)};
}

}  // namespace parsleyledge
