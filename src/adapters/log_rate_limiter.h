#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace parsleyledge {

/// Limits the rate of log lines of one kind by a token bucket. Suppressed
/// lines are counted; the next admitted line of that kind reports the count.
class log_rate_limiter {
 public:
  using clock = std::chrono::steady_clock;

  /// `per_second`: sustained rate of lines of one kind; `burst`: lines of one
  /// kind that are admitted at once after a pause.
  log_rate_limiter(double per_second, double burst)
      : per_second_(per_second), burst_(burst) {}

  struct admission {
    bool admitted = false;
    std::uint64_t suppressed = 0;  // lines since the last admitted one
  };

  /// Takes a token for a line of this kind at the time `now`.
  auto admit(std::string_view kind, clock::time_point now) -> admission;

 private:
  struct token_bucket {
    double tokens = 0;
    clock::time_point refilled_at;
    std::uint64_t suppressed = 0;
  };

  const double per_second_;
  const double burst_;
  std::mutex mutex_;  // leaf: no lock is taken under it
  std::map<std::string, token_bucket, std::less<>> buckets_;
};

}  // namespace parsleyledge
