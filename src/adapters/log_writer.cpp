#include "adapters/log_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>

namespace parsleyledge {

namespace {

// Lines of this time go out in one system call. An operator who follows the
// log does not notice it.
constexpr std::chrono::milliseconds batch_time{50};
constexpr std::chrono::milliseconds last_words{500};  // at the end
constexpr int poll_ms = 100;

}  // namespace

log_writer::log_writer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor), capacity_(capacity) {
  // The thread takes no signals: they are the program's to wait for.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

log_writer::~log_writer() {
  flush(last_words);
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

auto log_writer::write(std::string_view line) -> bool {
  bool first = false;
  {
    std::lock_guard lock(mutex_);
    if (waiting_.size() + line.size() + 1 > capacity_) {
      ++dropped_;
      return false;
    }
    first = waiting_.empty();
    if (dropped_ > dropped_told_) {
      waiting_ += R"({"event":"log_dropped","lines":)" +
                  std::to_string(dropped_ - dropped_told_) + "}\n";
      dropped_told_ = dropped_;
    }
    waiting_ += line;
    waiting_ += '\n';
  }
  if (first) changed_.notify_all();
  return true;
}

void log_writer::flush(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, limit,
                    [this] { return waiting_.empty() && !writing_; });
}

auto log_writer::dropped() const -> std::uint64_t {
  std::lock_guard lock(mutex_);
  return dropped_;
}

void log_writer::run() {
  std::string bytes;
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (waiting_.empty()) return;
    if (!stopping_) {
      changed_.wait_for(lock, batch_time, [this] { return stopping_; });
    }
    bytes.clear();
    bytes.swap(waiting_);
    writing_ = true;
    lock.unlock();
    bool written = write_out(bytes);
    lock.lock();
    writing_ = false;
    changed_.notify_all();
    if (!written) return;
  }
}

// Returns false if nobody will ever read, or not before the end.
auto log_writer::write_out(std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    pollfd wait{descriptor_, POLLOUT, 0};
    if (::poll(&wait, 1, poll_ms) == 0) {
      std::lock_guard lock(mutex_);
      if (stopping_) return false;
      continue;
    }
    // Poll promises room for so much without blocking on a pipe.
    auto chunk = bytes.substr(0, PIPE_BUF);
    auto n = ::write(descriptor_, chunk.data(), chunk.size());
    if (n < 0 && errno != EINTR && errno != EAGAIN) return false;
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace parsleyledge
