#include <absl/flags/flag.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "adapters/app.h"
#include "adapters/clock.h"
#include "adapters/evacuation_api.h"
#include "adapters/fleet_control_node.h"
#include "adapters/http_server.h"
#include "adapters/memory_budget.h"
#include "adapters/settings.h"
#include "platform/bodies.h"
#include "platform/front.h"
#include "platform/node_settings.h"
#include "platform/platform_http_client.h"
#include "platform/settings_watcher.h"

using namespace parsleyledge;

ABSL_FLAG(std::string, node_file, "/etc/parsleyledge/boot.conf",
          "the platform's settings of this process");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(int, metrics_port, 9464, "port of /metrics and /state");

namespace {

constexpr std::chrono::milliseconds leadership_transfer_timeout{2000};
constexpr std::chrono::milliseconds departure_timeout{1000};
constexpr std::chrono::milliseconds retirement_poll_interval{20};
constexpr std::chrono::milliseconds response_drain_timeout{1500};
constexpr std::uint32_t extra_threads = 1;  // may block on the disk

// The ID of a replica is the IPv4 address of its machine, which is unique.
auto replica_id_of(std::string_view address) -> agreement::replica_id {
  auto ip = boost::asio::ip::make_address_v4(split_address(address).first);
  return {ip.to_uint()};
}

auto seeds_of(const platform::node_settings& node)
    -> std::vector<agreement::member> {
  std::vector<agreement::member> seeds;
  for (const auto& address : platform::peer_addresses(node)) {
    seeds.push_back({replica_id_of(address), {}, address, true});
  }
  return seeds;
}

auto make_settings(const platform::node_settings& node)
    -> fleet_control_settings {
  fleet_control_settings settings;
  settings.name = node.node;
  settings.group = "fleet";
  settings.listen_peer = node.ip + ":" + std::to_string(node.first_port);
  settings.control = platform::peer_addresses(node);
  settings.replica.id = replica_id_of(settings.listen_peer);
  settings.replica.delays.tick = milliseconds(50);
  settings.replica.peers = seeds_of(node);
  auto self = std::ranges::find(settings.replica.peers, settings.replica.id,
                                &agreement::member::id);
  settings.replica.admits_unknown_replicas = true;
  settings.replica.may_bootstrap = self != settings.replica.peers.end();
  if (!settings.replica.may_bootstrap) {
    settings.replica.peers.push_back(
        {settings.replica.id, {}, settings.listen_peer, true});
  }
  settings.replica.first_start = node.first_start;
  // A majority is left when as many machines as tolerated are lost.
  settings.replica.min_voters = 2 * node.tolerated_machines + 1;
  settings.replica.catch_up_time = node.catch_up_time;
  settings.replica.data_centre = node.data_centre;
  settings.data_centres = node.data_centres;
  settings.has_disk = !node.data_folder.empty();
  settings.max_job_bytes = job_memory_of(node.memory_mb);
  settings.limits.max_lease = node.max_lease;
  settings.limits.lease = node.max_lease * 9 / 10;
  settings.limits.gang_start_timeout = node.gang_start_timeout;
  settings.limits.min_restart_time = node.min_restart_time;
  settings.limits.report_timeout = node.heartbeat * 3;
  return settings;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  parse_command_line(
      argc, argv, "parsleyledge-fleet-control: a replica of the fleet's state");
  auto path = absl::GetFlag(FLAGS_node_file);
  auto node_file = platform::load_or_exit(path);
  platform::settings_watcher watcher(path);
  start_log_from_flag(absl::GetFlag(FLAGS_log_level), node_file.node,
                      log_stream::standard_output);
  block_signals();

  auto settings = make_settings(node_file);
  journal disk(node_file.data_folder.empty()
                   ? file_store(memory_files())
                   : file_store(disk_files(node_file.data_folder)));
  auto recovered = open_journal(disk, {settings.group, settings.replica.id});
  settings.replica.incarnation = disk.incarnation();
  settings.replica.seed = disk.incarnation().value;
  log_event(log_level::info, "recovered",
            {{"entries", static_cast<std::int64_t>(recovered.entries.size())}});

  boost::asio::thread_pool pool(node_file.cores + extra_threads);
  platform::platform_http_client workers(
      {node_file.advice_address, node_file.machines_address, node_file.node});
  fleet::platform_port port{
      [&workers](fleet::send_worker_request request) {
        return workers.call_worker(std::move(request));
      },
      [&workers](fleet::ask_advice request) {
        return workers.ask_policy(std::move(request));
      },
      [&workers](fleet::send_machine_request request) {
        return workers.call_machines(std::move(request));
      },
      [](std::string_view document) -> std::optional<fleet::site> {
        auto parsed = platform::parse_site(document);
        if (auto* site = std::get_if<fleet::site>(&parsed)) return *site;
        return {};
      }};
  fleet_control_node node(pool, settings, std::move(disk), std::move(recovered),
                          std::move(port), [](std::string_view detail) {
                            exit_with_error("replica_stopped", detail);
                          });
  auto serve = [&node](fleet::request request, milliseconds limit) {
    return node.serve(std::move(request), limit);
  };
  auto control_port = split_address(node_file.control_address).second;
  auto leader_control = [&node, control_port]() -> std::string {
    auto address = node.leader_address();
    if (address.empty()) return {};
    return split_address(address).first + ":" + std::to_string(control_port);
  };
  auto limits = limits_of(node_file.memory_mb, node_file.max_descriptors);
  auto budget =
      std::make_shared<memory_budget>(request_memory_of(node_file.memory_mb));
  http_server server(pool, limits, budget);
  http_server admin_server(pool, internal_limits_of(limits), budget);
  server.set_response_estimate([&node](const http_request& request) {
    return platform::is_config_read(request) ? node.document_bytes() : 0;
  });
  auto error = node.start();
  if (error.empty()) {
    error = server.listen(node_file.control_address, [&](http_request request) {
      return platform::serve_control(std::move(request), serve,
                                     leader_control());
    });
  }
  if (error.empty()) {
    error = admin_server.listen(
        node_file.ip + ":" + std::to_string(absl::GetFlag(FLAGS_metrics_port)),
        [&node, budget,
         serve](http_request request) -> boost::asio::awaitable<http_response> {
          if (request.target == "/state") {
            co_return make_response(200, "application/json", node.state_text());
          }
          if (is_evacuation_call(request)) {
            auto response =
                co_await serve_evacuations(std::move(request), serve);
            co_return response;
          }
          record_memory(*budget, node.counters());
          co_return make_response(200, "text/plain", node.counters().format());
        });
  }
  if (!error.empty()) exit_with_error("start_failed", error);
  log_event(log_level::info, "started",
            {{"first_start", node_file.first_start},
             {"disk", settings.has_disk},
             {"seeds", absl::StrJoin(node_file.seeds, ",")}});

  auto apply_settings = [&](const platform::node_settings& changed) {
    node.set_seeds(seeds_of(changed));
  };
  wait_for_signal([&] { watcher.reload_if_changed(apply_settings); },
                  settings_poll_interval);
  log_event(log_level::info, "handing_over");
  auto wait_while = [&](auto condition, std::chrono::milliseconds limit) {
    auto deadline = steady_now() + limit;
    while (condition() && steady_now() < deadline) {
      boost::asio::steady_timer timer(pool, retirement_poll_interval);
      timer.wait();
    }
  };
  node.retire();
  wait_while([&] { return node.leads(); }, leadership_transfer_timeout);
  wait_while([&] { return node.awaits_departure(); }, departure_timeout);
  server.drain();
  server.close_idle();
  wait_until_idle(server, response_drain_timeout);
  node.stop();
  pool.stop();
  pool.join();
  log_event(log_level::info, "stopped");
  return 0;
}
