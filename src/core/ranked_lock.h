#pragma once

#include <mutex>

namespace parsleyledge {

/// The order in which a thread may lock shared tables: lower ranks first.
enum class lock_rank {
  inbox = 10,
  agreement = 20,
  state = 30,
  worker_table = 40,
  config_table = 50,
  endpoint_table = 60,
  request_table = 70,
  connection_pool = 80,
  outbox = 90
};

namespace detail {

/// Records that this thread locks a mutex of this rank. Aborts the process if
/// the thread already holds one of the same or a higher rank.
void push_rank(lock_rank rank);

/// Records that this thread unlocked a mutex of this rank.
void pop_rank(lock_rank rank);

}  // namespace detail

/// A mutex with a rank in the lock order, which is checked by each `lock`.
class ranked_mutex {
 public:
  explicit ranked_mutex(lock_rank rank) : rank_(rank) {}

  void lock() {
    detail::push_rank(rank_);
    mutex_.lock();
  }
  void unlock() {
    mutex_.unlock();
    detail::pop_rank(rank_);
  }

 private:
  lock_rank rank_;
  std::mutex mutex_;
};

using ranked_lock = std::lock_guard<ranked_mutex>;

}  // namespace parsleyledge
