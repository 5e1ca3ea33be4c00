#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace review {

using milliseconds = std::chrono::milliseconds;
using steady_time = std::chrono::steady_clock::time_point;

inline auto steady_now() -> steady_time {
  return std::chrono::steady_clock::now();
}

inline auto wall_ms() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes what was sent, answered and run, with the time since its creation.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}

  void line(std::string_view text) {
    std::lock_guard lock(mutex_);
    auto ms =
        std::chrono::duration_cast<milliseconds>(steady_now() - start_).count();
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ",
                  static_cast<double>(ms) / 1000);
    out_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  steady_time start_ = steady_now();
};

}  // namespace review
