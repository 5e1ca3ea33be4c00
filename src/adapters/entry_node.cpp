#include "adapters/entry_node.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/json.h"
#include "adapters/log.h"
#include "adapters/toml.h"
#include "core/overloaded.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr milliseconds poll_interval{250};
constexpr milliseconds poll_timeout{1000};
constexpr milliseconds full_report_interval{1000};
constexpr milliseconds change_timeout{5000};
constexpr std::chrono::seconds change_retry_after{1};
constexpr std::size_t max_file_bytes = 256U << 10;
constexpr std::size_t max_name_bytes = 100;

auto problem_response(int status, std::string_view title, std::string detail)
    -> http_response {
  return make_response(problem{status, std::string(title), std::move(detail),
                               run_outcome::not_run});
}

auto json_response(int status, const json::object& body) -> http_response {
  return make_response(status, "application/json", json::serialize(body));
}

/// The value of a query parameter; empty if absent. It isn't percent-decoded,
/// since customers' names and states need no encoding.
auto query_value(std::string_view query, std::string_view key)
    -> std::string_view {
  while (!query.empty()) {
    auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(part.size() + 1, query.size()));
    if (part.size() > key.size() && part.starts_with(key) &&
        part[key.size()] == '=') {
      return part.substr(key.size() + 1);
    }
  }
  return {};
}

auto is_file_name(std::string_view name) -> bool {
  return !name.empty() && name.size() <= max_name_bytes &&
         name.ends_with(".toml") &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

template <typename Number>
auto parse_number(std::string_view text, Number& into) -> bool {
  auto last = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), last, into);
  return ec == std::errc() && at == last && !text.empty();
}

auto compute_digest(std::string_view name, std::string_view body)
    -> std::uint64_t {
  return XXH3_64bits_withSeed(body.data(), body.size(),
                              XXH3_64bits(name.data(), name.size()));
}

/// A request target, split into its path and its query string.
struct path_view {
  std::string_view path;
  std::string_view query;

  /// The part after a prefix; nothing if the path does not start with the
  /// prefix or nothing follows it.
  auto after(std::string_view prefix) const -> std::optional<std::string_view> {
    if (!path.starts_with(prefix) || path.size() == prefix.size()) return {};
    return path.substr(prefix.size());
  }
};

auto split_target(std::string_view target) -> path_view {
  auto query_mark = target.find('?');
  if (query_mark == std::string_view::npos) return {target, {}};
  return {target.substr(0, query_mark), target.substr(query_mark + 1)};
}

/// The response to a refused change, with a Retry-After header if the same
/// change may be accepted later.
auto make_refusal(const problem& refused) -> http_response {
  auto response = make_response(refused);
  bool may_be_accepted_later =
      refused.status == 409 && refused.outcome == run_outcome::not_run;
  if (may_be_accepted_later) {
    response.headers.emplace_back("Retry-After",
                                  std::to_string(change_retry_after.count()));
  }
  return response;
}

}  // namespace

entry_node::entry_node(asio::thread_pool& pool, entry_settings settings)
    : pool_(pool),
      settings_(std::move(settings)),
      peers_({settings_.group, settings_.name},
             [this](std::string_view, wire::envelope message) {
               receive(std::move(message));
             }),
      control_(peers_, settings_.control),
      slots_(settings_.routing, static_cast<std::uint64_t>(to_ms(wall_now()))),
      members_(pool, peers_,
               {settings_.name, settings_.listen_peer,
                static_cast<std::uint64_t>(to_ms(wall_now()))},
               settings_.entries,
               [this](std::string_view endpoint, probe_result result,
                      milliseconds latency) {
                 slots_.record_probe(endpoint, result, latency);
               }),
      forwarder_(settings_.name, config_, control_, members_, slots_,
                 metrics_) {}

auto entry_node::start() -> std::string {
  auto error = peers_.start(settings_.listen_peer);
  if (!error.empty()) return error;
  members_.start();
  asio::co_spawn(asio::make_strand(pool_), poll_loop(), asio::detached);
  return {};
}

void entry_node::begin_drain() {
  draining_ = true;
  members_.set_draining();
}

void entry_node::stop() {
  stopped_ = true;
  forwarder_.stop();
  members_.stop();
  peers_.stop();
}

void entry_node::receive(wire::envelope message) {
  if (message.has_reply()) {
    control_.receive(std::move(*message.mutable_reply()));
  } else if (message.has_entries()) {
    members_.receive(message.entries());
  }
}

