#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/control_client.h"
#include "adapters/fleet_client.h"
#include "adapters/fleet_state_machine.h"
#include "adapters/metrics.h"
#include "adapters/peer_socket.h"
#include "adapters/replica_node.h"
#include "core/agreement/overload_detector.h"
#include "core/fleet/dispatcher.h"
#include "core/fleet/job_ledger.h"
#include "core/fleet/request.h"
#include "ports/fleet.h"

namespace parsleyledge::wire {
class envelope;
class member_list;
}  // namespace parsleyledge::wire

namespace parsleyledge {

/// The settings of a control process of the fleet.
struct fleet_control_settings {
  std::string name;
  std::string group;
  std::string listen_peer;
  std::vector<std::string> control;  // peer addresses of control processes
  agreement::replica_settings replica;
  fleet::dispatch_limits limits;
  std::vector<std::string> data_centres;  // of the site, as far as known
  std::size_t max_job_bytes = 0;          // of stored jobs; 0: no limit
  // Without a disk the process joins no group and only forwards requests to
  // the leader.
  bool has_disk = true;
};

/// One control process of the fleet: a replica of the tables and, on the
/// leader, the dispatcher. Other replicas forward requests to the leader.
class fleet_control_node {
 public:
  /// `opened_journal` is an open journal and `recovered` the state that it
  /// returned. `fatal` is called when the replica has stopped on an error.
  fleet_control_node(boost::asio::thread_pool& pool,
                     fleet_control_settings settings, journal opened_journal,
                     agreement::recovered_state recovered,
                     fleet::platform_port platform,
                     std::function<void(std::string_view)> fatal);

  /// Binds the peer socket and starts the replica. Returns an error text, or an
  /// empty string on success.
  auto start() -> std::string;

  /// Serves a request on the leader, which may be this process. The reply has
  /// the status `unknown` if the outcome is not known within `timeout`.
  auto serve(fleet::request request, milliseconds timeout)
      -> boost::asio::awaitable<fleet::reply>;

  /// The leader's peer address; empty if it is unknown to this process.
  auto leader_address() -> std::string;

  /// Replaces the seeds, which are control processes.
  void set_seeds(std::span<const agreement::member> seeds);

  /// Prepares for the end of the process: starts a transfer of leadership to
  /// another replica, and does not stand for election from now on. Then asks
  /// the leader for the removal of this replica in case it was replaced. The
  /// process can stop once leads() and awaits_departure() return false.
  void retire();

  /// Whether no leader has decided on the removal of this replica yet.
  auto awaits_departure() -> bool;

  /// Whether this replica has the role of the leader.
  auto leads() -> bool;

  /// Stops all timers and the peer socket.
  void stop();

  /// The size of the configuration, as far as this process knows it.
  auto document_bytes() const -> std::size_t { return document_bytes_; }

  /// A dump of the state of this process, as JSON.
  auto state_text() -> std::string;

  auto counters() -> metrics& { return metrics_; }

 private:
  using reply_handler = std::function<void(fleet::reply)>;

  void receive(std::string_view from, wire::envelope message);
  void redirect(std::string_view to, std::uint64_t call);
  void dispatch_request(fleet::request request, reply_handler done);
  void handle_request(const fleet::ping_request& request, reply_handler done);
  void handle_request(fleet::submit_request request, reply_handler done);
  void handle_request(const fleet::read_request& request, reply_handler done);
  void handle_request(const fleet::cancel_request& request, reply_handler done);
  void handle_request(const fleet::report_request& request, reply_handler done);
  void handle_request(const fleet::leave_request& request, reply_handler done);
  void handle_request(fleet::put_site_request request, reply_handler done);
  void handle_request(const fleet::read_site_request& request,
                      reply_handler done);
  void handle_request(fleet::start_wave_request request, reply_handler done);
  void handle_request(const fleet::read_wave_request& request,
                      reply_handler done);
  void handle_request(const fleet::evacuate_request& request,
                      reply_handler done);
  void handle_request(const fleet::read_evacuations_request& request,
                      reply_handler done);

  /// Whether a submitted job is stored, there is room for it, which is held for
  /// it while it is committed, or there is none.
  enum class job_admission { stored, pending, no_room };

  auto admit_job(const fleet::job_spec& spec, std::size_t bytes)
      -> job_admission;

  struct resolved_job;
  struct pending_reply;
  auto resolve_job(const fleet::job_address& address, fleet::reply& failure)
      -> resolved_job;
  void commit(const fleet::command& command, reply_handler done);
  void send_members(const replica_status& status);
  void record_group(const replica_status& status);
  void record_evacuations(const fleet::fleet_tables& tables);
  void handle_members(const wire::member_list& list);
  void pass_members_to(const agreement::message& greeting);
  void schedule_round();
  void run_round();
  void transfer_if_overloaded(milliseconds late);
  void schedule_decision();
  void decide_on_change();
  void update_leadership(const fleet::fleet_tables& tables,
                         const replica_status& status);
  void load_site(const fleet::fleet_tables& tables);
  void execute(std::vector<fleet::effect> effects);
  void execute_effect(fleet::propose& effect);
  void execute_effect(fleet::send_worker_request& effect);
  void execute_effect(fleet::ask_advice& effect);
  void execute_effect(fleet::send_machine_request& effect);
  void execute_effect(fleet::decision& effect);
  void execute_effect(fleet::work_discarded& effect);
  void execute_effect(fleet::wait_ended& effect);
  auto call_worker(fleet::send_worker_request effect)
      -> boost::asio::awaitable<void>;
  auto ask_policy(fleet::ask_advice effect) -> boost::asio::awaitable<void>;
  auto call_machines(fleet::send_machine_request effect)
      -> boost::asio::awaitable<void>;

  /// Calls `handler` with the tables while the state and the dispatcher are
  /// locked, then executes the effects that it returns without the locks.
  template <typename Decide>
  void decide(Decide handler);

  boost::asio::thread_pool& pool_;
  fleet_control_settings settings_;
  fleet::platform_port platform_;
  metrics metrics_;
  peer_socket peers_;
  control_client client_;
  basic_replica_node<fleet_state_machine> replica_;
  boost::asio::steady_timer timer_;
  time_point round_due_;                   // used by the timer's strand only
  agreement::overload_detector overload_;  // the same
  std::atomic<bool> stopped_{false};
  std::atomic<std::size_t> document_bytes_{0};
  std::atomic<bool> proposal_failed_{false};  // a proposal was not committed
  std::atomic<bool> decision_scheduled_{false};
  // Earliest start of the next decision, in ticks of the steady clock.
  std::atomic<std::chrono::steady_clock::rep> next_decision_{0};

  // Guards what follows, but for members_sent_at_, which the rounds use.
  ranked_mutex dispatch_mutex_{lock_rank::worker_table};
  fleet::dispatcher dispatcher_;
  std::shared_ptr<const fleet::site> site_;
  fleet::job_ledger pending_jobs_;  // submitted, not committed yet
  std::vector<std::string> seeds_;
  std::vector<agreement::member> known_members_;  // as last sent or received
  time_point members_sent_at_;                    // to the seeds and members
  std::set<std::string, std::less<>> evacuation_gauges_;  // data centres
};

}  // namespace parsleyledge
