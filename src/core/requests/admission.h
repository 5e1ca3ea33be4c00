#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace parsleyledge {

/// A request that waits for a slot.
using ticket = std::uint64_t;

/// The queue of one service in one entry. It refuses at once what its
/// deadline cannot meet and shares slots between customers by weight.
class admission {
 public:
  /// Puts a request into the queue, or refuses it with nothing. `capacity`
  /// is the number of slots, `service_time` the mean time a request takes.
  auto enqueue(std::string_view customer, double share, time_point now,
               time_point deadline, std::uint32_t capacity,
               milliseconds service_time) -> std::optional<ticket>;

  /// Takes the request whose turn it is out of the queue, if any waits.
  /// Those whose deadline has passed are skipped.
  auto next(time_point now) -> std::optional<ticket>;

  /// Takes a request out that gave up. Returns whether it was waiting.
  auto cancel(ticket which) -> bool;

  auto size() const -> std::size_t { return size_; }

 private:
  struct waiting {
    ticket id;
    time_point deadline;
  };
  struct customer_queue {
    std::deque<waiting> requests;
    double share = 1;
    double virtual_time = 0;  // slots taken, divided by the share
  };

  std::map<std::string, customer_queue, std::less<>> customers_;
  double virtual_now_ = 0;
  ticket last_ = 0;
  std::size_t size_ = 0;
};

}  // namespace parsleyledge
