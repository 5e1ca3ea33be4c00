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
#include "adapters/site_machine.h"
#include "core/config/site_config.h"
#include "core/jobs/gang_tracker.h"
#include "core/jobs/placement_policy.h"
#include "core/membership/slot_ledger.h"

namespace parsleyledge::wire {
class call;
class call_reply;
}  // namespace parsleyledge::wire

namespace parsleyledge {

/// What a control process is told at its start.
struct control_settings {
  std::string name;
  std::string data_centre;
  std::string group;
  std::string listen_peer;
  agreement::replica_settings replica;
  placement_policy placement;
};

/// One control process: a replica of the state and, while it leads, the
/// decisions on gangs, the workers' leases and the shares of endpoints.
class control_node {
 public:
  control_node(boost::asio::thread_pool& pool, control_settings settings,
               journal disk, agreement::recovered_state recovered,
               std::function<void(std::string_view)> fatal);

  /// Opens the peer socket and starts. Returns an error text, empty if it
  /// runs.
  auto start() -> std::string;

  /// Hands leadership over. The process may end once it no longer leads.
  void transfer();
  auto leads() -> bool;

  /// Stops all timers and the peer socket.
  void stop();

  /// Serves /healthz, /state and /metrics.
  auto serve(http_request request) -> boost::asio::awaitable<http_response>;

 private:
  struct entry_contact {
    std::uint64_t in_force = 0;
    std::string data_centre;
    time_point received_at;
  };
  using token = std::string;  // names the caller on the peer socket

  void receive(std::string_view from, wire::envelope message);
  void handle_call(const token& from, const wire::envelope& message);
  void handle_change(const token& from, std::uint64_t id, command what);
  void handle_worker(const wire::call& call);
  void handle_poll(const token& from, const wire::call& call);
  void handle_query(const token& from, const wire::call& call);
  void handle_members(const token& from, const wire::call& call);
  auto check(const command& what) -> std::optional<problem>;
  auto check_file(std::string_view name, std::optional<std::string> body)
      -> std::optional<problem>;
  void answer(const token& to, wire::call_reply reply);
  void answer(const token& to, std::uint64_t id, const problem& refusal);

  auto document(std::string_view what, std::string_view argument,
                std::string_view customer, std::string_view state)
      -> result_or_problem<std::string>;
  auto job_documents(std::string_view customer, std::string_view state)
      -> std::string;
  auto config_document_text() -> std::string;
  auto in_force_text() -> std::string;
  auto workers_text() -> std::string;
  auto customers_text() -> std::string;
  auto state_text() -> std::string;

  void schedule_round();
  void run_round();
  void decide_round(time_point now, time_point wall);
  void track_round(time_point now, time_point wall);
  void note_unmet(std::span<const guarantee_slot> unmet);
  void propose(command what);
  auto ask_worker(platform_request request) -> boost::asio::awaitable<void>;
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
  bool led_ = false;  // used on rounds_ only
  // Own proposals not yet applied, of the present leadership; on rounds_ only.
  std::shared_ptr<std::atomic<int>> in_flight_;

  ranked_mutex workers_mutex_{lock_rank::worker_table};
  gang_tracker tracker_;

  ranked_mutex config_mutex_{lock_rank::config_table};
  std::shared_ptr<const site_config> site_;
  config_version site_version_;
  std::map<std::string, entry_contact, std::less<>> entries_;
  slot_ledger ledger_;
  std::string unmet_text_;
};

}  // namespace parsleyledge
