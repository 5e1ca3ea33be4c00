// What a replica tells operators about the quorum of its group.

#include <algorithm>

#include "core/agreement/quorum.h"
#include "core/agreement/replica.h"

namespace parsleyledge::agreement {

namespace {

// Longer than the intervals of greetings and of elections without a leader.
constexpr milliseconds response_timeout{2500};

}  // namespace

void replica::record_contact(const message& in) {
  const auto* sender = find_member(in.from);
  bool is_current =
      members_.empty() ||
      (sender != nullptr && sender->incarnation == in.from_incarnation);
  if (is_current) heard_at_[in.from] = now_;
}

auto replica::silence_of_peer(replica_id id, time_point now) const
    -> std::optional<milliseconds> {
  auto it = heard_at_.find(id);
  if (it == heard_at_.end()) return {};
  return std::chrono::duration_cast<milliseconds>(now - it->second);
}

void replica::give_up_leadership(std::string_view reason) {
  leadership_lost lost{reason, {}};
  for (const auto& m : members_) {
    auto it = progress_.find(m.id);
    if (!has_vote(m) || m.id == settings_.id || it == progress_.end()) continue;
    // A voter that acknowledged nothing counts from the start of the
    // leadership.
    auto acknowledged_at = std::max(it->second.acked_at, leading_since_);
    lost.voters.push_back({m.address, std::chrono::duration_cast<milliseconds>(
                                          now_ - acknowledged_at)});
  }
  effects_.emplace_back(std::move(lost));
  become_follower(hard_.term, {});
}

auto replica::quorum(time_point now) const -> quorum_status {
  quorum_status status;
  if (role_ == role::leader) return status;
  auto silence = now - std::max(last_leader_contact_, led_until_);
  if (silence <= settings_.delays.election_max) return status;
  status.without_leader = std::chrono::duration_cast<milliseconds>(silence);
  bool is_formed = !members_.empty();
  const auto& group = is_formed ? members_ : settings_.peers;
  auto responds = [&](const member& m) {
    if (m.id == settings_.id) return !is_formed || is_voter();
    auto peer_silence = silence_of_peer(m.id, now);
    return peer_silence && *peer_silence <= response_timeout;
  };
  for (const auto& m : group) {
    if (has_vote(m) && !responds(m))
      status.missing.push_back({m.address, silence_of_peer(m.id, now)});
  }
  // All peers have to respond before the group is formed.
  status.has_quorum =
      is_formed ? is_quorum(members_, responds) : status.missing.empty();
  return status;
}

}  // namespace parsleyledge::agreement
