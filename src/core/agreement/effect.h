#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/agreement/message.h"

namespace parsleyledge::agreement {

/// Write the term and vote to disk before sending any message.
struct persist_hard_state {
  hard_state state;
};

/// Write entries to disk. They replace those at or after the index of the
/// first one.
struct persist_entries {
  std::vector<log_entry> entries;
};

/// Replace the log and the state by a snapshot received from the leader.
struct persist_snapshot {
  log_position last;
  std::vector<member> members;
  std::shared_ptr<const std::string> bytes;
};

/// Send a message, after the sync of earlier writes unless `before_sync` is
/// set. It is set only for messages whose content does not depend on what this
/// replica has on disk.
struct send_message {
  message content;
  std::string address;
  bool before_sync = false;
};

/// Apply a committed entry to the state.
struct apply_entry {
  log_entry entry;
};

enum class member_action {
  admitted,
  readmitted,
  promoted,
  exchanged,  // takes the place of another member
  replaced,   // another member takes its place
  suspended,  // has no vote while another one of its data centre may leave
  confirmed,  // counts, after it took a place provisionally
  removed,
  kept
};

/// How long ago a leader sent the last message that a voter acknowledged.
struct voter_contact {
  std::string address;
  milliseconds acknowledged_before{};
};

/// Log a decision of the leader on a member, with the state that it had before.
struct member_decision {
  member_action action = member_action::kept;
  replica_id id;
  std::string address;
  std::string_view reason;  // a literal
  std::size_t voters = 0;
  std::size_t size = 0;    // the number of voters wanted
  milliseconds silence{};  // since the leader last heard from it
  log_index behind;        // how many entries it lacks
};

/// Log that this replica gives up its leadership without a successor.
struct leadership_lost {
  std::string_view reason;  // a literal
  std::vector<voter_contact> voters;
};

/// An action that the caller of a replica executes. Writes come before messages
/// and the application of entries, except for messages with `before_sync`.
using effect =
    std::variant<persist_hard_state, persist_entries, persist_snapshot,
                 send_message, apply_entry, member_decision, leadership_lost>;

/// The name of the action, for logs.
auto to_string(member_action value) -> std::string_view;

}  // namespace parsleyledge::agreement