auto entry_node::poll_loop() -> asio::awaitable<void> {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  while (!stopped_) {
    co_await poll_once();
    timer.expires_after(poll_interval);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

// Selects the demands that changed or need more slots, and all of them every
// `full_report_interval`.
auto entry_node::demands_to_send(std::vector<slot_demand> demands,
                                 time_point now) -> std::vector<slot_demand> {
  bool full = now - last_full_report_ >= full_report_interval;
  if (full) last_full_report_ = now;
  std::vector<slot_demand> changed;
  for (const auto& d : demands) {
    auto previous =
        std::ranges::find(last_demands_, d.endpoint, &slot_demand::endpoint);
    bool unchanged = previous != last_demands_.end() &&
                     previous->held == d.held && previous->wanted == d.wanted &&
                     previous->incarnation == d.incarnation;
    bool needs_slots = d.wanted > d.held;
    if (full || !unchanged || needs_slots) changed.push_back(d);
  }
  last_demands_ = std::move(demands);
  return changed;
}

auto entry_node::poll_once() -> asio::awaitable<void> {
  auto requested_at = steady_now();
  auto demands = members_.read_table(
      [&](const endpoint_table& table) { return slots_.update(table); });
  wire::call request;
  auto& poll = *request.mutable_poll();
  poll.set_name(settings_.name);
  poll.set_data_centre(settings_.data_centre);
  poll.set_known(config_.version().value);
  poll.set_in_force(config_.version().value);
  for (const auto& d : demands_to_send(std::move(demands), requested_at)) {
    auto& out = *poll.add_demands();
    out.set_endpoint(d.endpoint);
    out.set_incarnation(d.incarnation);
    out.set_slots(d.slots);
    out.set_held(d.held);
    out.set_busy(d.busy);
    out.set_wanted(d.wanted);
  }
  auto result = co_await control_.call_once(std::move(request), poll_timeout);
  auto* reply = std::get_if<wire::call_reply>(&result);
  if (reply == nullptr || !reply->has_config()) co_return;
  const auto& config = reply->config();
  config_version version{config.version()};
  bool accepted = false;
  if (config.changed() || !config_.confirm(version, requested_at)) {
    std::map<std::string, std::string> files;
    for (const auto& f : config.files()) files[f.name()] = f.body();
    auto parsed = try_parse_folder(files);
    if (auto* site = std::get_if<site_config>(&parsed)) {
      accepted = config_.replace(version, std::move(*site), requested_at);
      log_event(log_level::info, "configuration_in_force",
                {{"version", static_cast<std::int64_t>(version.value)}});
    }
  } else {
    accepted = true;
  }
  if (!accepted) co_return;
  std::vector<slot_grant> grants;
  for (const auto& g : config.grants()) {
    grants.push_back({g.endpoint(), g.incarnation(), g.slots()});
  }
  slots_.apply_grants(grants, requested_at + config_holder::lease);
}

auto entry_node::health() -> http_response {
  if (draining_) return make_response(503, "text/plain", "draining\n");
  if (config_.in_force(steady_now()) == nullptr) {
    return make_response(503, "text/plain", "configuration not confirmed\n");
  }
  return make_response(200, "text/plain", "ok\n");
}

auto entry_node::serve(http_request request) -> asio::awaitable<http_response> {
  std::string_view target = request.target;
  if (target.starts_with("/s/")) {
    auto response = co_await forwarder_.forward(std::move(request));
    co_return response;
  }
  if (target.starts_with("/v1/")) {
    auto response = co_await serve_api(request);
    co_return response;
  }
  bool known =
      target == "/healthz" || target == "/state" || target == "/metrics";
  if (!known)
    co_return problem_response(404, "Not found", "there is no such path");
  if (request.method != "GET") {
    co_return problem_response(405, "Method not allowed",
                               "only GET is served here");
  }
  if (target == "/healthz") co_return health();
  if (target == "/state") {
    co_return make_response(200, "application/json", state_text());
  }
  co_return make_response(200, "text/plain; version=0.0.4", metrics_.format());
}

auto entry_node::serve_api(const http_request& request)
    -> asio::awaitable<http_response> {
  auto target = split_target(request.target);
  std::string_view method = request.method;
  auto wrong_method = [&] {
    return problem_response(
        405, "Method not allowed",
        std::string(method) + " is not served at " + std::string(target.path));
  };
  if (target.path == "/v1/jobs") {
    if (method == "POST") co_return co_await submit(request);
    if (method == "GET") co_return co_await document("jobs", "", target.query);
    co_return wrong_method();
  }
  if (target.path == "/v1/jobs/cancel") {
    if (method != "POST") co_return wrong_method();
    auto parsed = parse_cancel(request.body);
    if (auto* refused = std::get_if<problem>(&parsed)) {
      co_return make_response(*refused);
    }
    co_return co_await cancel(std::get<cancel_jobs>(std::move(parsed)));
  }
  if (auto id = target.after("/v1/jobs/")) {
    job_id job;
    if (!parse_number(*id, job.value)) {
      co_return problem_response(404, "Not found",
                                 "there is no job " + std::string(*id));
    }
    if (method == "GET") co_return co_await document("job", *id, target.query);
    if (method != "DELETE") co_return wrong_method();
    cancel_jobs cancellation;
    cancellation.ids.push_back(job);
    co_return co_await cancel(std::move(cancellation));
  }
  if (auto name = target.after("/v1/config/files/")) {
    if (method != "PUT" && method != "DELETE") co_return wrong_method();
    co_return co_await change_file(request, std::string(*name));
  }
  if (auto number = target.after("/v1/replicas/")) {
    if (method != "PUT" && method != "DELETE") co_return wrong_method();
    co_return co_await change_member(request, std::string(*number));
  }
  if (auto name = target.after("/v1/drains/")) {
    if (method != "PUT" && method != "DELETE") co_return wrong_method();
    co_return co_await drain_worker(request, std::string(*name));
  }
  if (target.path == "/v1/endpoints" && method == "POST") {
    co_return announce_endpoint(request);
  }
  if (target.path == "/v1/workers" && method == "POST") {
    co_return co_await announce_worker(request);
  }
  for (std::string_view resource :
       {"config", "config/in-force", "workers", "customers", "endpoints"}) {
    if (target.path.substr(std::string_view("/v1/").size()) != resource)
      continue;
    if (method != "GET") co_return wrong_method();
    if (resource == "endpoints") {
      co_return json_response(200, members_.state_json());
    }
    auto document_name = resource == "config/in-force" ? "in-force" : resource;
    co_return co_await document(document_name, "", target.query);
  }
  co_return problem_response(404, "Not found",
                             "there is no path " + std::string(target.path));
}

auto entry_node::submit(const http_request& request)
    -> asio::awaitable<http_response> {
  auto parsed = parse_job(request.body);
  if (auto* refused = std::get_if<problem>(&parsed)) {
    co_return make_response(*refused);
  }
  submit_job change{std::get<job_spec>(std::move(parsed)), {}};
  auto until = steady_now() + change_timeout;
  auto result = co_await control_.commit(command(std::move(change)), until);
  if (auto* job = std::get_if<job_accepted>(&result)) {
    co_return json_response(
        202, {{"job", job->job.value}, {"existed", job->existed}});
  }
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_refusal(*refused);
  }
  co_return problem_response(500, "Bad answer",
                             "the control group returned an unexpected result");
}

auto entry_node::cancel(cancel_jobs cancellation)
    -> asio::awaitable<http_response> {
  auto until = steady_now() + change_timeout;
  auto result =
      co_await control_.commit(command(std::move(cancellation)), until);
  if (auto* done = std::get_if<jobs_cancelled>(&result)) {
    co_return json_response(200, {{"cancelled", done->count}});
  }
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_response(*refused);
  }
  co_return problem_response(500, "Bad answer",
                             "the control group returned an unexpected result");
}

