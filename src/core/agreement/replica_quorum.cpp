// What a replica tells operators about the quorum of its group.

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

auto replica::quorum(time_point now) const -> quorum_status {
  quorum_status status;
  if (role_ == role::leader) return status;
  auto silence = now - last_leader_contact_;
  if (silence <= settings_.delays.election_max) return status;
  status.without_leader = std::chrono::duration_cast<milliseconds>(silence);
  const auto& group = members_.empty() ? settings_.peers : members_;
  std::size_t voters = 0;
  std::size_t responding = 0;
  for (const auto& m : group) {
    if (!m.voter) continue;
    ++voters;
    if (m.id == settings_.id) {
      if (members_.empty() || is_voter()) ++responding;
      continue;
    }
    auto peer_silence = silence_of_peer(m.id, now);
    if (peer_silence && *peer_silence <= response_timeout) {
      ++responding;
    } else {
      status.missing.push_back({m.address, peer_silence});
    }
  }
  // All peers have to respond before the group is formed.
  auto needed = members_.empty() ? voters : voters / 2 + 1;
  status.has_quorum = responding >= needed;
  return status;
}

}  // namespace parsleyledge::agreement
