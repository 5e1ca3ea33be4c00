#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/control_client.h"
#include "adapters/metrics.h"
#include "adapters/peer_socket.h"
#include "core/fleet/request.h"

namespace parsleyledge {

/// What an entry process of the fleet is told at its start.
struct fleet_entry_settings {
  std::string group;
  std::string name;
  std::vector<std::string> control;  // peer addresses of control processes
};

/// One entry process of the fleet: it holds no state, carries requests to the
/// leader and answers with the leader's words.
class fleet_entry_node {
 public:
  fleet_entry_node(boost::asio::thread_pool& pool,
                   fleet_entry_settings settings);

  /// Opens the peer socket. Returns an error text, empty if it runs.
  auto start() -> std::string;

  /// Has the leader serve a request.
  auto serve(fleet::request what, milliseconds limit)
      -> boost::asio::awaitable<fleet::reply>;

  /// Whether callers should be sent here: the leader has answered of late and
  /// this process is not ending.
  auto is_ready() const -> bool;

  /// Looks for the leader at these peer addresses from now on.
  void use_control(std::vector<std::string> addresses);

  /// From now on this process is not ready.
  void begin_drain() { draining_ = true; }

  void stop();

  auto counters() -> metrics& { return metrics_; }

 private:
  auto ping() -> boost::asio::awaitable<void>;
  void note_answer();
  void use_members(std::string_view lines);

  metrics metrics_;
  peer_socket peers_;
  control_client client_;
  std::vector<std::string> seeds_;  // used where the pings run
  boost::asio::steady_timer timer_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> in_touch_{false};
  std::atomic<std::int64_t> answered_ms_{0};
};

}  // namespace parsleyledge
