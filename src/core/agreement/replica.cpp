#include "core/agreement/replica.h"

#include <algorithm>
#include <utility>

#include "core/agreement/quorum.h"

namespace parsleyledge::agreement {

namespace {

constexpr std::size_t max_batch_entries = 512;
constexpr std::size_t max_batch_bytes = 256U << 10;
constexpr std::size_t snapshot_chunk_bytes = 256U << 10;
constexpr milliseconds hello_interval{200};
constexpr milliseconds snapshot_resend_interval{1000};
// How long a voter waits for a message of a leader before it asks to be
// admitted, since a voter that was removed receives no message that tells it.
constexpr milliseconds silence_before_hello{2000};
// Longer than an election, which a replica does not tell from being cut off.
constexpr milliseconds max_contact_pause{2000};

}  // namespace

auto to_string(role value) -> std::string_view {
  switch (value) {
    case role::bootstrapping:
      return "unformed";
    case role::learner:
      return "learner";
    case role::follower:
      return "follower";
    case role::candidate:
      return "candidate";
    case role::leader:
      return "leader";
  }
  return "unknown";
}

replica::replica(replica_settings settings, recovered_state disk,
                 time_point now)
    : settings_(std::move(settings)),
      hard_(disk.hard),
      now_(now),
      last_leader_contact_(now),
      in_contact_since_(now),
      snapshot_last_(disk.snapshot_last),
      snapshot_(std::move(disk.snapshot)),
      snapshot_members_(disk.members),
      members_(std::move(disk.members)),
      members_index_(disk.snapshot_last.index),
      commit_(disk.snapshot_last.index),
      applied_(disk.snapshot_last.index),
      random_(settings_.seed) {
  started_at_ = now;
  for (auto& entry : disk.entries) {
    if (entry.kind == entry_kind::membership) adopt_members(entry);
    log_.push_back(std::move(entry));
  }
  persisted_ = last_position().index;
  started_empty_ = persisted_ == log_index{};
  // The time of the last message from the leader is lost in a restart, so the
  // replica grants no vote before a full election timeout has passed.
  election_due_ = now + random_timeout();
  if (!members_.empty()) role_ = is_voter() ? role::follower : role::learner;
}

auto replica::last_position() const -> log_position {
  return log_.empty() ? snapshot_last_ : log_.back().position;
}

auto replica::find_member(replica_id id) const -> const member* {
  auto it = std::ranges::find(members_, id, &member::id);
  return it == members_.end() ? nullptr : &*it;
}

auto replica::match_index(replica_id id) const -> log_index {
  if (id == settings_.id) return persisted_;
  auto it = progress_.find(id);
  return it == progress_.end() ? log_index{} : it->second.match;
}

auto replica::is_voter() const -> bool {
  const auto* self = find_member(settings_.id);
  return self != nullptr && has_vote(*self) &&
         self->incarnation == settings_.incarnation;
}

auto replica::voter_count() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count(members_, true, &member::voter));
}

auto replica::group_size() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count(members_, false, &member::surplus));
}

auto replica::live_voter_count() const -> std::size_t {
  if (role_ != role::leader) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      members_, [&](const member& m) { return has_vote(m) && is_live(m); }));
}

auto replica::has_quorum(const std::map<replica_id, bool>& votes) const
    -> bool {
  return is_quorum(members_, [&](const member& m) {
    auto it = votes.find(m.id);
    return it != votes.end() && it->second;
  });
}

auto replica::term_at(log_index index) const -> std::optional<term_number> {
  if (index == snapshot_last_.index) return snapshot_last_.term;
  if (index < snapshot_last_.index || index > last_position().index) return {};
  return entry_at(index).position.term;
}

auto replica::entry_at(log_index index) const -> const log_entry& {
  return log_[index.value - snapshot_last_.index.value - 1];
}

auto replica::has_recent_leader_contact() const -> bool {
  return now_ - last_leader_contact_ < settings_.delays.election_min;
}

auto replica::random_timeout() -> milliseconds {
  std::uniform_int_distribution<milliseconds::rep> spread(
      settings_.delays.election_min.count(),
      settings_.delays.election_max.count());
  return milliseconds(spread(random_));
}

auto replica::take_effects() -> std::vector<effect> {
  return std::exchange(effects_, {});
}

void replica::persist_hard() {
  effects_.emplace_back(persist_hard_state{hard_});
}