auto entry_node::change_file(const http_request& request, std::string name)
    -> asio::awaitable<http_response> {
  if (!is_file_name(name)) {
    co_return problem_response(
        400, "Bad request",
        "a file name has letters, digits, -, _ and . and ends "
        "in .toml");
  }
  if (request.body.size() > max_file_bytes) {
    co_return problem_response(413, "Content too large",
                               "a file has at most 256 KiB");
  }
  auto match = request.header("If-Match");
  if (match.size() > 1 && match.front() == '"') {
    match = match.substr(1, match.size() - 2);
  }
  config_version base;
  if (!parse_number(match, base.value)) {
    co_return problem_response(
        428, "Precondition required",
        "If-Match must be the version that the change is based on");
  }
  std::string change_id(request.header("Change-Id"));
  if (change_id.empty() || change_id.size() > max_name_bytes) {
    co_return problem_response(400, "Bad request",
                               "the header Change-Id is missing or too long");
  }
  command change;
  if (request.method == "PUT") {
    auto digest = compute_digest(name, request.body);
    change = put_file{name, request.body, base, change_id, digest, {}};
  } else {
    auto digest = compute_digest(name,
                                 "\x01"
                                 "deleted");
    change = delete_file{name, base, change_id, digest, {}};
  }
  auto until = steady_now() + change_timeout;
  auto result = co_await control_.commit(std::move(change), until);
  if (auto* accepted = std::get_if<config_accepted>(&result)) {
    co_return json_response(200, {{"version", accepted->version.value}});
  }
  if (auto* conflict = std::get_if<config_conflict>(&result)) {
    auto response = make_response(problem{
        412, "Another change came first",
        "the current version is " + std::to_string(conflict->current.value),
        run_outcome::conflict});
    response.headers.emplace_back("ETag",
                                  std::to_string(conflict->current.value));
    co_return response;
  }
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_refusal(*refused);
  }
  co_return problem_response(500, "Bad answer",
                             "the control group returned an unexpected result");
}

