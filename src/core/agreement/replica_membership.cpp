// How a replica joins and leaves its group, and what the leader decides on the
// members.

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "core/agreement/quorum.h"
#include "core/agreement/replica.h"

namespace parsleyledge::agreement {

namespace {

// How long the report of a peer that its log is empty holds. The peer may have
// lost its disk, and have joined an existing group since.
constexpr milliseconds empty_report_validity{1000};
constexpr std::uint64_t max_promotion_lag = 64;  // entries
// Longer than a restart, so that a voter that restarts keeps its place.
constexpr milliseconds unresponsive_timeout{3000};
// How long a member is silent before a successor that runs takes its place.
// Shorter, as the successor shows that the member is to be replaced.
constexpr milliseconds replaced_member_timeout{1000};
// How long a silent surplus member is kept, so that it is known when it
// returns, even without its disk.
constexpr milliseconds surplus_retention{600'000};
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
    case member_action::exchanged:
      return "exchanged";
    case member_action::replaced:
      return "replaced";
    case member_action::suspended:
      return "suspended";
    case member_action::confirmed:
      return "confirmed";
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
  // Another change of the members would alter both sets of voters.
  if (in_exchange(members_)) return;
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
// vote by. If it adds to the size of the group, it becomes a voter once it has
// caught up. Otherwise it takes the place of another member.
void replica::admit_unknown_replica(const message& in, const hello& greeting) {
  if (find_member(in.from) != nullptr || greeting.address.empty()) return;
  member added;
  added.id = in.from;
  added.incarnation = in.from_incarnation;
  added.address = greeting.address;
  added.voter = false;
  bool belongs_to_group = starts_with_group(greeting);
  added.surplus = !belongs_to_group && group_size() >= settings_.min_voters;
  added.data_centre = greeting.data_centre;
  if (greeting.admitted_at) {
    added.admitted_at = *greeting.admitted_at;
  } else if (!belongs_to_group) {
    added.admitted_at = last_position().index.next();
  }
  auto changed = members_;
  changed.push_back(added);
  change_members(std::move(changed),
                 describe(member_action::admitted, added,
                          added.surplus ? "surplus" : "adds to the size"));
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

auto replica::is_leaving(const member& m) const -> bool {
  return is_departing(m.id) || silence_of(m.id) > unresponsive_timeout;
}

auto replica::is_caught_up(const member& m) const -> bool {
  auto it = progress_.find(m.id);
  return it != progress_.end() && !it->second.in_snapshot &&
         it->second.match.value + max_promotion_lag >=
             last_position().index.value &&
         it->second.match >= members_index_;
}

// Whether a surplus member counts instead of the one that it replaces. It must
// have responded since its catch-up time ended, as it may be lost before.
auto replica::counts(const member& m) const -> bool {
  if (m.id == settings_.id)
    return now_ - in_contact_since_ >= settings_.catch_up_time;
  auto it = progress_.find(m.id);
  return is_live(m) && !is_departing(m.id) && is_caught_up(m) &&
         it->second.in_contact_since &&
         it->second.acked_at >=
             *it->second.in_contact_since + settings_.catch_up_time;
}

// Whether the members would have a quorum if only those that respond voted.
auto replica::has_live_quorum(std::span<const member> members) const -> bool {
  return is_quorum(members, [this](const member& m) { return is_live(m); });
}

// Whether a surplus member belongs in the place of another one: a replacement
// has the data centre of the replaced machine.
auto replica::shares_place(const member& newcomer, const member& m) const
    -> bool {
  if (m.surplus) return false;
  if (m.data_centre == newcomer.data_centre) return true;
  return std::ranges::none_of(members_, [&](const member& other) {
    return !other.surplus && other.data_centre == newcomer.data_centre;
  });
}

// Whether nobody can tell which of two members was replaced: both are earlier
// than one of their data centre that has taken a place.
auto replica::in_doubt(const member& a, const member& b) const -> bool {
  if (a.data_centre != b.data_centre) return false;
  return std::ranges::any_of(members_, [&](const member& successor) {
    return !successor.surplus && successor.data_centre == a.data_centre &&
           successor.admitted_at > std::max(a.admitted_at, b.admitted_at);
  });
}

// A later member replaces an earlier one of its data centre, not the reverse: a
// replaced machine must not get its vote back while its successor is away. A
// successor that is lost before it counted has replaced nobody.
auto replica::may_replace(const member& newcomer, const member& m) const
    -> bool {
  if (!shares_place(newcomer, m)) return false;
  bool is_same_place = m.data_centre == newcomer.data_centre;
  if (m.provisional && is_same_place && is_leaving(m)) return true;
  bool is_placed =
      !newcomer.data_centre.empty() && newcomer.data_centre == m.data_centre;
  if (in_doubt(newcomer, m) || !is_placed) {
    return is_leaving(m) || (newcomer.data_centre == m.data_centre &&
                             newcomer.admitted_at > m.admitted_at);
  }
  return newcomer.admitted_at > m.admitted_at;
}

auto replica::replaced_by(const member& newcomer) const -> const member* {
  auto rank = [&](const member& m) {
    return std::tuple(m.voter, is_leaving(m), is_departing(m.id),
                      m.id != settings_.id, silence_of(m.id));
  };
  const member* chosen = nullptr;
  for (const auto& m : members_) {
    if (!may_replace(newcomer, m)) continue;
    if (chosen == nullptr || rank(m) > rank(*chosen)) chosen = &m;
  }
  return chosen;
}

// Whether a member of a data centre is taken for lost while a successor runs
// there. Beside another member of the data centre it may not be the replaced
// one, and keeps its place during a restart.
auto replica::is_lost(const member& m) const -> bool {
  if (m.id == settings_.id) return false;
  auto members = std::ranges::count_if(members_, [&](const member& other) {
    return !other.surplus && other.data_centre == m.data_centre;
  });
  auto timeout = members > 1 ? unresponsive_timeout : replaced_member_timeout;
  return is_departing(m.id) || silence_of(m.id) > timeout;
}

// Whether a surplus member may take a place without counting.
auto replica::can_take_place(const member& newcomer) const -> bool {
  return !newcomer.data_centre.empty() && is_live(newcomer) &&
         !is_departing(newcomer.id) && is_caught_up(newcomer);
}

// The lost member whose place a successor takes before it counts. The lost one
// is the loss that the group tolerates until then. The moment at which the
// successor counts is too late: another member may be lost then, and the
// exchange needs it.
auto replica::lost_predecessor(const member& newcomer) const -> const member* {
  if (!can_take_place(newcomer)) return nullptr;
  const member* lost = nullptr;
  for (const auto& m : members_) {
    bool is_earlier = !m.surplus && m.data_centre == newcomer.data_centre &&
                      m.admitted_at < newcomer.admitted_at;
    if (!is_earlier || !is_lost(m) || in_doubt(newcomer, m)) continue;
    if (lost == nullptr || silence_of(m.id) > silence_of(lost->id)) lost = &m;
  }
  return lost;
}

// The successor that has taken the place of this member and does not count yet.
// The member gets it back as soon as it responds: if it counted first and
// waited, the successor and another member could be lost in between. Of two
// successors in a data centre nobody can tell whose place it was.
auto replica::provisional_successor(const member& newcomer) const
    -> const member* {
  if (!can_take_place(newcomer)) return nullptr;
  const member* successor = nullptr;
  for (const auto& m : members_) {
    bool is_later = !m.surplus && m.data_centre == newcomer.data_centre &&
                    m.admitted_at > newcomer.admitted_at;
    if (!is_later) continue;
    if (successor != nullptr) return nullptr;
    successor = &m;
  }
  bool is_provisional =
      successor != nullptr && successor->provisional && !counts(*successor);
  return is_provisional ? successor : nullptr;
}

auto replica::may_change_members() const -> bool {
  return role_ == role::leader && !transferring_ && members_index_ <= commit_ &&
         term_at(commit_) == hard_.term;
}

// Decides on one change of the members at a time. The order puts first what the
// group needs in order to tolerate the next loss.
void replica::decide_on_members() {
  if (!may_change_members()) return;
  if (in_exchange(members_)) {
    complete_exchange();
    return;
  }
  log_silent_members();
  if (!exchange_member() && !confirm_member() && !change_vote())
    remove_surplus_member();
}

// Gives a surplus member the place of the member that it replaces, once it
// counts or the other one is lost.
auto replica::exchange_member() -> bool {
  for (const auto& newcomer : members_) {
    if (!newcomer.surplus) continue;
    exchange_cause cause{false, "counts", "its successor counts"};
    const auto* replaced = counts(newcomer) ? replaced_by(newcomer) : nullptr;
    if (replaced == nullptr) {
      cause = {false, "has returned", "does not count yet"};
      replaced = provisional_successor(newcomer);
    }
    if (replaced == nullptr && !counts(newcomer)) {
      cause = {true, "the other one is lost", "lost"};
      replaced = lost_predecessor(newcomer);
    }
    if (replaced != nullptr && exchange(newcomer, *replaced, cause))
      return true;
  }
  return false;
}

auto replica::confirm_member() -> bool {
  auto it = std::ranges::find_if(members_, [&](const member& m) {
    return m.provisional && !m.surplus && counts(m);
  });
  if (it == members_.end()) return false;
  auto changed = members_;
  changed[static_cast<std::size_t>(it - members_.begin())].provisional = false;
  auto decision = describe(member_action::confirmed, *it, "counts");
  change_members(std::move(changed), std::move(decision));
  return true;
}

// A voter is exchanged in two entries of the log (joint consensus), as a change
// of two members at once could elect two leaders. From the first entry on,
// decisions take a majority of the old voters and one of the new voters. Once
// it is committed, the second one ends the vote of the replaced member.
auto replica::exchange(member newcomer, member replaced,
                       const exchange_cause& cause) -> bool {
  // Leadership goes first, as a leader without a vote does not serve. The only
  // voter can transfer it to its successor alone, between the two entries.
  if (replaced.voter && replaced.id == settings_.id && voter_count() > 1) {
    begin_transfer();
    return true;
  }
  auto changed = members_;
  for (auto& m : changed) {
    if (m.id == newcomer.id) {
      m.surplus = replaced.voter;
      m.provisional = cause.provisional;
      if (replaced.voter) m.exchange = exchange_part::incoming;
    } else if (m.id == replaced.id) {
      m.surplus = !replaced.voter;
      m.provisional = false;
      if (replaced.voter) m.exchange = exchange_part::outgoing;
    }
  }
  if (!has_live_quorum(changed)) return false;
  change_members(std::move(changed),
                 describe(member_action::exchanged, newcomer, cause.exchanged));
  effects_.emplace_back(
      describe(member_action::replaced, replaced, cause.replaced));
  return true;
}

void replica::complete_exchange() {
  if (!may_change_members()) return;
  auto changed = members_;
  for (auto& m : changed) {
    bool is_outgoing = m.exchange == exchange_part::outgoing;
    if (m.exchange == exchange_part::none) continue;
    if (is_outgoing && m.id == settings_.id) {
      begin_transfer();
      return;
    }
    m.voter = !is_outgoing;
    m.surplus = is_outgoing;
    m.exchange = exchange_part::none;
  }
  propose_members(std::move(changed));
}

auto replica::may_be_replaced_one(const member& m) const -> bool {
  return std::ranges::any_of(members_, [&](const member& other) {
    return other.surplus && in_doubt(other, m);
  });
}

// How many voters may be replaced ones, given that each surplus member in doubt
// may have been taken for one of them.
auto replica::doubtful_votes(std::span<const member> members) const
    -> std::size_t {
  struct counts {
    std::size_t surplus = 0;
    std::size_t voters = 0;
  };
  std::map<std::string_view, log_index> latest;
  for (const auto& m : members) {
    auto& index = latest[m.data_centre];
    if (!m.surplus) index = std::max(index, m.admitted_at);
  }
  std::map<std::string_view, counts> places;
  for (const auto& m : members) {
    if (m.admitted_at >= latest[m.data_centre]) continue;
    auto& place = places[m.data_centre];
    if (m.surplus) ++place.surplus;
    if (m.voter) ++place.voters;
  }
  std::size_t doubtful = 0;
  for (const auto& [data_centre, count] : places) {
    doubtful += std::min(count.surplus, count.voters);
  }
  return doubtful;
}

// Whether the voters tolerate the loss of doubtful ones beside the usual
// losses.
auto replica::tolerates_doubt(std::span<const member> members) const -> bool {
  auto voters = static_cast<std::size_t>(
      std::ranges::count(members, true, &member::voter));
  if (voters == 0 || settings_.min_voters == 0) return voters != 0;
  auto tolerated = (settings_.min_voters - 1) / 2;
  return (voters - 1) / 2 >= tolerated + doubtful_votes(members);
}

// The members as they should be: all that do not lack entries vote, except for
// as few doubtful ones as it takes to tolerate the doubt. If no choice does,
// all vote. Of an even number of votes one is left out.
auto replica::wanted_members() const -> std::vector<member> {
  auto wanted = members_;
  std::vector<member*> doubtful;
  for (auto& m : wanted) {
    if (m.surplus) continue;
    bool was_suspended = !m.voter;
    m.voter = m.voter || (is_live(m) && is_caught_up(m));
    if (!m.voter || !may_be_replaced_one(m)) continue;
    doubtful.insert(was_suspended ? doubtful.begin() : doubtful.end(), &m);
  }
  auto all_vote = wanted;
  bool is_tolerated = tolerates_doubt(wanted);
  for (auto* m : doubtful) {
    if (is_tolerated) break;
    m->voter = false;
    is_tolerated = tolerates_doubt(wanted);
  }
  return without_spare_vote(is_tolerated ? std::move(wanted)
                                         : std::move(all_vote));
}

// Takes one vote if all members have one and their number is even, unless the
// tolerated losses need all: a split in two halves would leave neither a
// quorum, and one vote less tolerates as many losses. The member without it is
// the one that is most probably lost, then a doubtful one, and otherwise the
// same as before.
auto replica::without_spare_vote(std::vector<member> wanted) const
    -> std::vector<member> {
  auto votes = static_cast<std::size_t>(
      std::ranges::count(wanted, true, &member::voter));
  // Two votes keep each entry on two disks.
  constexpr std::size_t smallest_group = 3;
  bool has_spare = settings_.min_voters != 0 && votes == group_size() &&
                   votes % 2 == 0 && votes > settings_.min_voters &&
                   votes > smallest_group;
  if (!has_spare) return wanted;
  auto rank = [&](const member& m) {
    const auto* current = find_member(m.id);
    return std::tuple(m.voter, m.id != settings_.id, is_leaving(m),
                      may_be_replaced_one(m), !current->voter, m.id);
  };
  auto spare = std::ranges::max_element(
      wanted, {}, [&](const member& m) { return rank(m); });
  spare->voter = false;
  return wanted;
}

// Takes a step towards the wanted votes, one vote at a time. A vote is given
// before another one is taken, so that the tolerated losses never lack one.
auto replica::change_vote() -> bool {
  auto wanted = wanted_members();
  return change_votes_to(wanted, true) || change_votes_to(wanted, false);
}

auto replica::change_votes_to(std::span<const member> wanted, bool voter)
    -> bool {
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    const auto& m = members_[i];
    if (wanted[i].voter == m.voter || wanted[i].voter != voter) continue;
    if (m.voter && m.id == settings_.id) {
      begin_transfer();
      return true;
    }
    auto changed = members_;
    changed[i].voter = wanted[i].voter;
    if (!has_live_quorum(changed)) continue;
    auto reason = !m.voter                 ? "caught up"
                  : may_be_replaced_one(m) ? "may be the replaced one"
                                           : "even number of votes";
    auto decision =
        describe(m.voter ? member_action::suspended : member_action::promoted,
                 m, reason);
    change_members(std::move(changed), std::move(decision));
    return true;
  }
  return false;
}

// A surplus member has no vote, so its removal concerns no quorum. Silence says
// little: it may be cut off, and be the one that counts.
void replica::remove_surplus_member() {
  auto gone = std::ranges::find_if(members_, [&](const member& m) {
    return m.surplus && m.id != settings_.id &&
           (is_departing(m.id) || silence_of(m.id) > surplus_retention);
  });
  if (gone == members_.end()) return;
  auto removed = *gone;
  auto changed = members_;
  std::erase_if(changed, [&](const member& m) { return m.id == removed.id; });
  contacts_[removed.id] = removed.address;  // to respond to its departure
  change_members(std::move(changed),
                 describe(member_action::removed, removed,
                          is_departing(removed.id) ? "departing" : "silent"));
}

void replica::log_silent_members() {
  for (const auto& m : members_) {
    auto it = progress_.find(m.id);
    if (m.surplus || m.id == settings_.id || it == progress_.end()) continue;
    bool is_silent = silence_of(m.id) > unresponsive_timeout;
    bool is_new = is_silent && !it->second.kept_despite_silence;
    it->second.kept_despite_silence = is_silent;
    if (is_new && !is_departing(m.id)) {
      effects_.emplace_back(
          describe(member_action::kept, m, "silent, not surplus"));
    }
  }
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
  decide_on_members();
  leaving = find_member(in.from);
  if (leaving == nullptr) return;  // until its removal is committed
  auto departing = *leaving;
  bool is_replaced =
      departing.surplus || departing.exchange == exchange_part::outgoing;
  bool awaits_successor =
      std::ranges::any_of(members_, [&](const member& other) {
        return other.surplus && is_live(other) &&
               shares_place(other, departing) &&
               other.admitted_at >= departing.admitted_at;
      });
  if (is_replaced || awaits_successor) return;
  if (first) {
    effects_.emplace_back(
        describe(member_action::kept, departing, "departing, not surplus"));
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

}  // namespace parsleyledge::agreement
