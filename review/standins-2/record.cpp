#include "record.h"

#include <iostream>
#include <thread>

namespace review {

auto elapsed_ms() -> long {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void pause_for(milliseconds time) {
  std::this_thread::sleep_for(time);
}

void event_record::add(const std::string& line) {
  std::lock_guard lock(mutex_);
  file_ << elapsed_ms() << " " << line << std::endl;
}

}  // namespace review
