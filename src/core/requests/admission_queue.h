#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace parsleyledge {

/// Identifies a request that waits for a slot.
using queued_request_id = std::uint64_t;

/// The queue of the requests of one service in one entry. It rejects at once
/// a request that could not complete before its deadline, and shares the slots
/// between customers by weighted fair queueing.
class admission_queue {
 public:
  /// Appends a request to the queue of its customer. Returns nullopt if
  /// `capacity` is 0, the queue is full, or the request is expected to complete
  /// after its deadline.
  /// `share` is the customer's weight, `capacity` the number of slots and
  /// `service_time` the mean time that a request takes.
  auto enqueue(std::string_view customer, double share, time_point now,
               time_point deadline, std::uint32_t capacity,
               milliseconds service_time) -> std::optional<queued_request_id>;

  /// Removes and returns the next request, or nullopt if the queue is empty.
  /// Requests whose deadline has passed are removed and skipped.
  auto dequeue(time_point now) -> std::optional<queued_request_id>;

  /// Removes a request from the queue. Returns whether it was queued.
  auto cancel(queued_request_id id) -> bool;

  /// The number of queued requests of all customers.
  auto size() const -> std::size_t { return size_; }

 private:
  struct queued_request {
    queued_request_id id;
    time_point deadline;
  };
  struct customer_queue {
    std::deque<queued_request> requests;
    double share = 1;
    double virtual_time = 0;  // requests dequeued, divided by the share
  };

  std::map<std::string, customer_queue, std::less<>> customers_;
  double virtual_now_ = 0;
  queued_request_id last_id_ = 0;
  std::size_t size_ = 0;
};

}  // namespace parsleyledge
