#include "adapters/request_gate.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "adapters/clock.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds demand_memory{2000};  // a peak counts this long
constexpr double headroom = 1.5;             // slots wanted over the peak

auto refuse(int status, std::string detail) -> problem {
  return {status, status == 429 ? "Too many requests" : "Service unavailable",
          std::move(detail), run_outcome::not_run};
}

}  // namespace

struct request_gate::waiter {
  explicit waiter(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  std::vector<std::string> avoid;
  std::optional<route> granted;  // under the gate's lock
};

request_gate::request_gate(routing_policy policy, std::uint64_t seed)
    : router_(policy, seed) {}

auto request_gate::enter(gate_request request, std::vector<std::string> avoid)
    -> asio::awaitable<result_or_problem<route>> {
  auto executor = co_await asio::this_coro::executor;
  std::shared_ptr<waiter> w;
  ticket number = 0;
  {
    ranked_lock lock(mutex_);
    auto now = steady_now();
    budget_.deposit();
    auto& queue = queues_[request.service];
    note_demand(request.service, now);
    if (queue.size() == 0 && now < lease_until_) {
      if (auto taken = router_.choose(request.service, avoid, now)) {
        co_return std::move(*taken);
      }
    }
    if (!router_.has_service(request.service)) {
      co_return refuse(503, "no endpoint of " + request.service + " is known");
    }
    auto place = queue.enqueue(
        request.customer, request.share, now, request.deadline,
        std::max<std::uint32_t>(router_.capacity(request.service, now), 1),
        router_.mean_latency(request.service));
    if (!place) {
      co_return refuse(429, "the queue is too long for the deadline");
    }
    number = *place;
    w = std::make_shared<waiter>(executor);
    w->avoid = std::move(avoid);
    w->timer.expires_after(request.deadline - now);
    waiters_[request.service][number] = w;
  }
  boost::system::error_code ec;
  co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  ranked_lock lock(mutex_);
  waiters_[request.service].erase(number);
  if (w->granted) co_return std::move(*w->granted);
  queues_[request.service].cancel(number);
  co_return problem{504, "Deadline passed", "no slot became free in time",
                    run_outcome::not_run};
}

void request_gate::leave(const route& taken, std::string_view service,
                         const attempt_outcome& outcome) {
  ranked_lock lock(mutex_);
  auto now = steady_now();
  router_.finish(taken, outcome, now);
  wake(service, now);
}

// Hands free slots to those whose turn it is. Holds the lock.
void request_gate::wake(std::string_view service, time_point now) {
  auto queue = queues_.find(service);
  if (queue == queues_.end() || now >= lease_until_) return;
  while (queue->second.size() > 0) {
    auto taken = router_.choose(service, {}, now);
    if (!taken) return;
    auto next = queue->second.next(now);
    auto& waiting = waiters_[std::string(service)];
    auto it = next ? waiting.find(*next) : waiting.end();
    if (it == waiting.end()) {
      router_.release_slot(*taken);
      if (!next) return;
      continue;
    }
    auto w = it->second;
    w->granted = std::move(*taken);
    asio::post(w->timer.get_executor(), [w] { w->timer.cancel(); });
  }
}

auto request_gate::may_retry() -> bool {
  ranked_lock lock(mutex_);
  return budget_.withdraw();
}

void request_gate::record_probe(std::string_view endpoint, probe_result result,
                                milliseconds latency) {
  ranked_lock lock(mutex_);
  router_.record_probe(endpoint, result, latency, steady_now());
}

void request_gate::note_demand(std::string_view service, time_point now) {
  auto queue = queues_.find(service);
  auto waiting = queue == queues_.end() ? 0 : queue->second.size();
  auto present =
      router_.in_flight(service) + static_cast<std::uint32_t>(waiting) + 1;
  auto& d = demands_[std::string(service)];
  if (present >= d.peak || now - d.peak_at > demand_memory) {
    d = {present, now};
  }
}

auto request_gate::limit_of(std::string_view endpoint,
                            std::uint64_t incarnation, time_point now) const
    -> std::uint32_t {
  auto it = grants_.find(endpoint);
  if (it == grants_.end() || it->second.incarnation != incarnation ||
      now >= lease_until_) {
    return 0;
  }
  return it->second.slots;
}

auto request_gate::update(const endpoint_table& known)
    -> std::vector<slot_demand> {
  ranked_lock lock(mutex_);
  auto now = steady_now();
  router_.update(known.records(), [&](const endpoint_record& record) {
    return limit_of(record.name, record.incarnation, now);
  });
  std::erase_if(grants_, [&](const auto& item) {
    return known.find(item.first) == nullptr;
  });
  std::map<std::string_view, std::uint32_t> endpoints;
  for (const auto& [name, record] : known.records()) {
    if (record.state == endpoint_state::ready) ++endpoints[record.service];
  }
  std::vector<slot_demand> demands;
  demands.reserve(known.records().size());
  for (const auto& [name, record] : known.records()) {
    slot_demand d{name, record.incarnation, record.slots, 0, 0, 0};
    auto row = router_.rows().find(name);
    if (row != router_.rows().end()) {
      d.busy = row->second.in_flight;
      d.held = std::max(row->second.limit, d.busy);
    }
    auto wish = demands_.find(record.service);
    bool wanted = wish != demands_.end() &&
                  now - wish->second.peak_at <= demand_memory &&
                  record.state == endpoint_state::ready;
    if (wanted) {
      auto each = headroom * wish->second.peak / endpoints[record.service];
      d.wanted = std::min(record.slots, static_cast<std::uint32_t>(each) + 1);
    }
    demands.push_back(std::move(d));
  }
  for (auto& [service, queue] : queues_) wake(service, now);
  return demands;
}

void request_gate::grant(std::span<const slot_grant> grants,
                         time_point lease_until) {
  ranked_lock lock(mutex_);
  lease_until_ = lease_until;
  for (const auto& g : grants) {
    grants_[g.endpoint] = g;
    router_.set_limit(g.endpoint, g.incarnation, g.slots);
  }
  auto now = steady_now();
  for (auto& [service, queue] : queues_) wake(service, now);
}

auto request_gate::rows_json() -> boost::json::array {
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
