#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace parsleyledge::agreement {

/// What a replica knows of the quorum of its group while it has no leader.
struct quorum_status {
  /// A voter, or before the group is formed a peer, that does not respond.
  struct missing_member {
    std::string address;
    // Since its last message; nullopt if there was none since this process
    // started, or none of the incarnation that has the vote.
    std::optional<milliseconds> silence;

    auto operator==(const missing_member&) const -> bool = default;
  };

  // How long this replica has had no leader; zero if it has one or leads.
  milliseconds without_leader{};
  // Whether the voters that respond, with this replica, are a quorum.
  bool has_quorum = true;
  std::vector<missing_member> missing;
};

}  // namespace parsleyledge::agreement