void replica::send(replica_id to, message_body body, bool before_sync) {
  const auto* target = find_member(to);
  auto incarnation =
      target != nullptr ? target->incarnation : incarnation_number{};
  auto address = address_of(to);
  if (address.empty()) return;
  effects_.emplace_back(send_message{{settings_.id, settings_.incarnation, to,
                                      incarnation, hard_.term, std::move(body)},
                                     std::move(address),
                                     before_sync});
}

void replica::reply(const message& in, message_body body) {
  auto address = address_of(in.from);
  if (address.empty()) return;
  effects_.emplace_back(
      send_message{{settings_.id, settings_.incarnation, in.from,
                    in.from_incarnation, hard_.term, std::move(body)},
                   std::move(address),
                   false});
}

// A joining replica may know the address of the leader only from the response
// to its hello.
auto replica::address_of(replica_id id) const -> std::string {
  if (const auto* known = find_member(id)) return known->address;
  auto it = std::ranges::find(settings_.peers, id, &member::id);
  if (it != settings_.peers.end()) return it->address;
  auto contact = contacts_.find(id);
  return contact == contacts_.end() ? std::string() : contact->second;
}

auto replica::accepts(const message& in) const -> bool {
  if (in.to != settings_.id) return false;
  if (std::holds_alternative<hello>(in.body)) return true;
  if (in.to_incarnation != settings_.incarnation) return false;
  // Votes and acknowledgements count only from the current incarnation of the
  // sender. Requests are accepted from any, because the membership known here
  // may still name an earlier incarnation of the sender.
  bool is_response = std::holds_alternative<vote_reply>(in.body) ||
                     std::holds_alternative<append_reply>(in.body) ||
                     std::holds_alternative<snapshot_reply>(in.body);
  if (!is_response) return true;
  const auto* sender = find_member(in.from);
  return sender != nullptr && sender->incarnation == in.from_incarnation;
}

auto replica::receive(const message& in, time_point now)
    -> std::vector<effect> {
  now_ = now;
  if (!accepts(in)) return take_effects();
  record_contact(in);
  std::visit([&](const auto& body) { handle(in, body); }, in.body);
  return take_effects();
}

auto replica::tick(time_point now) -> std::vector<effect> {
  now_ = now;
  if (role_ == role::bootstrapping) {
    if (now >= heartbeat_due_) {
      heartbeat_due_ = now + hello_interval;
      send_hello();
      bootstrap_group();
    }
  } else if (role_ == role::leader) {
    if (lease_start() + settings_.delays.election_max < now &&
        leading_since_ + settings_.delays.election_max < now) {
      give_up_leadership("no quorum responds");
      return take_effects();
    }
    // The target of the transfer may still win its election, so this replica
    // steps down.
    if (transferring_ && now >= transfer_deadline_) {
      give_up_leadership("nobody took the transferred leadership");
      return take_effects();
    }
    if (now >= heartbeat_due_) {
      heartbeat_due_ = now + settings_.delays.heartbeat;
      broadcast(true);
    }
    decide_on_members();
  } else if (retiring_) {
    // It does not ask to be admitted, as its process is about to end.
    if (now >= heartbeat_due_) {
      heartbeat_due_ = now + settings_.delays.heartbeat;
      send_departure();
    }
    if (may_stand() && now >= election_due_) start_election(true, false);
  } else {
    // The group does not know the new incarnation of a replica that lost its
    // disk and sends nothing to it until it receives a hello.
    bool known =
        find_member(settings_.id) != nullptr &&
        find_member(settings_.id)->incarnation == settings_.incarnation;
    bool may_be_removed = now - last_leader_contact_ > silence_before_hello;
    if ((!known || may_be_removed) && now >= heartbeat_due_) {
      heartbeat_due_ = now + hello_interval;
      send_hello();
    }
    if (may_stand() && now >= election_due_) {
      start_election(true, false);
    }
  }
  return take_effects();
}

void replica::become_follower(term_number term, replica_id leader) {
  if (term > hard_.term) {
    hard_ = {term, {}};
    persist_hard();
  }
  // Until its last contact with a quorum: a leader may notice a pause late.
  if (role_ == role::leader)
    led_until_ = std::max(leading_since_, lease_start());
  leader_ = leader;
  transferring_ = false;
  in_pre_vote_ = false;
  if (role_ != role::bootstrapping || !members_.empty()) {
    role_ = is_voter() ? role::follower : role::learner;
  }
  election_due_ = now_ + random_timeout();
}

