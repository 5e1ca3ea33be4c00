#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <boost/asio/thread_pool.hpp>

#include "adapters/app.h"
#include "adapters/entry_node.h"
#include "adapters/http_server.h"
#include "adapters/log.h"
#include "adapters/memory_budget.h"
#include "adapters/settings.h"

using namespace parsleyledge;

ABSL_FLAG(std::string, name, "", "this process's name, unique in the site");
ABSL_FLAG(std::string, data_centre, "", "the data centre of this VM");
ABSL_FLAG(std::string, group, "default", "the replicated group it belongs to");
ABSL_FLAG(socket_address, listen_http, {}, "ip:port for callers");
ABSL_FLAG(socket_address, listen_peer, {}, "ip:port for other processes");
ABSL_FLAG(address_list, control, {}, "ip:port,... of the control processes");
ABSL_FLAG(address_list, entries, {}, "ip:port,... of some other entries");
ABSL_FLAG(absl::Duration, drain_grace, absl::Seconds(5),
          "time from SIGTERM until connections are closed");
ABSL_FLAG(std::string, routing, "sampled_load",
          "sampled_load, round_robin or least_in_flight");
ABSL_FLAG(int, threads, 4, "threads of the pool");
ABSL_FLAG(int, memory_mb, 0,
          "memory of the process; an eighth of it holds requests and responses "
          "that are not complete. 0: 512 MB");
ABSL_FLAG(int, max_descriptors, 0,
          "descriptors of the process; three quarters of them are for "
          "connections of clients. 0: 4096 connections");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace {

constexpr std::chrono::minutes max_request_duration{10};

auto parse_routing(std::string_view name) -> routing_policy {
  if (name == "sampled_load") return sampled_load{};
  if (name == "round_robin") return round_robin{};
  if (name == "least_in_flight") return least_in_flight{};
  exit_with_flag_error("routing",
                       "expected sampled_load, round_robin or least_in_flight");
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr std::string_view required[] = {"name", "data_centre", "listen_http",
                                           "listen_peer", "control"};
  parse_command_line(argc, argv,
                     "parsleyledge-entry: accepts requests from callers",
                     required);
  auto threads = absl::GetFlag(FLAGS_threads);
  if (threads < 1 || threads > 256) {
    exit_with_flag_error("threads", "expected 1 to 256");
  }
  entry_settings settings;
  settings.name = absl::GetFlag(FLAGS_name);
  settings.data_centre = absl::GetFlag(FLAGS_data_centre);
  settings.group = absl::GetFlag(FLAGS_group);
  settings.listen_peer = absl::GetFlag(FLAGS_listen_peer).text;
  settings.control = absl::GetFlag(FLAGS_control).addresses;
  settings.entries = absl::GetFlag(FLAGS_entries).addresses;
  settings.routing = parse_routing(absl::GetFlag(FLAGS_routing));
  start_log_from_flag(absl::GetFlag(FLAGS_log_level), settings.name);
  block_signals();

  boost::asio::thread_pool pool(static_cast<std::size_t>(threads));
  entry_node node(pool, settings);
  auto memory_mb =
      static_cast<std::size_t>(std::max(absl::GetFlag(FLAGS_memory_mb), 0));
  auto descriptors = static_cast<std::size_t>(
      std::max(absl::GetFlag(FLAGS_max_descriptors), 0));
  http_server server(
      pool, limits_of(memory_mb, descriptors),
      std::make_shared<memory_budget>(request_memory_of(memory_mb)));
  auto error = node.start();
  if (error.empty()) {
    error = server.listen(absl::GetFlag(FLAGS_listen_http).text,
                          [&node](http_request request) {
                            return node.serve(std::move(request));
                          });
  }
  if (!error.empty()) exit_with_error("start_failed", error);
  log_event(log_level::info, "started");

  wait_for_signal();
  log_event(log_level::info, "draining");
  node.begin_drain();
  server.drain();
  auto grace = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_drain_grace));
  boost::asio::steady_timer timer(pool, grace);
  timer.wait();
  server.close_idle();
  bool clean = wait_until_idle(server, max_request_duration);
  node.stop();
  pool.stop();
  pool.join();
  log_event(log_level::info, "stopped", {{"clean", clean}});
  return clean ? 0 : 1;
}
