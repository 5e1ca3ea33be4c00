#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/agreement/types.h"
#include "core/time.h"

namespace parsleyledge::agreement {

/// Asks for a vote, or in a pre-vote whether a vote would be given.
struct vote_request {
  log_position last;
  bool pre_vote = false;
  bool transfer = false;  // the leader asked for this election
};

struct vote_reply {
  bool pre_vote = false;
  bool granted = false;
};

/// Entries after `previous`; without entries, a heartbeat.
struct append_request {
  log_position previous;
  std::vector<log_entry> entries;
  log_index commit;
  time_point sent_at;  // the leader's clock, echoed for its lease
};

struct append_reply {
  bool accepted = false;
  log_index match;  // last index known equal, or a hint where to resume
  time_point sent_at;
};

/// One bounded part of a snapshot of the state up to `last`.
struct snapshot_chunk {
  log_position last;
  std::vector<member> members;
  std::uint64_t offset = 0;
  std::string bytes;
  bool done = false;
  time_point sent_at;
};

struct snapshot_reply {
  log_position last;
  std::uint64_t received = 0;  // bytes held; the next chunk starts here
  time_point sent_at;
};

/// The leader hands over: the receiver stands for election at once.
struct timeout_now {};

/// A replica with an empty log, or one that lost its folder, asks its peers
/// whether the group exists. `formed` answers it.
struct hello {
  bool formed = false;
  bool reply = false;
  std::string address;
};

using message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, timeout_now, hello>;

/// A message between two replicas. It is dropped unless both incarnations are
/// the ones in force.
struct message {
  replica_id from;
  incarnation_number from_incarnation;
  replica_id to;
  incarnation_number to_incarnation;  // 0 where the sender does not know it
  term_number term;
  message_body body;
};

}  // namespace parsleyledge::agreement