void replica::start_election(bool pre_vote, bool transfer) {
  role_ = role::candidate;
  leader_ = {};
  in_pre_vote_ = pre_vote;
  if (!pre_vote) {
    hard_ = {hard_.term.next(), settings_.id};
    persist_hard();
  }
  election_due_ = now_ + random_timeout();
  votes_.clear();
  votes_[settings_.id] = true;
  for (const auto& m : members_) {
    if (has_vote(m) && m.id != settings_.id) {
      send(m.id, vote_request{last_position(), pre_vote, transfer});
    }
  }
  if (!has_quorum(votes_)) return;
  if (pre_vote) {
    start_election(false, transfer);
  } else {
    become_leader();
  }
}

void replica::handle(const message& in, const vote_request& request) {
  // The lease of a leader that sent a message recently may still be valid, so
  // no other replica gets a vote.
  bool has_leader = has_recent_leader_contact() && !request.transfer;
  if (request.pre_vote) {
    bool granted = !has_leader && role_ != role::leader &&
                   in.term >= hard_.term && request.last >= last_position();
    reply(in, vote_reply{true, granted});
    return;
  }
  if (has_leader || in.term < hard_.term) {
    reply(in, vote_reply{false, false});
    return;
  }
  if (in.term > hard_.term) become_follower(in.term, {});
  bool can_vote = hard_.voted_for == replica_id{} || hard_.voted_for == in.from;
  bool granted =
      can_vote && role_ != role::leader && request.last >= last_position();
  if (granted) {
    hard_.voted_for = in.from;
    persist_hard();
    election_due_ = now_ + random_timeout();
  }
  reply(in, vote_reply{false, granted});
}

void replica::handle(const message& in, const vote_reply& response) {
  if (!response.pre_vote && in.term > hard_.term) {
    become_follower(in.term, {});
    return;
  }
  if (role_ != role::candidate || response.pre_vote != in_pre_vote_) return;
  if (!response.pre_vote && in.term != hard_.term) return;
  // A rejected pre-vote from a later term updates the term of a stale
  // candidate.
  if (response.pre_vote && !response.granted && in.term > hard_.term) {
    become_follower(in.term, {});
    return;
  }
  votes_[in.from] = response.granted;
  if (!has_quorum(votes_)) return;
  if (response.pre_vote) {
    start_election(false, false);
  } else {
    become_leader();
  }
}

void replica::become_leader() {
  role_ = role::leader;
  leader_ = settings_.id;
  leading_since_ = now_;
  transferring_ = false;
  progress_.clear();
  for (const auto& m : members_) {
    progress_[m.id] = new_progress(m);
    if (m.id == last_leader_)
      progress_[m.id].received_at = last_leader_contact_;
  }
  heartbeat_due_ = now_ + settings_.delays.heartbeat;
  log_entry no_op{
      {hard_.term, last_position().index.next()}, entry_kind::no_op, {}, {}};
  append_local({no_op});
  broadcast(true);
}

auto replica::new_progress(const member& m) const -> progress {
  progress peer;
  peer.incarnation = m.incarnation;
  peer.next = last_position().index.next();
  peer.received_at = now_;
  return peer;
}

void replica::append_local(std::vector<log_entry> entries) {
  for (const auto& entry : entries) {
    log_.push_back(entry);
    if (entry.kind == entry_kind::membership) adopt_members(entry);
  }
  effects_.emplace_back(persist_entries{std::move(entries)});
}

void replica::adopt_members(const log_entry& entry) {
  members_ = entry.members;
  members_index_ = entry.position.index;
  if (role_ == role::leader) {
    for (const auto& m : members_) {
      // A new incarnation starts with an empty log, so the progress of the
      // earlier one does not count.
      auto it = progress_.find(m.id);
      bool is_known =
          it != progress_.end() && it->second.incarnation == m.incarnation;
      if (!is_known) progress_[m.id] = new_progress(m);
    }
    std::erase_if(progress_, [&](const auto& item) {
      return find_member(item.first) == nullptr;
    });
  } else if (role_ != role::candidate) {
    role_ = is_voter() ? role::follower : role::learner;
  }
}

