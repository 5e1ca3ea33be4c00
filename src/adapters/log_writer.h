#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace parsleyledge {

/// Writes lines to a file descriptor from a thread of its own, many at a time,
/// so that a reader that does not read costs lines and no answers. What does
/// not fit into the buffer is dropped and counted.
class log_writer {
 public:
  /// `capacity`: bytes that may wait.
  log_writer(int descriptor, std::size_t capacity);
  log_writer(const log_writer&) = delete;
  auto operator=(const log_writer&) -> log_writer& = delete;

  /// Writes what waits, unless the reader does not take it in time.
  ~log_writer();

  /// Queues a line. Returns false if it was dropped.
  auto write(std::string_view line) -> bool;

  /// Waits until all that was queued is written, for so long at the most.
  void flush(std::chrono::milliseconds limit);

  /// Lines dropped so far.
  auto dropped() const -> std::uint64_t;

 private:
  void run();
  auto write_out(std::string_view bytes) -> bool;

  const int descriptor_;
  const std::size_t capacity_;
  mutable std::mutex mutex_;  // a leaf: nothing is locked under it
  std::condition_variable changed_;
  std::string waiting_;
  bool writing_ = false;
  bool stopping_ = false;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
  std::thread thread_;
};

}  // namespace parsleyledge
