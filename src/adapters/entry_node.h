#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/config_holder.h"
#include "adapters/control_client.h"
#include "adapters/forwarder.h"
#include "adapters/http_message.h"
#include "adapters/membership_node.h"
#include "adapters/metrics.h"
#include "adapters/peer_socket.h"
#include "adapters/slot_allocator.h"

namespace parsleyledge {

/// Start settings of an entry.
struct entry_settings {
  std::string name;
  std::string data_centre;
  std::string group;
  std::string listen_peer;           // ip:port
  std::vector<std::string> control;  // ip:port of the replicas
  std::vector<std::string> entries;  // ip:port of some other entries
  routing_policy routing;
};

/// One entry: serves the HTTP interface, forwards requests to endpoints and
/// polls the leader for its configuration and its slots.
class entry_node {
 public:
  entry_node(boost::asio::thread_pool& pool, entry_settings settings);

  /// Opens the peer socket and starts the loops. Returns an error message, or
  /// an empty string on success.
  auto start() -> std::string;

  /// Makes /healthz fail, so that load balancers stop sending new requests.
  void begin_drain();
  void stop();

  /// Serves one HTTP request.
  auto serve(http_request request) -> boost::asio::awaitable<http_response>;

 private:
  void receive(wire::envelope message);
  auto poll_loop() -> boost::asio::awaitable<void>;
  auto poll_once() -> boost::asio::awaitable<void>;
  auto demands_to_send(std::vector<slot_demand> demands, time_point now)
      -> std::vector<slot_demand>;

  auto serve_api(const http_request& request)
      -> boost::asio::awaitable<http_response>;
  auto submit(const http_request& request)
      -> boost::asio::awaitable<http_response>;
  auto cancel(cancel_jobs cancellation)
      -> boost::asio::awaitable<http_response>;
  auto change_file(const http_request& request, std::string name)
      -> boost::asio::awaitable<http_response>;
  auto announce_endpoint(const http_request& request) -> http_response;
  auto announce_worker(const http_request& request)
      -> boost::asio::awaitable<http_response>;
  auto change_member(const http_request& request, std::string number)
      -> boost::asio::awaitable<http_response>;
  auto drain_worker(const http_request& request, std::string name)
      -> boost::asio::awaitable<http_response>;
  auto document(std::string_view name, std::string_view argument,
                std::string_view query)
      -> boost::asio::awaitable<http_response>;
  auto health() -> http_response;
  auto state_text() -> std::string;

  boost::asio::thread_pool& pool_;
  entry_settings settings_;
  metrics metrics_;
  config_holder config_;
  peer_socket peers_;
  control_client control_;
  slot_allocator slots_;
  membership_node members_;
  forwarder forwarder_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopped_{false};
  std::vector<slot_demand> last_demands_;  // used by the poll loop only
  time_point last_full_report_;            // used by the poll loop only
};

}  // namespace parsleyledge
