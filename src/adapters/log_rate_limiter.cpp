#include "adapters/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace parsleyledge {

auto log_rate_limiter::admit(std::string_view kind, clock::time_point now)
    -> admission {
  std::lock_guard lock(mutex_);
  auto it = buckets_.find(kind);
  if (it == buckets_.end()) {
    it =
        buckets_.emplace(std::string(kind), token_bucket{burst_, now, 0}).first;
  }
  auto& b = it->second;
  auto elapsed_seconds =
      std::chrono::duration<double>(now - b.refilled_at).count();
  b.tokens = std::min(b.tokens + elapsed_seconds * per_second_, burst_);
  b.refilled_at = now;
  if (b.tokens < 1) {
    ++b.suppressed;
    return {};
  }
  b.tokens -= 1;
  return {true, std::exchange(b.suppressed, 0)};
}

}  // namespace parsleyledge
