#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "core/agreement/effect.h"
#include "core/agreement/quorum_status.h"

namespace parsleyledge::agreement {

enum class role { bootstrapping, learner, follower, candidate, leader };

/// Timeouts and intervals of the protocol. All replicas of a group must use
/// the same values.
struct timing {
  milliseconds heartbeat{100};
  milliseconds election_min{700};
  milliseconds election_max{1200};
  // At most election_min less the clock drift allowed, so that the lease ends
  // before another leader can be elected.
  milliseconds lease{500};
  milliseconds transfer_timeout{1000};
  milliseconds transfer_attempt{200};  // for the chosen voter to stand
  milliseconds tick{20};
};

/// The state that a replica reads from its disk at start.
struct recovered_state {
  hard_state hard;
  log_position snapshot_last;
  std::vector<member> members;
  std::shared_ptr<const std::string> snapshot;
  std::vector<log_entry> entries;
};

/// The identity of a replica and its configured peers.
struct replica_settings {
  replica_id id;
  incarnation_number incarnation;
  std::vector<member> peers;  // includes this replica; incarnations unset
  timing delays;
  std::uint64_t seed = 1;
  // Whether it may bootstrap the group together with its peers. A replica
  // that replaces another may only join an existing group.
  bool may_bootstrap = true;
  // Whether a leader admits replicas that are not members. Each is assumed to
  // replace a member, unless it starts together with the group or the group has
  // fewer than `min_voters`.
  bool admits_unknown_replicas = false;
  // The number of voters that the tolerated losses require.
  std::size_t min_voters = 0;
  // How long a replica that replaces another must have run and heard from
  // leaders before it counts, and takes the place of the other one.
  milliseconds catch_up_time{};
  std::string data_centre;  // of this replica
  // Whether the whole site starts for the first time.
  bool first_start = false;
};

/// One replica of the log. Implements Raft (Ongaro and Ousterhout, 2014) with
/// pre-vote, check-quorum, leader leases, learners and leadership transfer.
/// A deterministic state machine: it performs no I/O and reads no clock. Each
/// input takes the current time and returns the effects to execute.
class replica {
 public:
  replica(replica_settings settings, recovered_state disk, time_point now);

  /// Handles a message from a peer.
  auto receive(const message& in, time_point now) -> std::vector<effect>;

  /// Runs the timers: heartbeats, elections and timeouts. To be called every
  /// few tens of milliseconds.
  auto tick(time_point now) -> std::vector<effect>;

  /// Appends commands to the log and returns the position of the first.
  /// Returns nullopt if this replica is not the leader, is transferring its
  /// leadership, or `commands` is empty.
  auto propose(std::span<const std::string> commands)
      -> std::optional<log_position>;

  /// Appends a membership entry, which may add, remove or promote one member
  /// and change other notes on them. Returns false if this replica is not the
  /// leader, is transferring its leadership, the previous change is not
  /// committed yet, or no entry of the current term is committed.
  auto propose_members(std::vector<member> members) -> bool;

  /// Returns the effects of earlier proposals, with the messages that
  /// replicate the proposed entries.
  auto flush(time_point now) -> std::vector<effect>;

  /// Records that the log is on disk up to this position.
  auto handle_persisted(log_position last, time_point now)
      -> std::vector<effect>;

  /// Adds the address of a member learned outside the protocol. A replica that
  /// is not a member of the group sends its hello to this address, too.
  void add_contact(replica_id id, std::string_view address);

  /// Discards the log up to `last`, which `snapshot` covers.
  void compact(log_position last, std::shared_ptr<const std::string> snapshot);

  /// Prepares for the end of the process: from now on the replica stands for
  /// election only if it is the only voter, and if it leads, it transfers the
  /// leadership. Then it asks the next leader for its removal, which the leader
  /// grants if the replica was replaced.
  auto retire(time_point now) -> std::vector<effect>;

  /// Whether a leader has decided on the removal of this replica since it
  /// retired.
  auto departure_decided() const -> bool { return departure_decided_; }