void replica::restore_members_before(log_index index) {
  if (members_index_ < index) return;
  members_ = snapshot_members_;
  members_index_ = snapshot_last_.index;
  for (const auto& entry : log_) {
    if (entry.position.index >= index) break;
    if (entry.kind == entry_kind::membership) adopt_members(entry);
  }
}

auto replica::propose(std::span<const std::string> commands)
    -> std::optional<log_position> {
  if (role_ != role::leader || transferring_ || commands.empty()) return {};
  std::vector<log_entry> entries;
  entries.reserve(commands.size());
  auto index = last_position().index;
  for (const auto& command : commands) {
    index = index.next();
    entries.push_back({{hard_.term, index}, entry_kind::command, command, {}});
  }
  auto first = entries.front().position;
  append_local(std::move(entries));
  return first;
}

auto replica::propose_members(std::vector<member> members) -> bool {
  // A membership change is safe only after an entry of this term is
  // committed.
  if (!may_change_members()) return false;
  log_entry entry{{hard_.term, last_position().index.next()},
                  entry_kind::membership,
                  {},
                  std::move(members)};
  append_local({entry});
  broadcast(false);
  return true;
}

auto replica::flush(time_point now) -> std::vector<effect> {
  now_ = now;
  if (role_ == role::leader && broadcast_index_ < last_position().index) {
    broadcast(false);
  }
  return take_effects();
}

auto replica::handle_persisted(log_position last, time_point now)
    -> std::vector<effect> {
  now_ = now;
  if (term_at(last.index) == last.term && last.index > persisted_) {
    persisted_ = last.index;
  }
  if (role_ == role::leader) advance_commit();
  return take_effects();
}

void replica::broadcast(bool heartbeat) {
  broadcast_index_ = last_position().index;
  for (const auto& m : members_) {
    if (m.id != settings_.id) send_append(m.id, heartbeat);
  }
}

void replica::send_append(replica_id to, bool heartbeat) {
  auto& peer = progress_[to];
  if (peer.next <= snapshot_last_.index) {
    send_snapshot(to, peer);
    return;
  }
  do {
    auto previous = log_index{peer.next.value - 1};
    append_request request{{*term_at(previous), previous}, {}, commit_, now_};
    std::size_t bytes = 0;
    while (peer.next <= last_position().index &&
           request.entries.size() < max_batch_entries &&
           bytes < max_batch_bytes) {
      request.entries.push_back(entry_at(peer.next));
      bytes += request.entries.back().payload.size();
      peer.next = peer.next.next();
    }
    if (request.entries.empty() && !heartbeat) return;
    peer.sent_at = now_;
    send(to, std::move(request), true);
    // A peer that does not respond gets one batch per heartbeat, not the whole
    // log.
    heartbeat = false;
  } while (peer.match.value + 4 * max_batch_entries > peer.next.value &&
           peer.next <= last_position().index);
}

void replica::send_snapshot(replica_id to, progress& peer) {
  if (snapshot_ == nullptr) return;
  if (peer.in_snapshot && now_ - peer.sent_at < snapshot_resend_interval)
    return;
  if (!peer.in_snapshot) peer.snapshot_offset = 0;
  peer.in_snapshot = true;
  auto offset =
      std::min<std::uint64_t>(peer.snapshot_offset, snapshot_->size());
  snapshot_chunk chunk;
  chunk.last = snapshot_last_;
  chunk.members = snapshot_members_;
  chunk.offset = offset;
  chunk.bytes = snapshot_->substr(offset, snapshot_chunk_bytes);
  chunk.done = offset + chunk.bytes.size() == snapshot_->size();
  chunk.sent_at = now_;
  peer.sent_at = now_;
  send(to, std::move(chunk), true);
}

