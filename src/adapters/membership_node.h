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

/// How an entry identifies itself to the other entries.
struct entry_identity {
  std::string name;
  std::string address;  // of its peer socket
  std::uint64_t incarnation = 0;
};

/// Synchronizes the endpoint table between entries by gossip: each entry sends
/// the records that were announced to it, and entries with different digests
/// exchange their whole tables. Every entry also probes all endpoints itself,
/// so that it notices a draining endpoint while it is partitioned from the
/// other entries.
class membership_node {
 public:
  using probe_handler = std::function<void(
      std::string_view endpoint, probe_result result, milliseconds latency)>;

  membership_node(boost::asio::thread_pool& pool, peer_socket& peers,
                  entry_identity identity, std::vector<std::string> seeds,
                  probe_handler on_probe);

  /// Starts the periodic gossip and probes.
  void start();
  /// Stops the gossip and the probes.
  void stop();

  /// Marks this entry as draining in its messages to the other entries.
  void set_draining();

  /// Records an endpoint's announcement and returns its sequence number. Fails
  /// with 400 for an invalid address, 503 if the table is full, and 409 if a
  /// later incarnation is known.
  auto announce(endpoint_record record) -> result_or_problem<std::uint64_t>;

  /// Handles a message from another entry.
  void receive(const wire::gossip& message);

  /// Calls `read` with the table while it is locked.
  template <typename Read>
  auto read_table(Read read) {
    ranked_lock lock(mutex_);
    return read(table_);
  }

  /// Number of entries that sent a message within the last two seconds,
  /// including this one.
  auto live_entries() -> std::size_t;

  /// Maximum number of idle connections that this entry may keep to an
  /// endpoint, so that all entries together stay within the number of
  /// connections that the endpoint announced.
  auto idle_connections(std::string_view endpoint) -> std::size_t;

  /// A dump of the entries and endpoints, as JSON.
  auto state_json() -> boost::json::object;

 private:
  struct peer {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sent_revision = 0;  // of the own table
    time_point received_at;
    time_point full_sent_at;
    bool draining = false;
  };

  void send_gossip();
  void schedule_gossip();
  void schedule_probes();
  auto probe(std::string endpoint, std::string address)
      -> boost::asio::awaitable<void>;

  boost::asio::thread_pool& pool_;
  peer_socket& peers_;
  entry_identity identity_;
  probe_handler on_probe_;
  http_client probe_client_;
  boost::asio::steady_timer gossip_timer_;
  boost::asio::steady_timer probe_timer_;

  ranked_mutex mutex_{lock_rank::endpoint_table};
  endpoint_table table_;
  std::map<std::string, peer> entries_;  // by address
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace parsleyledge