  /// Starts a leadership transfer to the first voter that acknowledges the
  /// whole log from now on, so that it is known to run.
  auto transfer_leadership(time_point now) -> std::vector<effect>;

  /// Whether this replica may serve requests for the group at this time: it
  /// is the leader, its lease is valid and an entry of its own term is
  /// committed.
  auto may_serve(time_point now) const -> bool;

  auto current_role() const -> role { return role_; }

  /// The number of members that count, which is the limit of the number of
  /// voters.
  auto group_size() const -> std::size_t;

  /// The number of voters, without one that is about to replace another.
  auto voter_count() const -> std::size_t;

  /// The number of voters that this leader has heard from lately, with itself;
  /// 0 if this replica does not lead.
  auto live_voter_count() const -> std::size_t;

  /// Whether the group lacks a leader, and which voters it waits for, as far as
  /// this replica knows.
  auto quorum(time_point now) const -> quorum_status;

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

  /// The last index that this leader knows to be on the given replica's disk.
  auto match_index(replica_id id) const -> log_index;

 private:
  struct progress {
    incarnation_number incarnation;
    log_index next;
    log_index match;
    time_point acked_at;  // send time of the last acknowledged message
    std::uint64_t snapshot_offset = 0;
    bool in_snapshot = false;
    time_point sent_at;
    // When the peer was last heard from. A peer that was not heard from yet
    // counts from when it became one.
    time_point received_at;
    time_point resent_at;  // when missing entries were last sent again
    std::optional<time_point> departing_at;  // its last departure message
    // Since when the peer has run and heard from leaders, as far as is known.
    std::optional<time_point> in_contact_since;
    bool kept_despite_silence = false;  // and logged
  };

  struct exchange_cause {
    bool provisional = false;
    // Literals, for the log: why the newcomer gets a place, and why the other
    // member loses it.
    std::string_view exchanged;
    std::string_view replaced;
  };

  struct bootstrap_candidate {
    incarnation_number incarnation;
    std::string data_centre;
    time_point reported_at;
  };

  void handle(const message& in, const vote_request& request);
  void handle(const message& in, const vote_reply& response);
  void handle(const message& in, const append_request& request);
  void handle(const message& in, const append_reply& response);
  void handle(const message& in, const snapshot_chunk& chunk);
  void handle(const message& in, const snapshot_reply& response);
  void handle(const message& in, const timeout_now& request);
  void handle(const message& in, const hello& greeting);
  void handle(const message& in, const departure& request);
  void handle(const message& in, const departure_reply& response);

