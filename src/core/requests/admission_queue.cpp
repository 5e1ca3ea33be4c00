#include "core/requests/admission_queue.h"

#include <algorithm>

namespace parsleyledge {

namespace {

constexpr std::size_t max_queued = 10'000;
constexpr std::size_t max_customers = 4096;

}  // namespace

auto admission_queue::enqueue(std::string_view customer, double share,
                              time_point now, time_point deadline,
                              std::uint32_t capacity, milliseconds service_time)
    -> std::optional<queued_request_id> {
  if (capacity == 0 || size_ >= max_queued) return {};
  auto it = customers_.find(customer);
  if (it == customers_.end()) {
    if (customers_.size() >= max_customers) {
      std::erase_if(customers_, [](const auto& item) {
        return item.second.requests.empty();
      });
    }
    it = customers_.emplace(std::string(customer), customer_queue{}).first;
  }
  auto& queue = it->second;
  queue.share = share;
  // The expected time to serve the customer's queue and this request with the
  // customer's share of the slots.
  double active_shares = 0;
  for (const auto& [name, other] : customers_) {
    if (!other.requests.empty() || &other == &queue)
      active_shares += other.share;
  }
  auto slots = std::max(capacity * share / active_shares, 0.1);
  auto service_rounds =
      static_cast<double>(queue.requests.size() + 1) / slots + 1;
  auto expected = milliseconds(static_cast<milliseconds::rep>(
      service_rounds * static_cast<double>(service_time.count())));
  if (now + expected > deadline) return {};
  if (queue.requests.empty()) {
    // A customer gets no credit for the time that it was idle.
    queue.virtual_time = std::max(queue.virtual_time, virtual_now_);
  }
  queue.requests.push_back({++last_id_, deadline});
  ++size_;
  return last_id_;
}

auto admission_queue::dequeue(time_point now)
    -> std::optional<queued_request_id> {
  while (size_ > 0) {
    customer_queue* first = nullptr;
    for (auto& [name, queue] : customers_) {
      if (queue.requests.empty()) continue;
      if (first == nullptr || queue.virtual_time < first->virtual_time) {
        first = &queue;
      }
    }
    if (first == nullptr) return {};
    auto head = first->requests.front();
    first->requests.pop_front();
    --size_;
    if (head.deadline <= now) continue;
    virtual_now_ = first->virtual_time;
    first->virtual_time += 1 / first->share;
    return head.id;
  }
  return {};
}

auto admission_queue::cancel(queued_request_id id) -> bool {
  for (auto& [name, queue] : customers_) {
    auto erased = std::erase_if(
        queue.requests, [&](const queued_request& r) { return r.id == id; });
    if (erased == 0) continue;
    --size_;
    return true;
  }
  return false;
}

}  // namespace parsleyledge
