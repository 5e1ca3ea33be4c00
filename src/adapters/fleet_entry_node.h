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

/// The settings of an entry process of the fleet.
struct fleet_entry_settings {
  std::string group;
  std::string name;
  std::vector<std::string> control;  // peer addresses of control processes
};

/// One entry process of the fleet. It is stateless: it forwards requests to the
/// leader and returns the leader's replies.
class fleet_entry_node {
 public:
  fleet_entry_node(boost::asio::thread_pool& pool,
                   fleet_entry_settings settings);

  /// Sets what is called with the limits of callers' requests each time the
  /// leader names other ones. To be called before start().
  void set_limits_handler(
      std::function<void(const fleet::request_limits&)> handler);

  /// Opens the peer socket and starts the pings. Returns an error text, or an
  /// empty string on success.
  auto start() -> std::string;

  /// Forwards a request to the leader and waits for its reply for at most
  /// `timeout`. Rejects it at once, as not carried out, if no leader has
  /// responded for more than a second.
  auto serve(fleet::request request, milliseconds timeout)
      -> boost::asio::awaitable<fleet::reply>;

  /// Whether a load balancer may send callers to this process: it is not
  /// draining and the leader has replied within the last four seconds.
  auto is_ready() const -> bool;

  /// Replaces the seeds: peer addresses of control processes, any of which may
  /// be the leader.
  void set_control_addresses(std::vector<std::string> addresses);

  /// Makes this process report that it is not ready. Requests that have no
  /// reply of the leader by `last_reply_at` fail then, so that all callers have
  /// their response before the process exits.
  void begin_drain(time_point last_reply_at);

  /// Stops the pings and the peer socket.
  void stop();

  auto counters() -> metrics& { return metrics_; }

 private:
  auto ping() -> boost::asio::awaitable<void>;
  auto is_in_outage() const -> bool;
  void record_response();
  void update_control_addresses(std::string_view lines);
  void update_limits(const fleet::request_limits& limits);

  metrics metrics_;
  peer_socket peers_;
  control_client client_;
  std::vector<std::string> seeds_;  // used on the strand of the pings
  std::function<void(const fleet::request_limits&)> limits_handler_;
  fleet::request_limits limits_;  // the same, as last passed to the handler
  boost::asio::steady_timer timer_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> leader_reachable_{false};
  std::atomic<std::int64_t> last_response_ms_{0};
  // When the leader was lost, by the steady clock; 0 if it never was.
  std::atomic<std::int64_t> leader_lost_ms_{0};
};

}  // namespace parsleyledge