  auto accepts(const message& in) const -> bool;
  void record_contact(const message& in);
  auto silence_of_peer(replica_id id, time_point now) const
      -> std::optional<milliseconds>;
  void become_follower(term_number term, replica_id leader);
  void give_up_leadership(std::string_view reason);
  void start_election(bool pre_vote, bool transfer);
  void become_leader();
  void bootstrap_group();
  void send_hello();
  void readmit_member(const message& in, const hello& greeting);
  void admit_unknown_replica(const message& in, const hello& greeting);
  auto starts_with_group(const hello& greeting) const -> bool;
  auto own_admission() const -> std::optional<log_index>;
  auto first_start_age() const -> std::optional<milliseconds>;
  void forward_to_leader(const message& in);
  void begin_transfer();
  auto may_change_members() const -> bool;
  void decide_on_members();
  void complete_exchange();
  auto exchange_member() -> bool;
  auto replaced_by(const member& newcomer) const -> const member*;
  auto lost_predecessor(const member& newcomer) const -> const member*;
  auto can_take_place(const member& newcomer) const -> bool;
  auto is_lost(const member& m) const -> bool;
  auto provisional_successor(const member& newcomer) const -> const member*;
  auto exchange(member newcomer, member replaced, const exchange_cause& cause)
      -> bool;
  auto confirm_member() -> bool;
  auto wanted_members() const -> std::vector<member>;
  auto without_spare_vote(std::vector<member> wanted) const
      -> std::vector<member>;
  auto change_vote() -> bool;
  auto change_votes_to(std::span<const member> wanted, bool voter) -> bool;
  void remove_surplus_member();
  void log_silent_members();
  auto shares_place(const member& newcomer, const member& m) const -> bool;
  auto in_doubt(const member& a, const member& b) const -> bool;
  auto may_replace(const member& newcomer, const member& m) const -> bool;
  auto may_be_replaced_one(const member& m) const -> bool;
  auto has_live_quorum(std::span<const member> members) const -> bool;
  auto doubtful_votes(std::span<const member> members) const -> std::size_t;
  auto tolerates_doubt(std::span<const member> members) const -> bool;
  auto is_caught_up(const member& m) const -> bool;
  auto counts(const member& m) const -> bool;
  auto is_live(const member& m) const -> bool;
  auto is_leaving(const member& m) const -> bool;
  auto is_departing(replica_id id) const -> bool;
  auto silence_of(replica_id id) const -> milliseconds;
  auto describe(member_action action, const member& about,
                std::string_view reason) const -> member_decision;
  void change_members(std::vector<member> members, member_decision decision);
  void send_departure();
  auto new_progress(const member& m) const -> progress;
  void send_append(replica_id to, bool heartbeat);
  void send_snapshot(replica_id to, progress& peer);
  void broadcast(bool heartbeat);
  void continue_transfer(replica_id acknowledged_by);
  auto may_stand() const -> bool;
  void advance_commit();
  void apply_committed();
  void append_local(std::vector<log_entry> entries);
  void adopt_members(const log_entry& entry);
  void restore_members_before(log_index index);
  void acknowledge(const message& in, log_index match, time_point sent_at);
  void send(replica_id to, message_body body, bool before_sync = false);
  void reply(const message& in, message_body body);
  auto address_of(replica_id id) const -> std::string;
  void persist_hard();
  auto lease_start() const -> time_point;
  auto has_quorum(const std::map<replica_id, bool>& votes) const -> bool;
  auto term_at(log_index index) const -> std::optional<term_number>;
  auto entry_at(log_index index) const -> const log_entry&;
  void record_leader_contact(replica_id leader);
  auto is_voter() const -> bool;
  auto has_recent_leader_contact() const -> bool;
  auto random_timeout() -> milliseconds;
  auto take_effects() -> std::vector<effect>;

  replica_settings settings_;
  hard_state hard_;
  role role_ = role::bootstrapping;
  replica_id leader_;
  time_point now_;
  time_point last_leader_contact_;
  replica_id last_leader_;       // whose message that was
  time_point in_contact_since_;  // with leaders, without a long pause
  time_point election_due_;
  time_point heartbeat_due_;
  time_point transfer_started_at_;
  time_point transfer_deadline_;
  time_point leading_since_;
  time_point led_until_;
  time_point started_at_;
  bool started_empty_ = false;  // with an empty disk
  bool transferring_ = false;
  bool retiring_ = false;  // the process is about to end
  bool departure_decided_ = false;
  std::vector<replica_id> transfer_targets_;  // the current one is the last
  time_point transfer_target_since_;
  bool in_pre_vote_ = false;

  std::deque<log_entry> log_;
  log_position snapshot_last_;
  std::shared_ptr<const std::string> snapshot_;
  std::vector<member> snapshot_members_;
  std::vector<member> members_;
  log_index members_index_;
  log_index commit_;
  log_index applied_;
  log_index persisted_;
  log_index broadcast_index_;  // last index sent to the peers
  std::string incoming_snapshot_;
  log_position incoming_last_;
  term_number incoming_term_;  // of the leader that sends it

  std::map<replica_id, time_point> heard_at_;  // last message of each peer
  std::map<replica_id, progress> progress_;
  std::map<replica_id, bool> votes_;
  // Addresses learned from hello messages or `add_contact`.
  std::map<replica_id, std::string> contacts_;
  // Peers that reported an empty log during the bootstrap.
  std::map<replica_id, bootstrap_candidate> bootstrap_candidates_;
  std::mt19937_64 random_;
  std::vector<effect> effects_;
};

/// The name of the role, for dumps and logs.
auto to_string(role value) -> std::string_view;

}  // namespace parsleyledge::agreement
