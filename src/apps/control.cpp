#include <absl/flags/flag.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "adapters/app.h"
#include "adapters/clock.h"
#include "adapters/control_node.h"
#include "adapters/http_server.h"
#include "adapters/journal.h"
#include "adapters/log.h"
#include "adapters/memory_budget.h"
#include "adapters/settings.h"

using namespace parsleyledge;

ABSL_FLAG(std::string, name, "", "this process's name, unique in the site");
ABSL_FLAG(std::string, data_centre, "", "the data centre of this VM");
ABSL_FLAG(std::string, group, "default", "the replicated group it belongs to");
ABSL_FLAG(socket_address, listen_http, {},
          "ip:port of /healthz and state dumps");
ABSL_FLAG(socket_address, listen_peer, {}, "ip:port for other processes");
ABSL_FLAG(int, replica, 0, "this replica's number, from 1");
ABSL_FLAG(numbered_address_list, peers, {},
          "1=ip:port,2=ip:port,... of all replicas, this one included");
ABSL_FLAG(std::string, data_folder, "", "folder of the journal, on a disk");
ABSL_FLAG(std::string, placement, "cells", "cells, first_fit or best_fit");
ABSL_FLAG(int, threads, 4, "threads of the pool");
ABSL_FLAG(int, memory_mb, 0,
          "memory of the process; an eighth of it holds requests and responses "
          "that are not complete. 0: 512 MB");
ABSL_FLAG(int, max_descriptors, 0,
          "descriptors of the process; three quarters of them are for "
          "connections of clients. 0: 4096 connections");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace {

constexpr std::chrono::milliseconds leadership_transfer_timeout{3000};
constexpr std::chrono::milliseconds leadership_poll_interval{20};
constexpr std::chrono::seconds response_drain_timeout{2};

auto parse_placement(std::string_view name) -> placement_policy {
  if (name == "cells") return cell_policy{};
  if (name == "first_fit") return first_fit{};
  if (name == "best_fit") return best_fit{};
  exit_with_flag_error("placement", "expected cells, first_fit or best_fit");
}

auto read_replica_settings() -> agreement::replica_settings {
  agreement::replica_settings settings;
  auto number = absl::GetFlag(FLAGS_replica);
  if (number < 1) exit_with_flag_error("replica", "expected a number from 1");
  settings.id = {static_cast<std::uint32_t>(number)};
  bool found = false;
  for (const auto& peer : absl::GetFlag(FLAGS_peers).items) {
    settings.peers.push_back({{peer.number}, {}, peer.address, true});
    found = found || peer.number == settings.id.value;
  }
  if (!found) exit_with_flag_error("peers", "does not contain this replica");
  return settings;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr std::string_view required[] = {"name",        "data_centre",
                                           "listen_http", "listen_peer",
                                           "peers",       "data_folder"};
  parse_command_line(argc, argv,
                     "parsleyledge-control: a replica of the cluster state",
                     required);
  auto threads = absl::GetFlag(FLAGS_threads);
  if (threads < 1 || threads > 256) {
    exit_with_flag_error("threads", "expected 1 to 256");
  }
  control_settings settings;
  settings.name = absl::GetFlag(FLAGS_name);
  settings.data_centre = absl::GetFlag(FLAGS_data_centre);
  settings.group = absl::GetFlag(FLAGS_group);
  settings.listen_peer = absl::GetFlag(FLAGS_listen_peer).text;
  settings.placement = parse_placement(absl::GetFlag(FLAGS_placement));
  settings.replica = read_replica_settings();
  start_log_from_flag(absl::GetFlag(FLAGS_log_level), settings.name);
  block_signals();

  journal disk(disk_files(absl::GetFlag(FLAGS_data_folder)));
  auto recovered = open_journal(disk, {settings.group, settings.replica.id});
  settings.replica.incarnation = disk.incarnation();
  settings.replica.seed = disk.incarnation().value;
  log_event(log_level::info, "recovered",
            {{"entries", static_cast<std::int64_t>(recovered.entries.size())}});

  boost::asio::thread_pool pool(static_cast<std::size_t>(threads));
  control_node node(pool, settings, std::move(disk), std::move(recovered),
                    [](std::string_view detail) {
                      exit_with_error("replica_stopped", detail);
                    });
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
  log_event(log_level::info, "handing_over");
  auto deadline = steady_now() + leadership_transfer_timeout;
  node.retire();
  while (node.leads() && steady_now() < deadline) {
    boost::asio::steady_timer timer(pool, leadership_poll_interval);
    timer.wait();
  }
  server.drain();
  server.close_idle();
  wait_until_idle(server, response_drain_timeout);
  node.stop();
  pool.stop();
  pool.join();
  log_event(log_level::info, "stopped");
  return 0;
}
