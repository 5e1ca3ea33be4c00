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

/// Where a replica stands, for dumps and decisions.
struct replica_status {
  agreement::role role = agreement::role::bootstrapping;
  std::uint64_t term = 0;
  std::uint64_t commit = 0;
  std::uint64_t last = 0;
  std::uint64_t snapshot = 0;
  std::string leader_address;
  bool may_serve = false;
  std::vector<agreement::member> members;
};

/// Runs one replica of a state machine: turns its effects into disk writes,
/// messages and changes of the state. Whoever of the pool finds work in the
/// inbox carries it out, one batch at a time, so that all proposals that waited
/// share one sync. `Machine` names the commands, their results and the state,
/// and how they are written.
template <typename Machine>
class basic_replica_node {
 public:
  using command_type = typename Machine::command_type;
  using result_type = typename Machine::result_type;
  using result_handler = std::function<void(result_type)>;

  /// What the node asks of its surroundings. All are called without locks.
  struct hooks {
    std::function<void(std::string_view address, agreement::message)> send;
    std::function<void()> changed;  // after commands were applied
    std::function<void(std::string_view detail)> fatal;
  };

  basic_replica_node(boost::asio::thread_pool& pool,
                     agreement::replica_settings settings, journal disk,
                     agreement::recovered_state recovered, metrics& counters,
                     hooks hooks);

  /// Starts the clock.
  void start();

  /// Hands over a message from a peer.
  void receive(agreement::message message);

  /// Hears of the group's members from elsewhere.
  void learn(std::span<const agreement::member> members);

  /// Proposes a command. The handler gets its result once it is applied; or
  /// a refusal, if it is certain that it never will be.
  void propose(const command_type& what, result_handler done);

  /// Proposes another set of members, and tells whether it was accepted.
  void change_members(std::function<std::vector<agreement::member>(
                          std::span<const agreement::member>)>
                          change,
                      std::function<void(bool)> done);

  /// Hands leadership over, if this replica leads.
  void transfer();

  /// Stops the clock and takes no more work.
  void stop();

  auto status() -> replica_status;

  /// Whether this replica may answer for the group at this moment.
  auto may_serve() -> bool;

  /// Reads the state under its lock.
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
  struct encoded_snapshot {
    agreement::log_position last;
    std::shared_ptr<const std::string> bytes;
  };
  using input = std::variant<agreement::message, proposal, member_proposal,
                             tick, transfer_request, encoded_snapshot>;
  struct pending {
    agreement::term_number term;
    result_handler done;
  };
  struct finished {
    result_handler done;
    result_type result;
  };

  void put(input item);
  void pump();
  auto step(std::deque<input>& inputs) -> std::vector<agreement::effect>;
  void carry_out(std::vector<agreement::effect> effects);
  auto write(std::span<const agreement::effect> effects) -> bool;
  void apply(const agreement::log_entry& entry,
             std::vector<finished>& finished);
  void restore(const agreement::persist_snapshot& snapshot);
  void maybe_snapshot();
  void install(const encoded_snapshot& snapshot);
  void schedule_tick();
  void fail(std::string_view detail);
  auto serves_applied(time_point now) const -> bool;

  boost::asio::thread_pool& pool_;
  boost::asio::steady_timer timer_;
  milliseconds tick_;
  journal disk_;  // used by the one that pumps
  metrics& metrics_;
  hooks hooks_;
  std::map<agreement::log_index, pending> pending_;  // likewise
  agreement::log_position applied_;                  // likewise
  std::vector<agreement::member> applied_members_;   // likewise
  bool snapshot_running_ = false;                    // likewise
  std::atomic<std::uint64_t> applied_term_{0};  // of the last applied entry

  ranked_mutex inbox_mutex_{lock_rank::inbox};
  std::deque<input> inbox_;
  bool pumping_ = false;
  bool stopped_ = false;

  ranked_mutex replica_mutex_{lock_rank::agreement};
  agreement::replica replica_;

  ranked_mutex state_mutex_{lock_rank::state};
  typename Machine::state_type state_;
};

struct site_machine;
struct fleet_machine;

/// A replica of the product's own state: folder, gangs and keys.
using replica_node = basic_replica_node<site_machine>;

}  // namespace parsleyledge
