#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http_message.h"
#include "adapters/journal.h"
#include "adapters/metrics.h"
#include "adapters/peer_socket.h"
#include "adapters/platform_client.h"
#include "adapters/replica_node.h"
#include "adapters/site_state_machine.h"
#include "core/config/site_config.h"
#include "core/jobs/gang_tracker.h"
#include "core/jobs/placement_policy.h"
#include "core/membership/slot_ledger.h"

namespace parsleyledge::wire {
class call;
class call_reply;
}  // namespace parsleyledge::wire

namespace parsleyledge {

/// The settings of a control process.
struct control_settings {
  std::string name;
  std::string data_centre;
  std::string group;
  std::string listen_peer;
  agreement::replica_settings replica;
  placement_policy placement;
};

/// One control process: a replica of the state. The leader also schedules
/// gangs, renews the leases of workers and divides the slots of endpoints
/// between entries.
class control_node {
 public:
  /// `opened_journal` is an open journal and `recovered` the state that it
  /// returned. `fatal` is called when the replica has stopped on an error.
  control_node(boost::asio::thread_pool& pool, control_settings settings,
               journal opened_journal, agreement::recovered_state recovered,
               std::function<void(std::string_view)> fatal);

  /// Binds the peer socket and starts the replica. Returns an error text, or an
  /// empty string on success.
  auto start() -> std::string;

  /// Prepares for the end of the process: starts a transfer of leadership to
  /// another replica, and does not stand for election from now on. The process
  /// can stop once leads() returns false.
  void retire();

  /// Whether this replica has the role of the leader.
  auto leads() -> bool;

  /// Stops all timers and the peer socket.
  void stop();

  /// Serves /healthz, /state and /metrics.
  auto serve(http_request request) -> boost::asio::awaitable<http_response>;

 private:
  struct entry_status {
    std::uint64_t in_force = 0;  // configuration version
    std::string data_centre;
    time_point received_at;
  };
  using peer_token = std::string;  // names the caller to peer_socket::reply

  void receive(std::string_view from, wire::envelope message);
  void handle_call(const peer_token& from, const wire::envelope& message);
  void handle_change(const peer_token& from, std::uint64_t id, command change);
  void handle_announcement(const wire::call& call);
  void handle_poll(const peer_token& from, const wire::call& call);
  void handle_query(const peer_token& from, const wire::call& call);
  void handle_members(const peer_token& from, const wire::call& call);
  auto roster() -> worker_roster;
  auto fits_known_workers(const job_spec& spec) -> bool;
  auto validate(const command& change) -> std::optional<problem>;
  auto validate_file(std::string_view name, std::optional<std::string> body)
      -> std::optional<problem>;
  void send_reply(const peer_token& to, wire::call_reply reply);
  void send_reply(const peer_token& to, std::uint64_t id,
                  const problem& rejection);

  auto query_document(std::string_view kind, std::string_view argument,
                      std::string_view customer, std::string_view state)
      -> result_or_problem<std::string>;
  auto jobs_text(std::string_view customer, std::string_view state)
      -> std::string;
  auto config_text() -> std::string;
  auto in_force_text() -> std::string;
  auto workers_text() -> std::string;
  auto customers_text() -> std::string;
  auto state_text() -> std::string;

  void schedule_round();
  void run_round();
  void run_scheduler(time_point now, time_point wall);
  void update_gangs(time_point now, time_point wall);
  void report_unmet_guarantees(std::span<const guarantee_slot> unmet);
  void propose(command change);
  auto call_worker(platform_request request) -> boost::asio::awaitable<void>;
  auto site() -> std::shared_ptr<const site_config>;

  boost::asio::thread_pool& pool_;
  control_settings settings_;
  metrics metrics_;
  peer_socket peers_;
  replica_node replica_;
  platform_client platform_;
  boost::asio::strand<boost::asio::thread_pool::executor_type> rounds_;
  boost::asio::steady_timer timer_;
  std::atomic<bool> round_queued_{false};
  std::atomic<bool> stopped_{false};
  bool was_leader_ = false;  // used on the strand rounds_
  // Proposals of the current leadership that are not applied yet; the pointer
  // is used on the strand rounds_.
  std::shared_ptr<std::atomic<int>> proposals_in_flight_;

  ranked_mutex workers_mutex_{lock_rank::worker_table};
  gang_tracker tracker_;

  ranked_mutex config_mutex_{lock_rank::config_table};
  std::shared_ptr<const site_config> site_;
  config_version site_version_;
  std::map<std::string, entry_status, std::less<>> entries_;
  slot_ledger ledger_;
  std::string unmet_guarantees_;
};

}  // namespace parsleyledge
