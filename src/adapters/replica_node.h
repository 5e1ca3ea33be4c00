#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "adapters/journal.h"
#include "adapters/metrics.h"
#include "core/agreement/replica.h"
#include "core/ranked_lock.h"

namespace parsleyledge {

/// The state of a replica in its group.
struct replica_status {
  agreement::role role = agreement::role::bootstrapping;
  std::uint64_t term = 0;
  std::uint64_t commit = 0;    // index of the last committed entry
  std::uint64_t last = 0;      // index of the last entry of the log
  std::uint64_t snapshot = 0;  // index of the last entry in the snapshot
  std::string leader_address;  // empty if the leader is unknown
  bool may_serve = false;
  std::vector<agreement::member> members;
  std::size_t voters = 0;
  std::size_t group_size = 0;   // members that count
  std::size_t live_voters = 0;  // 0 unless this replica leads
  agreement::quorum_status quorum;
  bool is_member = false;
  // Whether a leader has decided on the removal of this replica, which retires.
  bool departure_decided = false;
};

/// Runs one replica of a state machine: executes the replica's effects as disk
/// writes, messages and changes of the state. One thread of the pool at a time
/// processes the inbox in batches, so that all proposals of a batch share one
/// sync. `Machine` provides the types of commands, results and state, and their
/// encoding.
template <typename Machine>
class basic_replica_node {
 public:
  using command_type = typename Machine::command_type;
  using result_type = typename Machine::result_type;
  using result_handler = std::function<void(result_type)>;

  /// Callbacks of the node; called without locks held.
  struct hooks {
    std::function<void(std::string_view address, agreement::message)> send;
    std::function<void()> state_changed;  // after entries were applied
    // The node has stopped: a write failed or data cannot be decoded.
    std::function<void(std::string_view detail)> fatal;
  };

  /// `opened_journal` is an open journal and `recovered` the state that it
  /// returned.
  basic_replica_node(boost::asio::thread_pool& pool,
                     agreement::replica_settings settings,
                     journal opened_journal,
                     agreement::recovered_state recovered,
                     metrics& node_metrics, hooks hooks);

  /// Starts the periodic ticks of the replica.
  void start();

  /// Handles a message from another replica.
  void receive(agreement::message message);

  /// Adds the addresses of members that were received outside the log, so that
  /// the replica can contact them.
  void add_contacts(std::span<const agreement::member> members);

  /// Proposes a command. The handler receives the result of applying it, or
  /// `Machine::not_committed()` if it can never be applied, or
  /// `Machine::maybe_committed()` if a received snapshot may contain it.
  void propose(const command_type& command, result_handler done);

  /// Proposes the members that `change` returns for the current ones. `done`
  /// receives whether the proposal was accepted, not whether it was committed.
  void change_members(std::function<std::vector<agreement::member>(
                          std::span<const agreement::member>)>
                          change,
                      std::function<void(bool)> done);

  /// Transfers leadership to another replica if this one leads. It may be
  /// elected again.
  void transfer_leadership();

  /// Transfers leadership if this replica leads, and asks the leader for the
  /// removal of this replica in case it was replaced. From now on it does not
  /// stand for election, as its process is about to stop.
  void retire();

  /// Stops the ticks and discards all queued and later input, without calling
  /// the handlers of proposals.
  void stop();

  /// The current state of the replica.
  auto status() -> replica_status;

  /// Whether this replica is the leader, its lease is valid, and it has applied
  /// an entry of its own term, so that reads of the state are current.
  auto may_serve() -> bool;

  /// Calls `read` with the state while it is locked.
  template <typename Read>
  auto read_state(Read read) {
    ranked_lock lock(state_mutex_);
    return read(state_);
  }

 private:
  struct proposal {
    std::string payload;
    result_handler done;
  };
  struct member_proposal {
    std::function<std::vector<agreement::member>(
        std::span<const agreement::member>)>
        change;
    std::function<void(bool)> done;
  };
  struct tick {};
  struct transfer_request {};
  struct retirement {};
  struct encoded_snapshot {
    agreement::log_position last;
    std::shared_ptr<const std::string> bytes;
  };
  using input =
      std::variant<agreement::message, proposal, member_proposal, tick,
                   transfer_request, retirement, encoded_snapshot>;
  struct pending_proposal {
    agreement::term_number term;
    result_handler done;
  };
  struct finished {
    result_handler done;
    result_type result;
  };

  void enqueue(input item);
  void process_inbox();
  auto handle_inputs(std::deque<input>& inputs)
      -> std::vector<agreement::effect>;
  void execute(std::vector<agreement::effect> effects);
  auto write(std::span<const agreement::effect> effects) -> bool;
  void apply(const agreement::log_entry& entry,
             std::vector<finished>& finished);
  void restore(const agreement::persist_snapshot& snapshot);
  void log_decision(const agreement::member_decision& decision);
  void log_lost_leadership(const agreement::leadership_lost& lost);
  void snapshot_if_due();
  void install_snapshot(const encoded_snapshot& snapshot);
  void schedule_tick();
  void fail(std::string_view detail);
  void log_role_change();
  void log_member_change();
  void log_quorum(time_point now);
  auto can_serve_applied(time_point now) const -> bool;

  boost::asio::thread_pool& pool_;
  boost::asio::steady_timer timer_;
  milliseconds tick_;
  journal journal_;  // used while processing the inbox
  metrics& metrics_;
  hooks hooks_;
  std::map<agreement::log_index, pending_proposal> pending_;  // likewise
  agreement::log_position applied_;                           // likewise
  std::vector<agreement::member> applied_members_;            // likewise
  bool snapshot_in_progress_ = false;                         // likewise
  agreement::role logged_role_{};                             // likewise
  agreement::term_number logged_term_;                        // likewise
  std::vector<agreement::member> logged_members_;             // likewise
  agreement::quorum_status logged_quorum_;                    // likewise
  time_point quorum_logged_at_;                               // likewise
  std::atomic<std::uint64_t> applied_term_{0};  // of the last applied entry

  ranked_mutex inbox_mutex_{lock_rank::inbox};
  std::deque<input> inbox_;
  bool processing_ = false;
  bool stopped_ = false;

  ranked_mutex replica_mutex_{lock_rank::agreement};
  agreement::replica replica_;

  ranked_mutex state_mutex_{lock_rank::state};
  typename Machine::state_type state_;
};

struct site_state_machine;
struct fleet_state_machine;

/// A replica of the configuration, the gang jobs and the idempotency keys.
using replica_node = basic_replica_node<site_state_machine>;

}  // namespace parsleyledge
