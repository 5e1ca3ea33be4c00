#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/agreement/message.h"

namespace parsleyledge::agreement {

/// Write the term and vote to disk before any message goes out.
struct persist_hard_state {
  hard_state state;
};

/// Write entries to disk, replacing any at or after the first one's index.
struct persist_entries {
  std::vector<log_entry> entries;
};

/// Replace log and state by a snapshot received from the leader.
struct persist_snapshot {
  log_position last;
  std::vector<member> members;
  std::shared_ptr<const std::string> bytes;
};

/// Send a message. Only a message that claims nothing about this replica's
/// disk may leave before the disk is synced.
struct send_message {
  message what;
  std::string address;
  bool before_sync = false;
};

/// Apply a committed entry to the state.
struct apply_entry {
  log_entry entry;
};

using effect = std::variant<persist_hard_state, persist_entries,
                            persist_snapshot, send_message, apply_entry>;

}  // namespace parsleyledge::agreement
