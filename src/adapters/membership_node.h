#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http_client.h"
#include "core/membership/endpoint_table.h"
#include "core/problem.h"
#include "core/ranked_lock.h"
#include "core/requests/router.h"

namespace parsleyledge::wire {
class gossip;
}

namespace parsleyledge {

class peer_socket;

/// Who an entry is to the other entries.
struct entry_identity {
  std::string name;
  std::string address;  // of its peer socket
  std::uint64_t incarnation = 0;
};

/// Keeps the table of endpoints and spreads it between entries: each entry
/// pushes what was announced to it; two that find their summaries differ
/// exchange all they know. Also probes every endpoint itself, so that a cut
/// from the other entries does not hide one that leaves.
class membership_node {
 public:
  using probe_handler = std::function<void(
      std::string_view endpoint, probe_result result, milliseconds latency)>;

  membership_node(boost::asio::thread_pool& pool, peer_socket& peers,
                  entry_identity self, std::vector<std::string> seeds,
                  probe_handler probed);

  /// Starts to spread and to probe.
  void start();
  void stop();

  /// Tells the other entries that this one leaves.
  void set_draining();

  /// Takes an endpoint's announcement.
  auto announce(endpoint_record record) -> result_or_problem<std::uint64_t>;

  /// Takes a message of another entry.
  void receive(const wire::gossip& message);

  /// Reads the table under its lock.
  template <typename Read>
  auto read_table(Read read) {
    ranked_lock lock(mutex_);
    return read(table_);
  }

  /// Entries heard of lately, this one included.
  auto live_entries() -> std::size_t;

  /// Connections that this entry may keep open to an endpoint while idle, so
  /// that all entries together stay within what the endpoint announced.
  auto idle_connections(std::string_view endpoint) -> std::size_t;

  /// A dump of the entries and endpoints.
  auto state_json() -> boost::json::object;

 private:
  struct peer {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t pushed = 0;  // own revision that was sent
    time_point received_at;
    time_point full_sent_at;
    bool draining = false;
  };

  void spread();
  void schedule_spread();
  void schedule_probes();
  auto probe(std::string endpoint, std::string address)
      -> boost::asio::awaitable<void>;

  boost::asio::thread_pool& pool_;
  peer_socket& peers_;
  entry_identity self_;
  probe_handler probed_;
  http_client prober_;
  boost::asio::steady_timer spread_timer_;
  boost::asio::steady_timer probe_timer_;

  ranked_mutex mutex_{lock_rank::endpoint_table};
  endpoint_table table_;
  std::map<std::string, peer> entries_;  // by address
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace parsleyledge
