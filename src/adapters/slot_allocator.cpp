#include "adapters/slot_allocator.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "adapters/clock.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds demand_window{2000};  // age at which a peak expires
constexpr double demand_headroom = 1.5;  // slots demanded, relative to the peak

auto not_run_problem(int status, std::string detail) -> problem {
  return {status, status == 429 ? "Too many requests" : "Service unavailable",
          std::move(detail), run_outcome::not_run};
}

}  // namespace

struct slot_allocator::waiter {
  explicit waiter(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  std::vector<std::string> avoid;
  std::optional<route> granted;  // guarded by the allocator's mutex
};

slot_allocator::slot_allocator(routing_policy policy, std::uint64_t seed)
    : router_(policy, seed) {}

auto slot_allocator::acquire(slot_request request,
                             std::vector<std::string> avoid)
    -> asio::awaitable<result_or_problem<route>> {
  auto executor = co_await asio::this_coro::executor;
  std::shared_ptr<waiter> pending;
  queued_request_id queued_id = 0;
  {
    ranked_lock lock(mutex_);
    auto now = steady_now();
    budget_.deposit();
    auto& queue = queues_[request.service];
    record_demand(request.service, now);
    if (queue.size() == 0 && now < lease_until_) {
      if (auto selected = router_.choose(request.service, avoid, now)) {
        co_return std::move(*selected);
      }
    }
    if (!router_.has_service(request.service)) {
      co_return not_run_problem(
          503, "no endpoint of " + request.service + " is known");
    }
    auto queued = queue.enqueue(
        request.customer, request.share, now, request.deadline,
        std::max<std::uint32_t>(router_.capacity(request.service, now), 1),
        router_.mean_latency(request.service));
    if (!queued) {
      co_return not_run_problem(429, "the queue is too long for the deadline");
    }
    queued_id = *queued;
    pending = std::make_shared<waiter>(executor);
    pending->avoid = std::move(avoid);
    pending->timer.expires_after(request.deadline - now);
    waiters_[request.service][queued_id] = pending;
  }
  boost::system::error_code ec;
  co_await pending->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  ranked_lock lock(mutex_);
  waiters_[request.service].erase(queued_id);
  if (pending->granted) co_return std::move(*pending->granted);
  queues_[request.service].cancel(queued_id);
  co_return problem{504, "Deadline passed", "no slot became free in time",
                    run_outcome::not_run};
}

void slot_allocator::release(const route& selected, std::string_view service,
                             const attempt_outcome& outcome) {
  ranked_lock lock(mutex_);
  auto now = steady_now();
  router_.record_outcome(selected, outcome, now);
  assign_free_slots(service, now);
}

// Assigns free slots to the next requests in the queue. The caller holds the
// lock.
void slot_allocator::assign_free_slots(std::string_view service,
                                       time_point now) {
  auto queue = queues_.find(service);
  if (queue == queues_.end() || now >= lease_until_) return;
  while (queue->second.size() > 0) {
    auto selected = router_.choose(service, {}, now);
    if (!selected) return;
    auto next = queue->second.dequeue(now);
    auto& waiting = waiters_[std::string(service)];
    auto it = next ? waiting.find(*next) : waiting.end();
    if (it == waiting.end()) {
      router_.release_slot(*selected);
      if (!next) return;
      continue;
    }
    auto pending = it->second;
    pending->granted = std::move(*selected);
    asio::post(pending->timer.get_executor(),
               [pending] { pending->timer.cancel(); });
  }
}

auto slot_allocator::withdraw_retry() -> bool {
  ranked_lock lock(mutex_);
  return budget_.withdraw();
}

void slot_allocator::record_probe(std::string_view endpoint,
                                  probe_result result, milliseconds latency) {
  ranked_lock lock(mutex_);
  router_.record_probe(endpoint, result, latency, steady_now());
}

void slot_allocator::record_demand(std::string_view service, time_point now) {
  auto queue = queues_.find(service);
  auto waiting = queue == queues_.end() ? 0 : queue->second.size();
  auto current =
      router_.in_flight(service) + static_cast<std::uint32_t>(waiting) + 1;
  auto& d = demands_[std::string(service)];
  if (current >= d.peak || now - d.peak_at > demand_window) {
    d = {current, now};
  }
}

auto slot_allocator::granted_limit(std::string_view endpoint,
                                   std::uint64_t incarnation,
                                   time_point now) const -> std::uint32_t {
  auto it = grants_.find(endpoint);
  if (it == grants_.end() || it->second.incarnation != incarnation ||
      now >= lease_until_) {
    return 0;
  }
  return it->second.slots;
}

auto slot_allocator::update(const endpoint_table& table)
    -> std::vector<slot_demand> {
  ranked_lock lock(mutex_);
  auto now = steady_now();
  router_.update(table.records(), [&](const endpoint_record& record) {
    return granted_limit(record.name, record.incarnation, now);
  });
  std::erase_if(grants_, [&](const auto& item) {
    return table.find(item.first) == nullptr;
  });
  std::map<std::string_view, std::uint32_t> ready_endpoints;
  for (const auto& [name, record] : table.records()) {
    if (record.state == endpoint_state::ready)
      ++ready_endpoints[record.service];
  }
  std::vector<slot_demand> demands;
  demands.reserve(table.records().size());
  for (const auto& [name, record] : table.records()) {
    slot_demand d{name, record.incarnation, record.slots, 0, 0, 0};
    auto row = router_.rows().find(name);
    if (row != router_.rows().end()) {
      d.busy = row->second.in_flight;
      d.held = std::max(row->second.limit, d.busy);
    }
    auto found = demands_.find(record.service);
    bool wanted = found != demands_.end() &&
                  now - found->second.peak_at <= demand_window &&
                  record.state == endpoint_state::ready;
    if (wanted) {
      auto per_endpoint = demand_headroom * found->second.peak /
                          ready_endpoints[record.service];
      d.wanted =
          std::min(record.slots, static_cast<std::uint32_t>(per_endpoint) + 1);
    }
    demands.push_back(std::move(d));
  }
  for (auto& [service, queue] : queues_) assign_free_slots(service, now);
  return demands;
}

void slot_allocator::apply_grants(std::span<const slot_grant> grants,
                                  time_point lease_until) {
  ranked_lock lock(mutex_);
  lease_until_ = lease_until;
  for (const auto& g : grants) {
    grants_[g.endpoint] = g;
    router_.set_limit(g.endpoint, g.incarnation, g.slots);
  }
  auto now = steady_now();
  for (auto& [service, queue] : queues_) assign_free_slots(service, now);
}

auto slot_allocator::routes_json() -> boost::json::array {
  boost::json::array rows;
  ranked_lock lock(mutex_);
  auto now = steady_now();
  for (const auto& [name, row] : router_.rows()) {
    rows.push_back(boost::json::object{{"endpoint", name},
                                       {"service", row.service},
                                       {"address", row.address},
                                       {"slots_granted", row.limit},
                                       {"in_flight", row.in_flight},
                                       {"latency_ms", row.latency_ms},
                                       {"failures", row.failures},
                                       {"ejected", row.ejected_until > now},
                                       {"leaving", row.draining},
                                       {"served", row.served}});
  }
  return rows;
}

}  // namespace parsleyledge
