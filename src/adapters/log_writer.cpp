#include "adapters/log_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>

namespace parsleyledge {

namespace {

// Lines are collected for this time before they are written together.
// The delay is too short to notice when following the log.
constexpr std::chrono::milliseconds batch_interval{50};
constexpr std::chrono::milliseconds destructor_flush_timeout{500};
constexpr int poll_timeout_ms = 100;

}  // namespace

log_writer::log_writer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor), capacity_(capacity) {
  // Blocks all signals in the thread: with the default action, a signal
  // delivered to it would end the process instead of reaching wait_for_signal.
  sigset_t all_signals;
  sigset_t previous_mask;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

log_writer::~log_writer() {
  flush(destructor_flush_timeout);
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

auto log_writer::write(std::string_view line) -> bool {
  bool was_empty = false;
  {
    std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() + 1 > capacity_) {
      ++dropped_;
      return false;
    }
    was_empty = buffer_.empty();
    if (dropped_ > dropped_reported_) {
      buffer_ += R"({"event":"log_dropped","lines":)" +
                 std::to_string(dropped_ - dropped_reported_) + "}\n";
      dropped_reported_ = dropped_;
    }
    buffer_ += line;
    buffer_ += '\n';
  }
  if (was_empty) changed_.notify_all();
  return true;
}

void log_writer::flush(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout,
                    [this] { return buffer_.empty() && !writing_; });
}

auto log_writer::dropped() const -> std::uint64_t {
  std::lock_guard lock(mutex_);
  return dropped_;
}

void log_writer::run() {
  std::string bytes;
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !buffer_.empty(); });
    if (buffer_.empty()) return;
    if (!stopping_) {
      changed_.wait_for(lock, batch_interval, [this] { return stopping_; });
    }
    bytes.clear();
    bytes.swap(buffer_);
    writing_ = true;
    lock.unlock();
    bool written = write_to_descriptor(bytes);
    lock.lock();
    writing_ = false;
    changed_.notify_all();
    if (!written) return;
  }
}

// Returns false if a write failed, or if the descriptor was not writable while
// the writer was stopping.
auto log_writer::write_to_descriptor(std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    pollfd request{descriptor_, POLLOUT, 0};
    if (::poll(&request, 1, poll_timeout_ms) == 0) {
      std::lock_guard lock(mutex_);
      if (stopping_) return false;
      continue;
    }
    // After poll reports POLLOUT, a pipe accepts PIPE_BUF bytes without
    // blocking.
    auto chunk = bytes.substr(0, PIPE_BUF);
    auto n = ::write(descriptor_, chunk.data(), chunk.size());
    if (n < 0 && errno != EINTR && errno != EAGAIN) return false;
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace parsleyledge
