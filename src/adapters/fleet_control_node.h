#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/control_client.h"
#include "adapters/fleet_client.h"
#include "adapters/fleet_machine.h"
#include "adapters/metrics.h"
#include "adapters/peer_socket.h"
#include "adapters/replica_node.h"
#include "core/fleet/dispatcher.h"
#include "core/fleet/request.h"
#include "ports/fleet.h"

namespace parsleyledge::wire {
class envelope;
class member_list;
}  // namespace parsleyledge::wire

namespace parsleyledge {

/// What a control process of the fleet is told at its start.
struct fleet_control_settings {
  std::string name;
  std::string group;
  std::string listen_peer;
  std::vector<std::string> control;  // peer addresses of control processes
  agreement::replica_settings replica;
  fleet::dispatch_limits limits;
  // Without a disk a process only passes requests on: it joins no group.
  bool has_disk = true;
};

/// One control process of the fleet: a replica of the tables and, while it
/// leads, the dispatcher. A replica that does not lead passes requests on.
class fleet_control_node {
 public:
  fleet_control_node(boost::asio::thread_pool& pool,
                     fleet_control_settings settings, journal disk,
                     agreement::recovered_state recovered,
                     fleet::platform_port platform,
                     std::function<void(std::string_view)> fatal);

  /// Opens the peer socket and starts. Returns an error text, empty if it
  /// runs.
  auto start() -> std::string;

  /// Serves a request that came to this process, here or at the leader.
  auto serve(fleet::request what, milliseconds limit)
      -> boost::asio::awaitable<fleet::reply>;

  /// The leader's peer address as far as it is known here; empty if not.
  auto leader_address() -> std::string;

  /// Takes other seeds: peer addresses of control processes.
  void use_control(std::vector<std::string> addresses);

  /// Hands leadership over. The process may end once it no longer leads.
  void transfer();
  auto leads() -> bool;

  /// Stops all timers and the peer socket.
  void stop();

  /// The dump of this process's state, as JSON.
  auto state_text() -> std::string;

  auto counters() -> metrics& { return metrics_; }

 private:
  using replier = std::function<void(fleet::reply)>;

  void receive(std::string_view from, wire::envelope message);
  void handle(fleet::request what, replier done);
  void handle_one(const fleet::ping_request& what, replier done);
  void handle_one(fleet::submit_request what, replier done);
  void handle_one(const fleet::read_request& what, replier done);
  void handle_one(const fleet::cancel_request& what, replier done);
  void handle_one(const fleet::report_request& what, replier done);
  void handle_one(const fleet::leave_request& what, replier done);
  void handle_one(fleet::put_site_request what, replier done);
  void handle_one(const fleet::read_site_request& what, replier done);
  void handle_one(fleet::start_wave_request what, replier done);
  void handle_one(const fleet::read_wave_request& what, replier done);

  struct found_job;
  struct waiting_reply;
  auto find_job(const fleet::job_address& where, fleet::reply& refusal)
      -> found_job;
  void commit(const fleet::command& what, replier done);
  void tell_members(const replica_status& status);
  void hear_members(const wire::member_list& list);
  void schedule_round();
  void run_round();
  void note_change();
  void decide_on_change();
  void follow_leadership(const fleet::fleet_tables& tables,
                         const replica_status& status);
  void adopt_site(const fleet::fleet_tables& tables);
  void carry_out(std::vector<fleet::effect> effects);
  void carry_out_one(fleet::propose& what);
  void carry_out_one(fleet::send_worker_request& what);
  void carry_out_one(fleet::ask_advice& what);
  void carry_out_one(fleet::send_machine_request& what);
  void carry_out_one(fleet::decision& what);
  auto give_order(fleet::send_worker_request what)
      -> boost::asio::awaitable<void>;
  auto seek_advice(fleet::ask_advice what) -> boost::asio::awaitable<void>;
  auto call_machines(fleet::send_machine_request what)
      -> boost::asio::awaitable<void>;

  /// Runs a decision on the tables and the dispatcher, then its effects.
  template <typename Decide>
  void decide(Decide step);

  boost::asio::thread_pool& pool_;
  fleet_control_settings settings_;
  fleet::platform_port platform_;
  metrics metrics_;
  peer_socket peers_;
  control_client client_;
  basic_replica_node<fleet_machine> replica_;
  boost::asio::steady_timer timer_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> refused_{false};  // a proposal was refused
  std::atomic<bool> change_noted_{false};
  // When the next decision may begin, by the steady clock.
  std::atomic<std::chrono::steady_clock::rep> next_decision_{0};

  ranked_mutex dispatch_mutex_{lock_rank::worker_table};
  fleet::dispatcher dispatcher_;
  std::shared_ptr<const fleet::site> site_;
  std::vector<std::string> seeds_;
  time_point told_at_;  // when the seeds were last told the members
};

}  // namespace parsleyledge
