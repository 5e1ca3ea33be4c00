#include "adapters/forwarder.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/config_holder.h"
#include "adapters/control_client.h"
#include "adapters/json.h"
#include "adapters/log.h"
#include "adapters/membership_node.h"
#include "adapters/slot_allocator.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds connect_timeout{500};
constexpr milliseconds claim_timeout{1000};   // longest wait for a claim
constexpr milliseconds store_timeout{2000};   // to store the outcome of a key
constexpr milliseconds release_timeout{500};  // of an attempt in the background
constexpr milliseconds min_release_delay{250};  // between two attempts
constexpr milliseconds max_release_delay{4000};
constexpr milliseconds release_limit{60'000};  // from the first attempt
constexpr std::size_t max_pending_releases = 10'000;
constexpr milliseconds claim_margin{1000};  // added to the deadline
constexpr milliseconds max_deadline{600'000};
constexpr std::size_t max_key_bytes = 200;
constexpr std::string_view service_prefix = "/s/";

auto not_run_problem(int status, std::string_view title, std::string detail)
    -> problem {
  return {status, std::string(title), std::move(detail), run_outcome::not_run};
}

/// Hop-by-hop headers, which a proxy does not forward, and those that the HTTP
/// client sets itself.
auto is_hop_by_hop_header(std::string_view name) -> bool {
  constexpr std::array names = {
      std::string_view("connection"),        std::string_view("host"),
      std::string_view("keep-alive"),        std::string_view("te"),
      std::string_view("transfer-encoding"), std::string_view("upgrade"),
      std::string_view("content-length"),    std::string_view("trailer"),
      std::string_view("proxy-connection"),  std::string_view("expect")};
  return std::ranges::any_of(
      names, [&](std::string_view n) { return same_header(n, name); });
}

auto compute_digest(const http_request& request) -> std::uint64_t {
  auto* state = XXH3_createState();
  XXH3_64bits_reset(state);
  for (std::string_view part :
       {std::string_view(request.method), std::string_view(request.target),
        std::string_view(request.body)}) {
    auto size = part.size();
    XXH3_64bits_update(state, &size, sizeof size);
    XXH3_64bits_update(state, part.data(), part.size());
  }
  auto digest = XXH3_64bits_digest(state);
  XXH3_freeState(state);
  return digest;
}

auto replay(const key_completed& completed) -> http_response {
  if (!completed.response.has_body) {
    return make_response(problem{409, "Already ran",
                                 "the request ran at " +
                                     format_time(completed.ran_at) +
                                     "; its response is no longer stored",
                                 run_outcome::conflict});
  }
  auto response =
      make_response(static_cast<int>(completed.response.status),
                    completed.response.content_type, completed.response.body);
  response.headers.emplace_back("Idempotency-Replayed", "true");
  return response;
}

}  // namespace

struct forwarder::forwarded_request {
  http_request request;
  http_request outgoing;
  std::string service;
  std::string customer;
  double share = 1;
  bool repeatable = false;
  key_name key;
  std::string owner;
  time_point started_at;
  time_point deadline;
};

struct forwarder::delivery_result {
  http_response response;
  bool has_response = false;
  run_outcome outcome = run_outcome::not_run;  // if there is no response
};

forwarder::forwarder(std::string_view entry, config_holder& config,
                     control_client& control, membership_node& members,
                     slot_allocator& slots, metrics& counters)
    : entry_(entry),
      config_(config),
      control_(control),
      members_(members),
      slots_(slots),
      metrics_(counters),
      next_request_(static_cast<std::uint64_t>(to_ms(wall_now())) << 20) {}

void forwarder::count(std::string_view outcome) {
  std::string name = "requests_total{outcome=\"";
  name.append(outcome).append("\"}");
  ++metrics_.counter(name);
}

namespace {

/// Parses the parts of a request that routing needs. Returns a problem if the
/// request is invalid.
template <typename Forwarded>
auto parse_request(const site_config& site, Forwarded& forwarded)
    -> std::optional<problem> {
  std::string_view rest = forwarded.request.target;
  rest.remove_prefix(service_prefix.size());
  auto end = rest.find_first_of("/?");
  forwarded.service = rest.substr(0, end);
  if (forwarded.service.empty()) {
    return not_run_problem(404, "Not found", "the path names no service");
  }
  forwarded.customer = forwarded.request.header("Customer");
  if (forwarded.customer.empty()) {
    return not_run_problem(400, "Bad request",
                           "the header Customer is missing");
  }
  auto customer = site.customers.find(forwarded.customer);
  if (customer == site.customers.end()) {
    return not_run_problem(
        403, "Unknown customer",
        "customer " + forwarded.customer + " is not configured");
  }
  forwarded.share = customer->second.share;
  service_config rules;
  auto service = site.services.find(forwarded.service);
  if (service != site.services.end()) rules = service->second;
  forwarded.repeatable =
      std::ranges::find(rules.repeatable, forwarded.request.method) !=
      rules.repeatable.end();
  auto timeout = rules.deadline;
  auto header = forwarded.request.header("Parsley-Deadline");
  if (!header.empty()) {
    std::int64_t ms = 0;
    auto last = header.data() + header.size();
    auto [at, ec] = std::from_chars(header.data(), last, ms);
    if (ec != std::errc() || at != last || ms <= 0 ||
        ms > max_deadline.count()) {
      return not_run_problem(
          400, "Bad request",
          "Parsley-Deadline must be 1 to 600000 milliseconds");
    }
    timeout = milliseconds(ms);
  }
  forwarded.deadline = forwarded.started_at + timeout;
  auto key = forwarded.request.header("Idempotency-Key");
  if (!forwarded.repeatable && (key.empty() || key.size() > max_key_bytes)) {
    return not_run_problem(
        400, "Bad request",
        forwarded.request.method + " on " + forwarded.service +
            " is not repeatable and needs an Idempotency-Key of "
            "1 to 200 bytes");
  }
  if (!forwarded.repeatable)
    forwarded.key = {forwarded.customer, forwarded.service, std::string(key)};
  return {};
}

}  // namespace

auto forwarder::forward(http_request request)
    -> asio::awaitable<http_response> {
  forwarded_request forwarded;
  forwarded.started_at = steady_now();
  forwarded.request = std::move(request);
  auto started = std::chrono::steady_clock::now();
  auto site = config_.in_force(forwarded.started_at);
  if (site == nullptr) {
    count("not-run");
    co_return make_response(not_run_problem(
        503, "Configuration not confirmed",
        "the control group has not confirmed the configuration in time"));
  }
  if (auto refused = parse_request(*site, forwarded)) {
    count("not-run");
    co_return make_response(*refused);
  }
  auto id = std::to_string(++next_request_);
  forwarded.owner = entry_ + "/" + id;
  forwarded.outgoing.method = forwarded.request.method;
  forwarded.outgoing.target = forwarded.request.target.substr(
      service_prefix.size() + forwarded.service.size());
  if (!forwarded.outgoing.target.starts_with('/'))
    forwarded.outgoing.target.insert(0, "/");
  for (const auto& header : forwarded.request.headers) {
    if (!is_hop_by_hop_header(header.first))
      forwarded.outgoing.headers.push_back(header);
  }
  forwarded.outgoing.headers.emplace_back("Parsley-Request-Id",
                                          forwarded.owner);
  forwarded.outgoing.body = forwarded.request.body;
  if (!forwarded.repeatable) {
    auto early_response = co_await claim_idempotency_key(forwarded);
    if (early_response) co_return std::move(*early_response);
  }
  auto delivery = co_await send_with_retries(forwarded);
  if (!forwarded.repeatable) co_await store_outcome(forwarded, delivery);
  count(delivery.has_response ? "answered" : to_string(delivery.outcome));
  metrics_.latency("request_seconds")
      .record(std::chrono::steady_clock::now() - started);
  co_return std::move(delivery.response);
}

// Claims the key before the first byte is sent to an endpoint. Returns the
// response to the caller if the request must not run now.
auto forwarder::claim_idempotency_key(forwarded_request& forwarded)
    -> asio::awaitable<std::optional<http_response>> {
  claim_key change;
  change.name = forwarded.key;
  change.digest = compute_digest(forwarded.request);
  change.owner = forwarded.owner;
  auto remaining = forwarded.deadline - steady_now();
  change.deadline = wall_now() + remaining + claim_margin;
  auto until = steady_now() + std::min(remaining, claim_timeout);
  auto result = co_await control_.commit(command(change), until);
  auto executor = co_await asio::this_coro::executor;
  co_return std::visit(
      overloaded{
          [](const key_claimed&) { return std::optional<http_response>(); },
          [&](const key_busy& busy) {
            count("conflict");
            return std::optional(make_response(problem{
                409, "Key in use",
                "a request with this key began at " + format_time(busy.since) +
                    (busy.overdue ? "; whether it ran is unknown"
                                  : " and has not ended"),
                busy.overdue ? run_outcome::unknown : run_outcome::conflict}));
          },
          [&](const key_completed& completed) {
            count("replayed");
            return std::optional(replay(completed));
          },
          [&](const problem& refused) {
            // Nothing was sent to an endpoint, whether the claim succeeded or
            // not.
            if (refused.outcome == run_outcome::unknown)
              release_later(executor, forwarded);
            count("not-run");
            auto rejection = refused;
            rejection.outcome = run_outcome::not_run;
            return std::optional(make_response(rejection));
          },
          [&](const auto&) {
            release_later(executor, forwarded);
            return std::optional(make_response(not_run_problem(
                500, "Bad answer",
                "the control group returned an unexpected result")));
          }},
      result);
}

auto forwarder::send_attempt(forwarded_request& forwarded,
                             const route& selected)
    -> asio::awaitable<exchange_result> {
  exchange_limits limits;
  limits.timeout = std::max(forwarded.deadline - steady_now(), milliseconds(1));
  limits.connect_timeout =
      std::min<milliseconds>(limits.timeout, connect_timeout);
  limits.idempotent = forwarded.repeatable;
  limits.idle_connections = members_.idle_connections(selected.endpoint);
  auto result =
      co_await client_.exchange(selected.address, forwarded.outgoing, limits);
  co_return result;
}

auto forwarder::send_with_retries(forwarded_request& forwarded)
    -> asio::awaitable<delivery_result> {
  std::vector<std::string> avoid;
  delivery_result last;
  bool attempted = false;
  while (true) {
    slot_request wanted{forwarded.service, forwarded.customer, forwarded.share,
                        forwarded.deadline};
    auto acquired = co_await slots_.acquire(std::move(wanted), avoid);
    if (auto* refused = std::get_if<problem>(&acquired)) {
      if (attempted) co_return last;
      co_return delivery_result{make_response(*refused), false,
                                refused->outcome};
    }
    auto selected = std::get<route>(std::move(acquired));
    auto started_at = steady_now();
    auto result = co_await send_attempt(forwarded, selected);
    auto now = steady_now();
    bool may_repeat = false;
    std::visit(
        overloaded{
            [&](exchange_completed& ok) {
              slots_.release(selected, forwarded.service,
                             attempt_ok{now - started_at});
              std::erase_if(ok.response.headers, [](const auto& h) {
                return is_hop_by_hop_header(h.first);
              });
              last = {std::move(ok.response), true, run_outcome::not_run};
            },
            [&](const exchange_not_sent& failed) {
              slots_.release(selected, forwarded.service, attempt_failed{});
              may_repeat = true;
              if (!attempted || last.outcome == run_outcome::not_run) {
                last = {make_response(not_run_problem(
                            503, "Endpoint not reached", failed.reason)),
                        false, run_outcome::not_run};
              }
            },
            [&](const exchange_incomplete& failed) {
              attempt_outcome health = attempt_failed{};
              if (failed.timed_out)
                health = attempt_timed_out{now - started_at};
              slots_.release(selected, forwarded.service, health);
              may_repeat = forwarded.repeatable && !failed.timed_out;
              problem rejection{
                  failed.timed_out ? 504 : 502,
                  failed.timed_out ? "Deadline passed" : "Endpoint failed",
                  failed.reason, run_outcome::unknown};
              last = {make_response(rejection), false, run_outcome::unknown};
            }},
        result);
    attempted = true;
    if (last.has_response || !may_repeat || now >= forwarded.deadline)
      co_return last;
    if (!slots_.withdraw_retry()) co_return last;
    ++metrics_.counter("retries_total");
    avoid.push_back(selected.endpoint);
  }
}

// Stores the response under the key, or releases the key if the request did not
// run, before the caller receives the response.
auto forwarder::store_outcome(forwarded_request& forwarded,
                              const delivery_result& delivery)
    -> asio::awaitable<void> {
  if (delivery.has_response) {
    complete_key change;
    change.name = forwarded.key;
    change.owner = forwarded.owner;
    change.response = {static_cast<std::uint32_t>(delivery.response.status),
                       std::string(delivery.response.header("Content-Type")),
                       delivery.response.body, true};
    auto until = steady_now() + store_timeout;
    co_await control_.commit(command(std::move(change)), until);
  } else if (delivery.outcome == run_outcome::not_run) {
    bool released =
        co_await release(forwarded.key, forwarded.owner, store_timeout);
    if (!released) {
      release_later(co_await asio::this_coro::executor, forwarded);
    }
  }
}

auto forwarder::release(key_name key, std::string owner, milliseconds timeout)
    -> asio::awaitable<bool> {
  auto until = steady_now() + timeout;
  release_key change{std::move(key), std::move(owner)};
  auto result = co_await control_.commit(command(std::move(change)), until);
  const auto* refused = std::get_if<problem>(&result);
  // A conflict says that the key belongs to another request.
  co_return refused == nullptr || refused->outcome == run_outcome::conflict;
}

void forwarder::release_later(const asio::any_io_executor& executor,
                              const forwarded_request& forwarded) {
  if (stopped_ || pending_releases_ >= max_pending_releases) {
    report_abandoned_release(forwarded.key, forwarded.owner);
    return;
  }
  ++pending_releases_;
  asio::co_spawn(executor, release_with_retries(forwarded.key, forwarded.owner),
                 asio::detached);
}

// The claim may be committed after the caller was told that nothing ran, and a
// key that stays claimed would refuse the caller's next attempts.
auto forwarder::release_with_retries(key_name key, std::string owner)
    -> asio::awaitable<void> {
  auto until = steady_now() + release_limit;
  auto delay = min_release_delay;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  bool released = false;
  while (!stopped_) {
    released = co_await release(key, owner, release_timeout);
    if (released || steady_now() + delay >= until) break;
    timer.expires_after(delay);
    delay = std::min(delay * 2, max_release_delay);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  --pending_releases_;
  if (released) {
    ++metrics_.counter("keys_released_later_total");
  } else if (!stopped_) {
    report_abandoned_release(key, owner);
  }
}

void forwarder::report_abandoned_release(const key_name& key,
                                         std::string_view owner) {
  ++metrics_.counter("key_releases_abandoned_total");
  log_event(
      log_level::warning, "key_release_abandoned",
      {{"customer", key.customer}, {"service", key.service}, {"owner", owner}});
}

void forwarder::stop() {
  stopped_ = true;
  auto pending = pending_releases_.load();
  if (pending == 0) return;
  log_event(log_level::warning, "key_releases_abandoned",
            {{"count", static_cast<std::int64_t>(pending)}});
}

}  // namespace parsleyledge