void replica::handle(const message& in, const append_request& request) {
  if (in.term < hard_.term) {
    reply(in, append_reply{false, last_position().index, {}});
    return;
  }
  if (in.term > hard_.term || role_ == role::candidate || leader_ != in.from) {
    become_follower(in.term, in.from);
  }
  record_leader_contact(in.from);
  election_due_ = now_ + random_timeout();
  auto previous_term = term_at(request.previous.index);
  if (request.previous.index > snapshot_last_.index &&
      previous_term != request.previous.term) {
    auto resume_index =
        std::min(last_position().index.value, request.previous.index.value - 1);
    resume_index = std::max(resume_index, commit_.value);
    reply(in, append_reply{false, {resume_index}, request.sent_at});
    return;
  }
  std::vector<log_entry> new_entries;
  for (const auto& entry : request.entries) {
    if (entry.position.index <= snapshot_last_.index) continue;
    if (new_entries.empty() &&
        term_at(entry.position.index) == entry.position.term) {
      continue;
    }
    new_entries.push_back(entry);
  }
  if (!new_entries.empty()) {
    auto first = new_entries.front().position.index;
    if (first <= last_position().index) {
      log_.erase(
          log_.begin() + static_cast<std::ptrdiff_t>(
                             first.value - snapshot_last_.index.value - 1),
          log_.end());
      restore_members_before(first);
      persisted_ = std::min(persisted_, log_index{first.value - 1});
    }
    append_local(std::move(new_entries));
  }
  auto match = log_index{request.previous.index.value + request.entries.size()};
  match = std::max(match, snapshot_last_.index);
  auto committed = std::min(request.commit, match);
  if (committed > commit_) {
    commit_ = committed;
    apply_committed();
  }
  acknowledge(in, match, request.sent_at);
}

void replica::record_leader_contact(replica_id leader) {
  auto last_contact = std::max(last_leader_contact_, led_until_);
  if (now_ - last_contact > max_contact_pause) in_contact_since_ = now_;
  last_leader_contact_ = now_;
  last_leader_ = leader;
}

void replica::acknowledge(const message& in, log_index match,
                          time_point sent_at) {
  auto in_contact_for =
      std::chrono::duration_cast<milliseconds>(now_ - in_contact_since_);
  reply(in, append_reply{true, match, sent_at, in_contact_for});
}

void replica::handle(const message& in, const append_reply& response) {
  if (in.term > hard_.term) {
    become_follower(in.term, {});
    return;
  }
  auto it = progress_.find(in.from);
  if (role_ != role::leader || in.term != hard_.term || it == progress_.end()) {
    return;
  }
  auto& peer = it->second;
  peer.acked_at = std::max(peer.acked_at, response.sent_at);
  peer.received_at = now_;
  if (response.in_contact_for)
    peer.in_contact_since = now_ - *response.in_contact_for;
  if (response.accepted) {
    peer.in_snapshot = false;
    peer.match = std::max(peer.match, response.match);
    peer.next = std::max(peer.next, peer.match.next());
    advance_commit();
    if (peer.next <= last_position().index) send_append(in.from, false);
  } else if (response.sent_at >= peer.resent_at) {
    // Appends sent before the last resend are rejected as well; these
    // rejections must not make the leader send all missing entries again.
    peer.next = std::max(response.match, peer.match).next();
    peer.resent_at = now_;
    send_append(in.from, false);
  }
  bool caught_up = response.accepted && peer.match == last_position().index;
  if (transferring_ && caught_up && response.sent_at >= transfer_started_at_) {
    continue_transfer(in.from);
  }
}

// Only one voter is told to stand for election, because several would split the
// votes. It is told again until it does, as a message may be lost, and after a
// while one that was not told yet is chosen, as the first may have stopped.
void replica::continue_transfer(replica_id acknowledged_by) {
  const auto* voter = find_member(acknowledged_by);
  if (voter == nullptr || !votes_after_exchange(*voter)) return;
  bool may_choose =
      transfer_targets_.empty() ||
      now_ >= transfer_target_since_ + settings_.delays.transfer_attempt;
  bool was_chosen = std::ranges::find(transfer_targets_, acknowledged_by) !=
                    transfer_targets_.end();
  if (may_choose && !was_chosen) {
    transfer_targets_.push_back(acknowledged_by);
    transfer_target_since_ = now_;
  }
  if (!transfer_targets_.empty() && transfer_targets_.back() == acknowledged_by)
    send(acknowledged_by, timeout_now{});
}

