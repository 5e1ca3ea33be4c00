#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using std::chrono::milliseconds;

/// The milliseconds since the process started.
auto elapsed_ms() -> long;

/// Blocks the calling thread.
void pause_for(milliseconds time);

/// What was sent, answered and run, one line each with its time.
class event_record {
 public:
  explicit event_record(const std::string& path) : file_(path) {}

  void add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
