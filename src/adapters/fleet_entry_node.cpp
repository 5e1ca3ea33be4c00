#include "adapters/fleet_entry_node.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "adapters/clock.h"
#include "adapters/fleet_client.h"
#include "adapters/log.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds ping_interval{1000};
// Requests are rejected until a ping shows that there is a leader again.
constexpr milliseconds outage_ping_interval{200};
constexpr milliseconds ping_timeout{900};
// Covers an election and two pings, so that an election alone does not make
// this process unready.
constexpr milliseconds ready_timeout{4000};
// Longer than an election takes after the ping that failed.
constexpr milliseconds max_outage{1000};
// Callers may return by then: the next ping has shown whether there is a
// leader.
constexpr milliseconds outage_retry_delay{1000};

/// The path of a request, which ends in the job's id; empty if it has none.
auto request_path(const fleet::request& request) -> std::string {
  return std::visit(
      [](const auto& one) -> std::string {
        if constexpr (requires { one.address; }) return one.address.path;
        return {};
      },
      request);
}

}  // namespace

fleet_entry_node::fleet_entry_node(asio::thread_pool& pool,
                                   fleet_entry_settings settings)
    : peers_({settings.group, settings.name},
             [this](std::string_view, wire::envelope message) {
               if (message.has_reply()) {
                 client_.receive(std::move(*message.mutable_reply()));
               }
             }),
      client_(peers_, settings.control),
      seeds_(std::move(settings.control)),
      timer_(asio::make_strand(pool)) {}

auto fleet_entry_node::start() -> std::string {
  auto error = peers_.start({});
  if (error.empty()) {
    asio::co_spawn(timer_.get_executor(), ping(), asio::detached);
  }
  return error;
}

void fleet_entry_node::stop() {
  stopped_ = true;
  asio::post(timer_.get_executor(), [this] { timer_.cancel(); });
  peers_.stop();
}

void fleet_entry_node::begin_drain(time_point last_reply_at) {
  draining_ = true;
  client_.set_latest_deadline(last_reply_at);
}

void fleet_entry_node::record_response() {
  last_response_ms_ = to_ms(steady_now());
  if (!leader_reachable_.exchange(true)) {
    log_event(log_level::info, "leader_reachable",
              {{"address", client_.leader()}});
  }
}

auto fleet_entry_node::is_ready() const -> bool {
  auto age = steady_now() - at_ms(last_response_ms_);
  return !draining_ && last_response_ms_ != 0 && age < ready_timeout;
}

// Lists the members before the seeds, because the seeds in the settings may
// name machines that no longer exist.
void fleet_entry_node::update_control_addresses(std::string_view lines) {
  std::vector<std::string> addresses;
  while (!lines.empty()) {
    auto end = lines.find('\n');
    addresses.emplace_back(lines.substr(0, end));
    lines.remove_prefix(end == lines.npos ? lines.size() : end + 1);
  }
  for (const auto& seed : seeds_) {
    if (std::ranges::find(addresses, seed) == addresses.end()) {
      addresses.push_back(seed);
    }
  }
  client_.set_addresses(std::move(addresses));
}

void fleet_entry_node::set_limits_handler(
    std::function<void(const fleet::request_limits&)> handler) {
  limits_handler_ = std::move(handler);
}

void fleet_entry_node::update_limits(const fleet::request_limits& limits) {
  if (limits == limits_ || !limits_handler_) return;
  limits_ = limits;
  log_event(log_level::info, "request_limits",
            {{"header_bytes", static_cast<std::int64_t>(limits.header_bytes)},
             {"body_bytes", static_cast<std::int64_t>(limits.body_bytes)},
             {"header_timeout_ms", limits.header_timeout.count()}});
  limits_handler_(limits);
}

void fleet_entry_node::set_control_addresses(
    std::vector<std::string> addresses) {
  client_.set_addresses(addresses);
  asio::post(timer_.get_executor(), [this, a = std::move(addresses)]() mutable {
    seeds_ = std::move(a);
  });
}

auto fleet_entry_node::ping() -> asio::awaitable<void> {
  while (!stopped_) {
    fleet::request request = fleet::ping_request{};
    auto reply = co_await ask_leader(client_, std::move(request),
                                     steady_now() + ping_timeout);
    if (reply.status == fleet::reply_status::done) {
      record_response();
      update_control_addresses(reply.text);
      if (reply.limits) update_limits(*reply.limits);
    } else if (leader_reachable_.exchange(false)) {
      leader_lost_ms_ = to_ms(steady_now());
      log_event(log_level::warning, "leader_lost", {{"detail", reply.text}});
    }
    boost::system::error_code ec;
    timer_.expires_after(leader_reachable_ ? ping_interval
                                           : outage_ping_interval);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

// Whether an election should have ended by now, so that a request would
// probably wait for its deadline. An entry that has just started still looks
// for the leader.
auto fleet_entry_node::is_in_outage() const -> bool {
  return !leader_reachable_ && leader_lost_ms_ != 0 &&
         steady_now() - at_ms(leader_lost_ms_) >= max_outage;
}

auto fleet_entry_node::serve(fleet::request request, milliseconds timeout)
    -> asio::awaitable<fleet::reply> {
  if (is_in_outage()) {
    ++metrics_.counter("requests_total{outcome=\"refused_in_outage\"}");
    log_event(log_level::info, "request_refused",
              {{"path", request_path(request)},
               {"reason", "no leader"},
               {"outage_ms", (steady_now() - at_ms(leader_lost_ms_)).count()}});
    co_return fleet::reply{fleet::reply_status::unavailable,
                           "the control group has no leader", 0,
                           outage_retry_delay};
  }
  auto start = std::chrono::steady_clock::now();
  auto path = request_path(request);
  auto reply =
      co_await ask_leader(client_, std::move(request), steady_now() + timeout);
  bool has_reply = reply.status != fleet::reply_status::unavailable &&
                   reply.status != fleet::reply_status::undetermined;
  if (has_reply) {
    record_response();
  } else {
    log_event(
        log_level::warning, "request_without_leader",
        {{"path", path},
         {"may_have_run", reply.status == fleet::reply_status::undetermined},
         {"detail", reply.text}});
  }
  ++metrics_.counter(has_reply ? "requests_total{outcome=\"answered\"}"
                               : "requests_total{outcome=\"no_leader\"}");
  metrics_.latency("request_seconds")
      .record(std::chrono::steady_clock::now() - start);
  co_return reply;
}

}  // namespace parsleyledge