void replica::handle(const message& in, const snapshot_chunk& chunk) {
  if (in.term < hard_.term) {
    reply(in, append_reply{false, last_position().index, {}});
    return;
  }
  if (in.term > hard_.term || leader_ != in.from) {
    become_follower(in.term, in.from);
  }
  record_leader_contact(in.from);
  election_due_ = now_ + random_timeout();
  if (chunk.last.index <= commit_) {
    acknowledge(in, commit_, chunk.sent_at);
    return;
  }
  // The log already contains what the snapshot covers, from appends that were
  // under way. The entries after it may be acknowledged, so they are kept.
  if (term_at(chunk.last.index) == chunk.last.term) {
    commit_ = chunk.last.index;
    apply_committed();
    acknowledge(in, commit_, chunk.sent_at);
    return;
  }
  if (incoming_last_ != chunk.last || incoming_term_ != in.term) {
    incoming_last_ = chunk.last;
    incoming_term_ = in.term;
    incoming_snapshot_.clear();
  }
  if (chunk.offset == incoming_snapshot_.size()) {
    incoming_snapshot_ += chunk.bytes;
    if (chunk.done) {
      snapshot_ = std::make_shared<const std::string>(
          std::exchange(incoming_snapshot_, {}));
      incoming_last_ = {};
      log_.clear();
      snapshot_last_ = chunk.last;
      snapshot_members_ = chunk.members;
      members_ = chunk.members;
      members_index_ = commit_ = applied_ = persisted_ = chunk.last.index;
      role_ = is_voter() ? role::follower : role::learner;
      effects_.emplace_back(
          persist_snapshot{snapshot_last_, members_, snapshot_});
      acknowledge(in, commit_, chunk.sent_at);
      return;
    }
  }
  reply(in,
        snapshot_reply{chunk.last, incoming_snapshot_.size(), chunk.sent_at});
}

void replica::handle(const message& in, const snapshot_reply& response) {
  auto it = progress_.find(in.from);
  if (role_ != role::leader || it == progress_.end()) return;
  auto& peer = it->second;
  peer.acked_at = std::max(peer.acked_at, response.sent_at);
  peer.received_at = now_;
  if (response.last != snapshot_last_) {
    // A newer snapshot replaced the one being sent.
    peer.in_snapshot = false;
  } else {
    peer.snapshot_offset = response.received;
    peer.sent_at = {};
  }
  send_append(in.from, false);
}

void replica::handle(const message& in, const timeout_now&) {
  if (in.term == hard_.term && may_stand()) start_election(false, true);
}

// Commits an entry once a quorum has it on disk. As in Raft, only entries of
// the current term are committed by counting replicas.
void replica::advance_commit() {
  auto quorum_index = quorum_value(
      members_, [&](const member& m) { return match_index(m.id); });
  if (quorum_index <= commit_ || term_at(quorum_index) != hard_.term) return;
  commit_ = quorum_index;
  apply_committed();
  if (in_exchange(members_)) complete_exchange();
}

void replica::apply_committed() {
  while (applied_ < commit_) {
    applied_ = applied_.next();
    effects_.emplace_back(apply_entry{entry_at(applied_)});
  }
}

auto replica::lease_start() const -> time_point {
  return quorum_value(members_, [&](const member& m) {
    if (m.id == settings_.id) return now_;
    auto it = progress_.find(m.id);
    return it == progress_.end() ? time_point{} : it->second.acked_at;
  });
}

auto replica::may_serve(time_point now) const -> bool {
  if (role_ != role::leader || transferring_ || !is_voter()) return false;
  if (term_at(commit_) != hard_.term) return false;
  auto start = members_.size() == 1 ? now : lease_start();
  return now - start < settings_.delays.lease;
}

void replica::compact(log_position last,
                      std::shared_ptr<const std::string> snapshot) {
  if (last.index <= snapshot_last_.index || last.index > applied_) return;
  while (!log_.empty() && log_.front().position.index <= last.index) {
    if (log_.front().kind == entry_kind::membership) {
      snapshot_members_ = log_.front().members;
    }
    log_.pop_front();
  }
  snapshot_last_ = last;
  snapshot_ = std::move(snapshot);
  for (auto& [id, peer] : progress_) peer.in_snapshot = false;
}

// The only voter of a group stands even while it retires: nobody else can lead.
auto replica::may_stand() const -> bool {
  return is_voter() && (!retiring_ || voter_count() == 1);
}

auto replica::retire(time_point now) -> std::vector<effect> {
  retiring_ = true;
  return transfer_leadership(now);
}

auto replica::transfer_leadership(time_point now) -> std::vector<effect> {
  now_ = now;
  begin_transfer();
  return take_effects();
}

void replica::begin_transfer() {
  if (role_ != role::leader || transferring_) return;
  transferring_ = true;
  transfer_targets_.clear();
  transfer_started_at_ = now_;
  transfer_deadline_ = now_ + settings_.delays.transfer_timeout;
  broadcast(true);
}

}  // namespace parsleyledge::agreement
