#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "core/agreement/effect.h"

namespace parsleyledge::agreement {

enum class role { bootstrapping, learner, follower, candidate, leader };

/// Delays of the protocol. Every replica of a group uses the same ones.
struct timing {
  milliseconds heartbeat{100};
  milliseconds election_min{700};
  milliseconds election_max{1200};
  milliseconds lease{500};  // below election_min by the clock drift allowed
  milliseconds transfer{1000};
  milliseconds tick{20};
};

/// What a replica found on its disk at start.
struct recovered_state {
  hard_state hard;
  log_position snapshot_last;
  std::vector<member> members;
  std::shared_ptr<const std::string> snapshot;
  std::vector<log_entry> entries;
};

/// Who a replica is, and the peers that its settings name.
struct replica_settings {
  replica_id id;
  incarnation_number incarnation;
  std::vector<member> peers;  // itself included; incarnations unknown
  timing delays;
  std::uint64_t seed = 1;
  // Whether it may found the group together with its peers. A replica that
  // replaces another may only join.
  bool may_bootstrap = true;
  // Whether a leader admits replicas that it does not know. Each is taken for
  // the successor of a member that falls silent about then.
  bool admits_unknown_replicas = false;
};

/// One replica of the log, after Raft (Ongaro and Ousterhout, 2014) with
/// pre-vote, check-quorum, leader leases, learners and leadership transfer.
/// A pure state machine: input in, effects out, the time as an argument.
class replica {
 public:
  replica(replica_settings settings, recovered_state disk, time_point now);

  /// Handles a message from a peer.
  auto receive(const message& in, time_point now) -> std::vector<effect>;

  /// Lets time pass. To be called every few tens of milliseconds.
  auto tick(time_point now) -> std::vector<effect>;

  /// Appends commands to the log, if this replica leads and is not handing
  /// over. Returns the position of the first, or nothing if refused.
  auto propose(std::span<const std::string> commands)
      -> std::optional<log_position>;

  /// Appends a change of one member, if this replica leads and the previous
  /// change is committed. Returns whether it was accepted.
  auto propose_members(std::vector<member> members) -> bool;

  /// Takes the effects that proposals left behind.
  auto flush(time_point now) -> std::vector<effect>;

  /// Tells that the log is on disk up to this position.
  auto handle_persisted(log_position last, time_point now)
      -> std::vector<effect>;

  /// Hears of a member of the group from elsewhere. A replica that the group
  /// does not know makes itself known there, too.
  void add_contact(replica_id id, std::string_view address);

  /// Drops the log up to `last`, which a snapshot now covers.
  void compact(log_position last, std::shared_ptr<const std::string> snapshot);

  /// Starts handing leadership to the most complete voter.
  auto transfer_leadership(time_point now) -> std::vector<effect>;

  /// Whether this replica may answer for the group at this time: it leads,
  /// its lease holds and an entry of its own term is committed.
  auto may_serve(time_point now) const -> bool;

  auto current_role() const -> role { return role_; }
  auto current_term() const -> term_number { return hard_.term; }
  auto leader() const -> replica_id { return leader_; }
  auto commit_index() const -> log_index { return commit_; }
  auto last_position() const -> log_position;
  auto snapshot_position() const -> log_position { return snapshot_last_; }
  auto members() const -> std::span<const member> { return members_; }
  auto find_member(replica_id id) const -> const member*;
  auto settings() const -> const replica_settings& { return settings_; }
  auto transferring() const -> bool { return transferring_; }
  auto hard() const -> const hard_state& { return hard_; }
  auto snapshot_members() const -> const std::vector<member>& {
    return snapshot_members_;
  }

  /// A copy of the entries that follow the snapshot.
  auto log_tail() const -> std::vector<log_entry> {
    return {log_.begin(), log_.end()};
  }

  /// Last index known to be on the given replica's disk, as the leader sees.
  auto match_of(replica_id id) const -> log_index;

 private:
  struct progress {
    log_index next;
    log_index match;
    time_point acked_at;  // when the last message it answered was sent
    std::uint64_t snapshot_offset = 0;
    bool in_snapshot = false;
    time_point sent_at;
    time_point received_at;
    time_point rewound_at;  // when the gap was last sent again
  };

  void handle(const message& in, const vote_request& request);
  void handle(const message& in, const vote_reply& answer);
  void handle(const message& in, const append_request& request);
  void handle(const message& in, const append_reply& answer);
  void handle(const message& in, const snapshot_chunk& chunk);
  void handle(const message& in, const snapshot_reply& answer);
  void handle(const message& in, const timeout_now& request);
  void handle(const message& in, const hello& greeting);

  auto accepts(const message& in) const -> bool;
  void become_follower(term_number term, replica_id leader);
  void start_election(bool pre_vote, bool transfer);
  void become_leader();
  void form_group();
  void send_hello();
  void admit_returned(replica_id id, incarnation_number incarnation,
                      std::string_view address);
  void admit_unknown_replica(const message& in, std::string_view address);
  void pass_to_leader(const message& in);
  void promote_learners();
  void retire_silent();
  void send_append(replica_id to, bool heartbeat);
  void send_snapshot(replica_id to, progress& peer);
  void broadcast(bool heartbeat);
  void advance_commit();
  void apply_committed();
  void append_local(std::vector<log_entry> entries);
  void adopt_members(const log_entry& entry);
  void restore_members_before(log_index index);
  void send(replica_id to, message_body body, bool before_sync = false);
  void reply(const message& in, message_body body);
  auto address_of(replica_id id) const -> std::string;
  void persist_hard();
  auto lease_start() const -> time_point;
  auto has_quorum(const std::map<replica_id, bool>& votes) const -> bool;
  auto quorum_size() const -> std::size_t;
  auto term_at(log_index index) const -> std::optional<term_number>;
  auto entry_at(log_index index) const -> const log_entry&;
  auto is_voter() const -> bool;
  auto heard_leader_recently() const -> bool;
  auto random_timeout() -> milliseconds;
  auto take_effects() -> std::vector<effect>;

  replica_settings settings_;
  hard_state hard_;
  role role_ = role::bootstrapping;
  replica_id leader_;
  time_point now_;
  time_point leader_heard_;
  time_point election_due_;
  time_point heartbeat_due_;
  time_point transfer_until_;
  time_point led_since_;
  time_point admitted_at_;        // when the last stranger was admitted
  std::uint32_t successors_ = 0;  // strangers that replaced no one yet
  bool transferring_ = false;
  bool pre_vote_phase_ = false;

  std::deque<log_entry> log_;
  log_position snapshot_last_;
  std::shared_ptr<const std::string> snapshot_;
  std::vector<member> snapshot_members_;
  std::vector<member> members_;
  log_index members_index_;
  log_index commit_;
  log_index applied_;
  log_index persisted_;
  log_index announced_;  // last index offered to peers
  std::string incoming_snapshot_;
  log_position incoming_last_;

  std::map<replica_id, progress> progress_;
  std::map<replica_id, bool> votes_;
  std::map<replica_id, std::string> contacts_;  // addresses told by others
  std::map<replica_id, member> greeted_;  // empty peers heard while unformed
  std::mt19937_64 random_;
  std::vector<effect> effects_;
};

/// The role's name, for dumps and logs.
auto to_string(role value) -> std::string_view;

}  // namespace parsleyledge::agreement
