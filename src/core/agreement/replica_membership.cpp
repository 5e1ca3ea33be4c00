// How a replica joins and leaves its group, and what the leader decides on the
// members.

#include <algorithm>
#include <set>
#include <utility>

#include "core/agreement/replica.h"

namespace parsleyledge::agreement {

namespace {

// How long the report of a peer that its log is empty holds. The peer may have
// lost its disk, and have joined an existing group since.
constexpr milliseconds empty_report_validity{1000};
constexpr std::uint64_t max_promotion_lag = 64;  // entries
// Longer than a restart, so that a voter that restarts is not removed.
constexpr milliseconds unresponsive_timeout{3000};
// How long a departure holds after the last message that says so. A member that
// responds later has returned.
constexpr milliseconds departure_validity{1000};
// Between the starts of the replicas of a site that starts for the first time.
constexpr milliseconds first_start_spread{1000};

}  // namespace

auto to_string(member_action value) -> std::string_view {
  switch (value) {
    case member_action::admitted:
      return "admitted";
    case member_action::readmitted:
      return "readmitted";
    case member_action::promoted:
      return "promoted";
    case member_action::removed:
      return "removed";
    case member_action::kept:
      return "kept";
  }
  return "unknown";
}

void replica::send_hello() {
  auto own = address_of(settings_.id);
  std::set<replica_id> all;
  for (const auto& peer : settings_.peers) all.insert(peer.id);
  // A replica that was removed from the group may know its members only from
  // its disk.
  for (const auto& m : members_) all.insert(m.id);
  for (const auto& [id, address] : contacts_) all.insert(id);
  all.erase(settings_.id);
  auto age = role_ == role::bootstrapping ? first_start_age() : std::nullopt;
  hello greeting{false,          false, own, age, settings_.data_centre,
                 own_admission()};
  for (auto id : all) send(id, greeting);
}

void replica::send_departure() {
  if (departure_decided_ || leader_ == settings_.id) return;
  if (find_member(settings_.id) != nullptr) send(leader_, departure{});
}

auto replica::first_start_age() const -> std::optional<milliseconds> {
  bool is_first = settings_.first_start && started_empty_;
  if (!is_first) return {};
  return std::chrono::duration_cast<milliseconds>(now_ - started_at_);
}

void replica::add_contact(replica_id id, std::string_view address) {
  if (id != settings_.id) contacts_[id] = address;
}

// Only the replica with the lowest id bootstraps the group, and only after
// every peer has just reported an empty log. Otherwise a replica that lost its
// data folder could bootstrap a second group.
void replica::bootstrap_group() {
  if (!settings_.may_bootstrap) return;
  auto lowest = std::ranges::min_element(settings_.peers, {}, &member::id);
  if (lowest == settings_.peers.end() || lowest->id != settings_.id) return;
  std::erase_if(bootstrap_candidates_, [&](const auto& item) {
    return now_ - item.second.reported_at > empty_report_validity;
  });
  if (bootstrap_candidates_.size() + 1 < settings_.peers.size()) return;
  std::vector<member> voters;
  for (const auto& peer : settings_.peers) {
    auto it = bootstrap_candidates_.find(peer.id);
    if (peer.id == settings_.id) {
      voters.push_back({peer.id, settings_.incarnation, peer.address, true,
                        false, settings_.data_centre});
    } else if (it != bootstrap_candidates_.end()) {
      voters.push_back({peer.id, it->second.incarnation, peer.address, true,
                        false, it->second.data_centre});
    } else {
      return;
    }
  }
  hard_.term = {1};
  persist_hard();
  log_entry first{{hard_.term, {1}}, entry_kind::membership, {}, voters};
  role_ = role::follower;
  append_local({first});
  election_due_ = now_;
}

void replica::handle(const message& in, const hello& greeting) {
  if (greeting.reply) {
    contacts_[in.from] = greeting.address;
    if (greeting.bootstrapped) {
      bootstrap_candidates_.erase(in.from);
    } else {
      bootstrap_candidates_[in.from] = {in.from_incarnation,
                                        greeting.data_centre, now_};
    }
    return;
  }
  effects_.emplace_back(send_message{{settings_.id, settings_.incarnation,
                                      in.from, in.from_incarnation, hard_.term,
                                      hello{role_ != role::bootstrapping,
                                            true,
                                            address_of(settings_.id),
                                            {},
                                            settings_.data_centre,
                                            {}}},
                                     greeting.address,
                                     false});
  if (role_ != role::leader) {
    if (find_member(in.from) == nullptr) forward_to_leader(in);
    return;
  }
  readmit_member(in, greeting);
  if (settings_.admits_unknown_replicas) admit_unknown_replica(in, greeting);
}

// An unknown replica may have the addresses of followers only.
void replica::forward_to_leader(const message& in) {
  const auto* leader = find_member(leader_);
  if (leader == nullptr) return;
  auto forwarded = in;
  forwarded.to = leader_;
  effects_.emplace_back(
      send_message{std::move(forwarded), leader->address, true});
}

// An unknown replica is added as a learner, because it has no log or term to
// vote by, and promoted to a voter once it has caught up.
void replica::admit_unknown_replica(const message& in, const hello& greeting) {
  if (find_member(in.from) != nullptr || greeting.address.empty()) return;
  member added;
  added.id = in.from;
  added.incarnation = in.from_incarnation;
  added.address = greeting.address;
  added.voter = false;
  added.surplus = replaces_another(greeting);
  added.data_centre = greeting.data_centre;
  if (greeting.admitted_at) {
    added.admitted_at = *greeting.admitted_at;
  } else if (!starts_with_group(greeting)) {
    added.admitted_at = last_position().index.next();
  }
  auto changed = members_;
  changed.push_back(added);
  change_members(
      std::move(changed),
      describe(member_action::admitted, added,
               added.surplus ? "replaces another" : "adds to the size"));
}

// A replica that starts together with the leader belongs to the group from the
// beginning. A later one replaces a member, which may be lost already or leave
// any time later.
auto replica::starts_with_group(const hello& greeting) const -> bool {
  auto own_age = first_start_age();
  if (!own_age || !greeting.first_start_age) return false;
  return std::chrono::abs(*own_age - *greeting.first_start_age) <=
         first_start_spread;
}

auto replica::replaces_another(const hello& greeting) const -> bool {
  return group_size() >= settings_.min_voters && !starts_with_group(greeting);
}

// A replica that was removed and does not know when it was admitted ranks with
// the members since the first start, so that it replaces no later one.
auto replica::own_admission() const -> std::optional<log_index> {
  if (members_.empty()) return {};
  const auto* self = find_member(settings_.id);
  return self == nullptr ? log_index{} : self->admitted_at;
}

auto replica::silence_of(replica_id id) const -> milliseconds {
  auto it = progress_.find(id);
  if (id == settings_.id || it == progress_.end()) return {};
  return std::chrono::duration_cast<milliseconds>(now_ -
                                                  it->second.received_at);
}

auto replica::is_live(const member& m) const -> bool {
  return silence_of(m.id) < settings_.delays.election_min;
}

// Whether the process of a member is about to end, or has ended since it said
// so.
auto replica::is_departing(replica_id id) const -> bool {
  auto it = progress_.find(id);
  if (it == progress_.end() || !it->second.departing_at) return false;
  return it->second.received_at <=
         *it->second.departing_at + departure_validity;
}

// Which member was replaced shows only once it leaves. Until then, each voter
// may be the one in a group with more voters than its size.
auto replica::is_surplus(const member& m) const -> bool {
  return m.voter ? voter_count() > group_size() : m.surplus;
}

auto replica::others_keep_quorum(replica_id without) const -> bool {
  std::size_t voters = 0;
  std::size_t live = 0;
  for (const auto& m : members_) {
    if (!m.voter || m.id == without) continue;
    ++voters;
    if (is_live(m)) ++live;
  }
  return live >= voters / 2 + 1;
}

// Removes a surplus member that leaves or does not respond, however long after
// the admission of its successor. If another one than the replaced one is
// removed, because it was silent for a while, it is admitted again when it
// returns, and the replaced one is removed later.
void replica::remove_surplus_member() {
  const member* chosen = nullptr;
  for (const auto& m : members_) {
    if (m.id == settings_.id) continue;
    bool departing = is_departing(m.id);
    auto& peer = progress_[m.id];
    if (!departing && silence_of(m.id) <= unresponsive_timeout) {
      peer.kept_despite_silence = false;
      continue;
    }
    if (!is_surplus(m) || !others_keep_quorum(m.id)) {
      if (!departing && !peer.kept_despite_silence) {
        peer.kept_despite_silence = true;
        effects_.emplace_back(describe(member_action::kept, m,
                                       is_surplus(m)
                                           ? "silent, the others lack a quorum"
                                           : "silent, not surplus"));
      }
      continue;
    }
    bool better = chosen == nullptr ||
                  (departing && !is_departing(chosen->id)) ||
                  (departing == is_departing(chosen->id) &&
                   silence_of(m.id) > silence_of(chosen->id));
    if (better) chosen = &m;
  }
  if (chosen == nullptr) return;
  remove_member(chosen->id, is_departing(chosen->id) ? "departing" : "silent");
}

void replica::remove_member(replica_id id, std::string_view reason) {
  auto removed = *find_member(id);
  auto changed = members_;
  std::erase_if(changed, [&](const member& m) { return m.id == id; });
  // The group keeps its size: the removal of a member that replaces no other
  // completes the replacement by one that does.
  if (!removed.surplus) {
    auto successor = std::ranges::find(changed, true, &member::surplus);
    if (successor != changed.end()) successor->surplus = false;
  }
  contacts_[id] = removed.address;  // to respond to its departure
  change_members(std::move(changed),
                 describe(member_action::removed, removed, reason));
}

auto replica::describe(member_action action, const member& about,
                       std::string_view reason) const -> member_decision {
  log_index behind{last_position().index.value - match_index(about.id).value};
  return {action,        about.id,     about.address,        reason,
          voter_count(), group_size(), silence_of(about.id), behind};
}

void replica::change_members(std::vector<member> members,
                             member_decision decision) {
  if (propose_members(std::move(members)))
    effects_.emplace_back(std::move(decision));
}

void replica::handle(const message& in, const departure&) {
  if (role_ != role::leader) return;
  const auto* leaving = find_member(in.from);
  if (leaving == nullptr) {
    // The removal counts once it is committed.
    if (members_index_ <= commit_) reply(in, departure_reply{});
    return;
  }
  if (leaving->incarnation != in.from_incarnation) return;
  bool first = !is_departing(in.from);
  progress_[in.from].departing_at = now_;
  if (voter_count() > group_size()) {
    remove_surplus_member();
    return;
  }
  // A successor that is not a voter yet may become one before the sender ends.
  bool awaits_successor = members_.size() > group_size();
  if (awaits_successor) return;
  if (first) {
    effects_.emplace_back(
        describe(member_action::kept, *leaving, "departing, not surplus"));
  }
  reply(in, departure_reply{});
}

void replica::handle(const message&, const departure_reply&) {
  departure_decided_ = true;
}

// A member that returns under a new incarnation lost its disk. It becomes a
// learner, because it no longer knows its votes and acknowledged entries.
void replica::readmit_member(const message& in, const hello& greeting) {
  const auto* known = find_member(in.from);
  if (known == nullptr || known->incarnation == in.from_incarnation) return;
  auto readmitted = *known;
  readmitted.incarnation = in.from_incarnation;
  readmitted.address = greeting.address;
  readmitted.data_centre = greeting.data_centre;
  readmitted.voter = false;
  auto changed = members_;
  std::ranges::replace(changed, *known, readmitted);
  change_members(std::move(changed), describe(member_action::readmitted,
                                              readmitted, "lost its disk"));
}

void replica::promote_learners() {
  for (const auto& m : members_) {
    if (m.voter) continue;
    auto it = progress_.find(m.id);
    if (it == progress_.end() || it->second.in_snapshot) continue;
    bool alive = now_ - it->second.received_at < settings_.delays.election_min;
    bool caught_up = it->second.match.value + max_promotion_lag >=
                         last_position().index.value &&
                     it->second.match >= members_index_;
    if (!alive || !caught_up) continue;
    auto changed = members_;
    for (auto& c : changed) {
      if (c.id == m.id) c.voter = true;
    }
    change_members(std::move(changed),
                   describe(member_action::promoted, m, "caught up"));
    return;
  }
}

}  // namespace parsleyledge::agreement
