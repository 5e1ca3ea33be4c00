#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/agreement/types.h"
#include "core/time.h"

namespace parsleyledge::agreement {

/// Requests a vote, or in a pre-vote asks whether a vote would be granted.
struct vote_request {
  log_position last;
  bool pre_vote = false;
  bool transfer = false;  // started by the leader's transfer of leadership
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
  time_point sent_at;  // leader's clock; echoed to extend its lease
};

struct append_reply {
  bool accepted = false;
  // The last index that matches the leader's log. In a rejection, a hint from
  // which index to continue.
  log_index match;
  time_point sent_at;
  // How long the sender has run and heard from leaders without a long pause.
  std::optional<milliseconds> in_contact_for{};
};

/// One chunk of a snapshot of the state up to `last`.
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
  std::uint64_t received = 0;  // bytes; the offset of the next chunk
  time_point sent_at;
};

/// Sent by a leader that transfers its leadership: the receiver starts an
/// election at once.
struct timeout_now {};

/// A replica with an empty log, or one that lost its data folder, asks its
/// peers whether the group is bootstrapped; `bootstrapped` is the response.
struct hello {
  bool bootstrapped = false;
  bool reply = false;
  std::string address;
  // How long the sender has run, if it started together with the whole site and
  // has not joined a group yet.
  std::optional<milliseconds> first_start_age;
  std::string data_centre{};
  // When the group admitted the sender, if it was a member before.
  std::optional<log_index> admitted_at{};
};

/// A replica whose process is about to end asks the leader for its removal, in
/// case it was replaced.
struct departure {};

/// The leader's response, once it has removed the sender or keeps it.
struct departure_reply {};

using message_body =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, timeout_now, hello, departure,
                 departure_reply>;

/// A message between two replicas. Unless it is a hello, the receiver discards
/// it if `to_incarnation` is not its own incarnation, or if it is a reply from
/// an incarnation of the sender other than the current one.
struct message {
  replica_id from;
  incarnation_number from_incarnation;
  replica_id to;
  incarnation_number to_incarnation;  // 0 if unknown to the sender
  term_number term;
  message_body body;
};

}  // namespace parsleyledge::agreement
