#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace parsleyledge {

/// Bounds how many lines of one kind are logged a second. Lines beyond it are
/// folded into a count, which the next line of that kind carries.
class log_budget {
 public:
  using clock = std::chrono::steady_clock;

  /// `per_second`: lines of one kind; `burst`: so many may come at once.
  log_budget(double per_second, double burst)
      : per_second_(per_second), burst_(burst) {}

  struct verdict {
    bool passes = false;
    std::uint64_t folded = 0;  // lines left out since the last that passed
  };

  /// Decides on a line of this kind.
  auto admit(std::string_view kind, clock::time_point now) -> verdict;

 private:
  struct bucket {
    double lines = 0;
    clock::time_point filled_at;
    std::uint64_t folded = 0;
  };

  const double per_second_;
  const double burst_;
  std::mutex mutex_;  // a leaf: nothing is locked under it
  std::map<std::string, bucket, std::less<>> buckets_;
};

}  // namespace parsleyledge
