#pragma once

#include <string>
#include <vector>

#include "core/strong.h"

namespace parsleyledge::agreement {

using replica_id = strong<struct replica_id_tag, std::uint32_t>;
using term_number = strong<struct term_number_tag>;
using log_index = strong<struct log_index_tag>;

/// Identifies one incarnation of a replica's data folder. A replica that lost
/// its folder restarts under a new incarnation.
using incarnation_number = strong<struct incarnation_tag>;

/// The position of an entry in the log.
struct log_position {
  term_number term;
  log_index index;

  auto operator<=>(const log_position&) const = default;
};

enum class entry_kind { no_op, command, membership };

struct log_entry;

/// The part of a member in an exchange of one voter for another. Until it is
/// complete, a decision takes a majority of the voters with the outgoing member
/// and a majority of the voters with the incoming one.
enum class exchange_part { none, outgoing, incoming };

/// A replica of the group. Learners receive the log but do not vote.
struct member {
  replica_id id;
  incarnation_number incarnation;
  std::string address;  // ip:port of the peer socket
  bool voter = true;    // before an exchange that is not complete
  // A learner that the size of the group does not count: it either replaces
  // another member or was replaced.
  bool surplus = false;
  std::string data_centre{};
  // The index of the entry that admitted it; 0 for a member since the first
  // start. Of two members in a data centre, the later one may replace the
  // earlier one.
  log_index admitted_at{};
  exchange_part exchange = exchange_part::none;
  // Whether it took the place of a lost member before it counted. The other one
  // gets the place back if it returns before that.
  bool provisional = false;

  auto operator==(const member&) const -> bool = default;
};

/// One entry of the replicated log. The payload of a command is opaque to the
/// protocol. A membership entry has no payload but the new list of members.
struct log_entry {
  log_position position;
  entry_kind kind = entry_kind::no_op;
  std::string payload;
  std::vector<member> members;
};

/// The part of Raft's persistent state that is not in the log.
struct hard_state {
  term_number term;
  replica_id voted_for;  // 0 for none

  auto operator==(const hard_state&) const -> bool = default;
};

}  // namespace parsleyledge::agreement
