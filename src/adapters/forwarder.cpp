#include "adapters/forwarder.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/config_holder.h"
#include "adapters/control_client.h"
#include "adapters/json.h"
#include "adapters/membership_node.h"
#include "adapters/request_gate.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds connect_timeout{500};
constexpr milliseconds claim_share{1000};   // longest wait for a claim
constexpr milliseconds settle_time{2000};   // to store the end of a key
constexpr milliseconds claim_margin{1000};  // over the deadline
constexpr milliseconds max_deadline{600'000};
constexpr std::size_t max_key = 200;
constexpr std::string_view prefix = "/s/";

auto refuse(int status, std::string_view title, std::string detail) -> problem {
  return {status, std::string(title), std::move(detail), run_outcome::not_run};
}

/// Headers that belong to one connection and are not passed on.
auto is_hop_header(std::string_view name) -> bool {
  constexpr std::array names = {
      std::string_view("connection"),        std::string_view("host"),
      std::string_view("keep-alive"),        std::string_view("te"),
      std::string_view("transfer-encoding"), std::string_view("upgrade"),
      std::string_view("content-length"),    std::string_view("trailer"),
      std::string_view("proxy-connection"),  std::string_view("expect")};
  return std::ranges::any_of(
      names, [&](std::string_view n) { return same_header(n, name); });
}

auto digest_of(const http_request& request) -> std::uint64_t {
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

auto replay(const key_completed& ran) -> http_response {
  if (!ran.answer.has_body) {
    return make_response(problem{409, "Already ran",
                                 "the request ran at " +
                                     format_time(ran.ran_at) +
                                     "; its answer is no longer held",
                                 run_outcome::conflict});
  }
  auto response = make_response(static_cast<int>(ran.answer.status),
                                ran.answer.content_type, ran.answer.body);
  response.headers.emplace_back("Idempotency-Replayed", "true");
  return response;
}

}  // namespace

struct forwarder::errand {
  http_request request;
  http_request outgoing;
  std::string service;
  std::string customer;
  double share = 1;
  bool repeatable = false;
  key_name key;
  std::string owner;
  time_point begun;
  time_point deadline;
};

struct forwarder::delivery {
  http_response response;
  bool answered = false;
  run_outcome outcome = run_outcome::not_run;  // where not answered
};

forwarder::forwarder(std::string_view entry, config_holder& config,
                     control_client& control, membership_node& members,
                     request_gate& gate, metrics& counters)
    : entry_(entry),
      config_(config),
      control_(control),
      members_(members),
      gate_(gate),
      metrics_(counters),
      next_request_(static_cast<std::uint64_t>(to_ms(wall_now())) << 20) {}

void forwarder::count(std::string_view outcome) {
  std::string name = "requests_total{outcome=\"";
  name.append(outcome).append("\"}");
  ++metrics_.counter(name);
}

namespace {

/// Reads the parts of a request that routing needs.
template <typename Errand>
auto parse_request(const site_config& site, Errand& e)
    -> std::optional<problem> {
  std::string_view rest = e.request.target;
  rest.remove_prefix(prefix.size());
  auto end = rest.find_first_of("/?");
  e.service = rest.substr(0, end);
  if (e.service.empty()) {
    return refuse(404, "Not found", "the path names no service");
  }
  e.customer = e.request.header("Customer");
  if (e.customer.empty()) {
    return refuse(400, "Bad request", "the header Customer is missing");
  }
  auto customer = site.customers.find(e.customer);
  if (customer == site.customers.end()) {
    return refuse(403, "Unknown customer",
                  "customer " + e.customer + " is not configured");
  }
  e.share = customer->second.share;
  service_config rules;
  auto service = site.services.find(e.service);
  if (service != site.services.end()) rules = service->second;
  e.repeatable = std::ranges::find(rules.repeatable, e.request.method) !=
                 rules.repeatable.end();
  auto limit = rules.deadline;
  auto header = e.request.header("Parsley-Deadline");
  if (!header.empty()) {
    std::int64_t ms = 0;
    auto last = header.data() + header.size();
    auto [at, ec] = std::from_chars(header.data(), last, ms);
    if (ec != std::errc() || at != last || ms <= 0 ||
        ms > max_deadline.count()) {
      return refuse(400, "Bad request",
                    "Parsley-Deadline must be 1 to 600000 milliseconds");
    }
    limit = milliseconds(ms);
  }
  e.deadline = e.begun + limit;
  auto key = e.request.header("Idempotency-Key");
  if (!e.repeatable && (key.empty() || key.size() > max_key)) {
    return refuse(400, "Bad request",
                  e.request.method + " on " + e.service +
                      " may not be repeated and needs an Idempotency-Key of "
                      "1 to 200 bytes");
  }
  if (!e.repeatable) e.key = {e.customer, e.service, std::string(key)};
  return {};
}

}  // namespace

auto forwarder::forward(http_request request)
    -> asio::awaitable<http_response> {
  errand e;
  e.begun = steady_now();
  e.request = std::move(request);
  auto started = std::chrono::steady_clock::now();
  auto site = config_.in_force(e.begun);
  if (site == nullptr) {
    count("not-run");
    co_return make_response(
        refuse(503, "Configuration not confirmed",
               "this entry has not heard from the control group in time"));
  }
  if (auto refused = parse_request(*site, e)) {
    count("not-run");
    co_return make_response(*refused);
  }
  auto id = std::to_string(++next_request_);
  e.owner = entry_ + "/" + id;
  e.outgoing.method = e.request.method;
  e.outgoing.target = e.request.target.substr(prefix.size() + e.service.size());
  if (!e.outgoing.target.starts_with('/')) e.outgoing.target.insert(0, "/");
  for (const auto& header : e.request.headers) {
    if (!is_hop_header(header.first)) e.outgoing.headers.push_back(header);
  }
  e.outgoing.headers.emplace_back("Parsley-Request-Id", e.owner);
  e.outgoing.body = e.request.body;
  if (!e.repeatable) {
    auto known = co_await claim(e);
    if (known) co_return std::move(*known);
  }
  auto done = co_await deliver(e);
  if (!e.repeatable) co_await settle(e, done);
  count(done.answered ? "answered" : to_string(done.outcome));
  metrics_.latency("request_seconds")
      .record(std::chrono::steady_clock::now() - started);
  co_return std::move(done.response);
}

// Claims the key before the first byte goes out. Returns what to answer if
// the request may not run now.
auto forwarder::claim(errand& e)
    -> asio::awaitable<std::optional<http_response>> {
  claim_key what;
  what.name = e.key;
  what.digest = digest_of(e.request);
  what.owner = e.owner;
  auto left = e.deadline - steady_now();
  what.deadline = wall_now() + left + claim_margin;
  auto until = steady_now() + std::min(left, claim_share);
  auto result = co_await control_.commit(command(what), until);
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
          [&](const key_completed& ran) {
            count("replayed");
            return std::optional(replay(ran));
          },
          [&](const problem& refused) {
            // Nothing was sent to an endpoint, whatever became of the claim.
            count("not-run");
            auto told = refused;
            told.outcome = run_outcome::not_run;
            return std::optional(make_response(told));
          },
          [&](const auto&) {
            return std::optional(make_response(
                refuse(500, "Bad answer", "the claim was not understood")));
          }},
      result);
}

