#include <absl/flags/flag.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "adapters/app.h"
#include "adapters/clock.h"
#include "adapters/fleet_entry_node.h"
#include "adapters/http_server.h"
#include "adapters/memory_budget.h"
#include "adapters/settings.h"
#include "platform/front.h"
#include "platform/node_settings.h"
#include "platform/settings_watcher.h"

using namespace parsleyledge;

ABSL_FLAG(std::string, node_file, "/etc/parsleyledge/boot.conf",
          "the platform's settings of this process");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(int, metrics_port, 9465, "port of /metrics");

namespace {

// Parts at the end of the grace period after SIGTERM: first no new requests are
// accepted, then the requests in progress fail, and then the process exits.
constexpr milliseconds last_request_to_kill{1500};
constexpr milliseconds last_reply_to_kill{700};
constexpr milliseconds exit_to_kill{300};

}  // namespace

auto main(int argc, char** argv) -> int {
  parse_command_line(argc, argv,
                     "parsleyledge-fleet-entry: accepts requests from callers");
  auto path = absl::GetFlag(FLAGS_node_file);
  auto node_file = platform::load_or_exit(path);
  platform::settings_watcher watcher(path);
  start_log_from_flag(absl::GetFlag(FLAGS_log_level), node_file.node,
                      log_stream::standard_output);
  block_signals();

  boost::asio::thread_pool pool(node_file.cores);
  fleet_entry_node node(
      pool, {"fleet", node_file.node, platform::peer_addresses(node_file)});
  auto serve = [&node](fleet::request request, milliseconds limit) {
    return node.serve(std::move(request), limit);
  };
  auto limits = limits_of(node_file.memory_mb, node_file.max_descriptors);
  auto budget =
      std::make_shared<memory_budget>(request_memory_of(node_file.memory_mb));
  http_server caller_server(pool, limits, budget);
  http_server readiness_server(pool, internal_limits_of(limits), budget);
  http_server metrics_server(pool, internal_limits_of(limits), budget);
  node.set_limits_handler([&](const fleet::request_limits& in_force) {
    caller_server.set_request_limits(
        in_force.body_bytes, static_cast<std::uint32_t>(in_force.header_bytes),
        in_force.header_timeout);
  });
  auto error = node.start();
  if (error.empty()) {
    error = caller_server.listen(
        node_file.front_address, [&](http_request request) {
          return platform::serve_caller(std::move(request), serve);
        });
  }
  if (error.empty()) {
    error = readiness_server.listen(
        node_file.ready_address,
        [&node](http_request request) -> boost::asio::awaitable<http_response> {
          bool is_ready =
              platform::is_readiness_probe(request) && node.is_ready();
          co_return make_response(is_ready ? 200 : 503, "application/json",
                                  "{}");
        });
  }
  if (error.empty()) {
    error = metrics_server.listen(
        node_file.ip + ":" + std::to_string(absl::GetFlag(FLAGS_metrics_port)),
        [&node, budget](http_request) -> boost::asio::awaitable<http_response> {
          record_memory(*budget, node.counters());
          co_return make_response(200, "text/plain", node.counters().format());
        });
  }
  if (!error.empty()) exit_with_error("start_failed", error);
  log_event(log_level::info, "started");

  auto apply_settings = [&](const platform::node_settings& changed) {
    node.set_control_addresses(platform::peer_addresses(changed));
  };
  wait_for_signal([&] { watcher.reload_if_changed(apply_settings); },
                  settings_poll_interval);
  log_event(log_level::info, "draining");
  auto kill_at = steady_now() + node_file.grace;
  node.begin_drain(kill_at - last_reply_to_kill);
  caller_server.drain();
  boost::asio::steady_timer timer(pool, node_file.grace - last_request_to_kill);
  timer.wait();
  caller_server.close_idle();
  bool clean =
      wait_until_idle(caller_server, kill_at - exit_to_kill - steady_now());
  if (!clean) {
    log_event(log_level::error, "requests_aborted",
              {{"requests",
                static_cast<std::int64_t>(caller_server.active_requests())},
               {"connections",
                static_cast<std::int64_t>(caller_server.connections())}});
  }
  node.stop();
  pool.stop();
  pool.join();
  log_event(log_level::info, "stopped", {{"clean", clean}});
  return clean ? 0 : 1;
}
