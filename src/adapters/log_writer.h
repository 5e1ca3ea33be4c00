#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace parsleyledge {

/// Writes lines to a file descriptor in batches from a background thread, so
/// that a slow reader never blocks the threads that log. Lines that do not fit
/// into the buffer are dropped and counted.
class log_writer {
 public:
  /// `capacity`: size of the buffer in bytes.
  log_writer(int descriptor, std::size_t capacity);
  log_writer(const log_writer&) = delete;
  auto operator=(const log_writer&) -> log_writer& = delete;

  /// Flushes the buffer, with a timeout in case the reader is stalled.
  ~log_writer();

  /// Queues a line. Returns false if it was dropped.
  auto write(std::string_view line) -> bool;

  /// Waits until all queued lines are written, or until `timeout` has passed.
  void flush(std::chrono::milliseconds timeout);

  /// Number of lines dropped so far.
  auto dropped() const -> std::uint64_t;

 private:
  void run();
  auto write_to_descriptor(std::string_view bytes) -> bool;

  const int descriptor_;
  const std::size_t capacity_;
  mutable std::mutex mutex_;  // leaf: no lock is taken under it
  std::condition_variable changed_;
  std::string buffer_;
  bool writing_ = false;
  bool stopping_ = false;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
  std::thread thread_;
};

}  // namespace parsleyledge