auto forwarder::attempt(errand& e, const route& taken)
    -> asio::awaitable<exchange_result> {
  exchange_limits limits;
  limits.timeout = std::max(e.deadline - steady_now(), milliseconds(1));
  limits.connect = std::min<milliseconds>(limits.timeout, connect_timeout);
  limits.idempotent = e.repeatable;
  limits.idle_connections = members_.idle_connections(taken.endpoint);
  auto result = co_await client_.exchange(taken.address, e.outgoing, limits);
  co_return result;
}

auto forwarder::deliver(errand& e) -> asio::awaitable<delivery> {
  std::vector<std::string> avoid;
  delivery last;
  bool tried = false;
  while (true) {
    gate_request ask{e.service, e.customer, e.share, e.deadline};
    auto entered = co_await gate_.enter(std::move(ask), avoid);
    if (auto* refused = std::get_if<problem>(&entered)) {
      if (tried) co_return last;
      co_return delivery{make_response(*refused), false, refused->outcome};
    }
    auto taken = std::get<route>(std::move(entered));
    auto begun = steady_now();
    auto result = co_await attempt(e, taken);
    auto now = steady_now();
    bool may_repeat = false;
    std::visit(
        overloaded{
            [&](exchange_answered& ok) {
              gate_.leave(taken, e.service, attempt_ok{now - begun});
              std::erase_if(ok.response.headers, [](const auto& h) {
                return is_hop_header(h.first);
              });
              last = {std::move(ok.response), true, run_outcome::not_run};
            },
            [&](const exchange_not_sent& failed) {
              gate_.leave(taken, e.service, attempt_failed{});
              may_repeat = true;
              if (!tried || last.outcome == run_outcome::not_run) {
                last = {make_response(
                            refuse(503, "Endpoint not reached", failed.reason)),
                        false, run_outcome::not_run};
              }
            },
            [&](const exchange_broken& failed) {
              attempt_outcome health = attempt_failed{};
              if (failed.timed_out) health = attempt_timed_out{now - begun};
              gate_.leave(taken, e.service, health);
              may_repeat = e.repeatable && !failed.timed_out;
              problem told{
                  failed.timed_out ? 504 : 502,
                  failed.timed_out ? "Deadline passed" : "Endpoint failed",
                  failed.reason, run_outcome::unknown};
              last = {make_response(told), false, run_outcome::unknown};
            }},
        result);
    tried = true;
    if (last.answered || !may_repeat || now >= e.deadline) co_return last;
    if (!gate_.may_retry()) co_return last;
    ++metrics_.counter("retries_total");
    avoid.push_back(taken.endpoint);
  }
}

// Stores the end of a key before the caller hears of it.
auto forwarder::settle(errand& e, const delivery& done)
    -> asio::awaitable<void> {
  auto until = steady_now() + settle_time;
  if (done.answered) {
    finish_key what;
    what.name = e.key;
    what.owner = e.owner;
    what.answer = {static_cast<std::uint32_t>(done.response.status),
                   std::string(done.response.header("Content-Type")),
                   done.response.body, true};
    co_await control_.commit(command(std::move(what)), until);
  } else if (done.outcome == run_outcome::not_run) {
    drop_key what;
    what.name = e.key;
    what.owner = e.owner;
    co_await control_.commit(command(std::move(what)), until);
  }
}

}  // namespace parsleyledge