auto entry_node::announce_endpoint(const http_request& request)
    -> http_response {
  auto parsed = parse_endpoint(request.body);
  if (auto* refused = std::get_if<problem>(&parsed)) {
    return make_response(*refused);
  }
  auto done = members_.announce(std::get<endpoint_record>(std::move(parsed)));
  if (auto* refused = std::get_if<problem>(&done)) {
    return make_response(*refused);
  }
  return json_response(200, {{"sequence", std::get<std::uint64_t>(done)}});
}

auto entry_node::announce_worker(const http_request& request)
    -> asio::awaitable<http_response> {
  auto parsed = parse_worker(request.body);
  if (auto* refused = std::get_if<problem>(&parsed)) {
    co_return make_response(*refused);
  }
  const auto& announcement = std::get<worker_announcement>(parsed);
  wire::call call;
  write(announcement.self, *call.mutable_worker());
  for (const auto& report : announcement.reports) {
    write(report, *call.mutable_worker());
  }
  auto until = steady_now() + milliseconds(1500);
  auto result = co_await control_.call(std::move(call), until);
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_response(*refused);
  }
  co_return json_response(200, {{"noted", true}});
}

auto entry_node::change_member(const http_request& request, std::string number)
    -> asio::awaitable<http_response> {
  std::uint32_t id = 0;
  if (!parse_number(number, id) || id == 0) {
    co_return problem_response(400, "Bad request",
                               "a replica number must be above 0");
  }
  wire::call call;
  call.mutable_members()->set_id(id);
  call.mutable_members()->set_remove(request.method == "DELETE");
  call.mutable_members()->set_address(request.body);
  auto until = steady_now() + change_timeout;
  auto result = co_await control_.call(std::move(call), until);
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_response(*refused);
  }
  co_return json_response(202, {{"accepted", true}});
}

auto entry_node::drain_worker(const http_request& request, std::string name)
    -> asio::awaitable<http_response> {
  wire::call call;
  call.mutable_drain()->set_name(name);
  call.mutable_drain()->set_draining(request.method == "PUT");
  auto until = steady_now() + change_timeout;
  auto result = co_await control_.call(std::move(call), until);
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_response(*refused);
  }
  co_return json_response(200, {{"draining", request.method == "PUT"}});
}

auto entry_node::document(std::string_view name, std::string_view argument,
                          std::string_view query)
    -> asio::awaitable<http_response> {
  auto result =
      co_await control_.document(name, argument, query_value(query, "customer"),
                                 query_value(query, "state"));
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return make_response(*refused);
  }
  co_return make_response(200, "application/json",
                          std::get<std::string>(result));
}

auto entry_node::state_text() -> std::string {
  auto now = steady_now();
  auto remaining = (config_.lease_until() - now).count();
  auto out = members_.state_json();
  out["process"] = settings_.name;
  out["data_centre"] = settings_.data_centre;
  out["group"] = settings_.group;
  out["draining"] = draining_.load();
  out["config_version"] = config_.version().value;
  out["config_lease_ms"] = remaining;
  out["serving"] = remaining > 0 && !draining_;
  if (remaining <= 0) {
    out["refusing_because"] =
        "the control group has not confirmed the configuration in time";
  }
  out["leader"] = control_.leader();
  out["live_entries"] = members_.live_entries();
  out["routes"] = slots_.routes_json();
  out["peer_bytes_sent"] = peers_.bytes_sent();
  out["peer_bytes_received"] = peers_.bytes_received();
  out["peer_messages_dropped"] = peers_.dropped();
  return json::serialize(out);
}

}  // namespace parsleyledge
