#include <algorithm>
#include <iterator>
#include <vector>

#include "adapters/codec.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace ag = agreement;

// Internal functions are static instead of being in an unnamed namespace, where
// they would hide the public overloads.

template <typename Row, typename Field>
static auto read_rows(const Field& field) -> std::vector<Row> {
  std::vector<Row> rows;
  std::ranges::transform(field, std::back_inserter(rows),
                         [](const auto& row) { return read(row); });
  return rows;
}

static void write(const ag::log_position& from, wire::vote_request& to) {
  to.set_last_term(from.term.value);
  to.set_last_index(from.index.value);
}

static void write_body(const ag::vote_request& from,
                       wire::agreement_message& to) {
  auto& vote = *to.mutable_vote();
  write(from.last, vote);
  vote.set_pre_vote(from.pre_vote);
  vote.set_transfer(from.transfer);
}

static void write_body(const ag::vote_reply& from,
                       wire::agreement_message& to) {
  auto& voted = *to.mutable_voted();
  voted.set_pre_vote(from.pre_vote);
  voted.set_granted(from.granted);
}

static void write_body(const ag::append_request& from,
                       wire::agreement_message& to) {
  auto& append = *to.mutable_append();
  append.set_previous_term(from.previous.term.value);
  append.set_previous_index(from.previous.index.value);
  for (const auto& row : from.entries) write(row, *append.add_entries());
  append.set_commit(from.commit.value);
  append.set_sent_at(to_ms(from.sent_at));
}

static void write_body(const ag::append_reply& from,
                       wire::agreement_message& to) {
  auto& appended = *to.mutable_appended();
  appended.set_accepted(from.accepted);
  appended.set_match(from.match.value);
  appended.set_sent_at(to_ms(from.sent_at));
  if (from.in_contact_for)
    appended.set_in_contact_ms(from.in_contact_for->count());
}

static void write_body(const ag::snapshot_chunk& from,
                       wire::agreement_message& to) {
  auto& chunk = *to.mutable_chunk();
  chunk.set_last_term(from.last.term.value);
  chunk.set_last_index(from.last.index.value);
  for (const auto& row : from.members) write(row, *chunk.add_members());
  chunk.set_offset(from.offset);
  chunk.set_bytes(from.bytes);
  chunk.set_done(from.done);
  chunk.set_sent_at(to_ms(from.sent_at));
}

static void write_body(const ag::snapshot_reply& from,
                       wire::agreement_message& to) {
  auto& reply = *to.mutable_chunk_reply();
  reply.set_last_term(from.last.term.value);
  reply.set_last_index(from.last.index.value);
  reply.set_received(from.received);
  reply.set_sent_at(to_ms(from.sent_at));
}

static void write_body(const ag::timeout_now&, wire::agreement_message& to) {
  to.set_timeout_now(true);
}

static void write_body(const ag::hello& from, wire::agreement_message& to) {
  auto& greeting = *to.mutable_greeting();
  greeting.set_formed(from.bootstrapped);
  greeting.set_reply(from.reply);
  greeting.set_address(from.address);
  if (from.first_start_age)
    greeting.set_first_start_age_ms(from.first_start_age->count());
  greeting.set_data_centre(from.data_centre);
  if (from.admitted_at) greeting.set_admitted_at(from.admitted_at->value);
}

static void write_body(const ag::departure&, wire::agreement_message& to) {
  to.set_departure(true);
}

static void write_body(const ag::departure_reply&,
                       wire::agreement_message& to) {
  to.set_departure_reply(true);
}

static auto read_body(const wire::agreement_message& from)
    -> std::optional<ag::message_body> {
  using body = wire::agreement_message;
  switch (from.body_case()) {
    case body::kVote: {
      const auto& vote = from.vote();
      return ag::vote_request{{{vote.last_term()}, {vote.last_index()}},
                              vote.pre_vote(),
                              vote.transfer()};
    }
    case body::kVoted:
      return ag::vote_reply{from.voted().pre_vote(), from.voted().granted()};
    case body::kAppend: {
      const auto& append = from.append();
      return ag::append_request{
          {{append.previous_term()}, {append.previous_index()}},
          read_rows<ag::log_entry>(append.entries()),
          {append.commit()},
          at_ms(append.sent_at())};
    }
    case body::kAppended: {
      const auto& appended = from.appended();
      ag::append_reply read{appended.accepted(),
                            {appended.match()},
                            at_ms(appended.sent_at()),
                            {}};
      if (appended.has_in_contact_ms())
        read.in_contact_for = milliseconds(appended.in_contact_ms());
      return read;
    }
    case body::kChunk: {
      const auto& chunk = from.chunk();
      return ag::snapshot_chunk{{{chunk.last_term()}, {chunk.last_index()}},
                                read_rows<ag::member>(chunk.members()),
                                chunk.offset(),
                                chunk.bytes(),
                                chunk.done(),
                                at_ms(chunk.sent_at())};
    }
    case body::kChunkReply: {
      const auto& reply = from.chunk_reply();
      return ag::snapshot_reply{{{reply.last_term()}, {reply.last_index()}},
                                reply.received(),
                                at_ms(reply.sent_at())};
    }
    case body::kTimeoutNow:
      return ag::timeout_now{};
    case body::kGreeting: {
      const auto& greeting = from.greeting();
      ag::hello read;
      read.bootstrapped = greeting.formed();
      read.reply = greeting.reply();
      read.address = greeting.address();
      read.data_centre = greeting.data_centre();
      if (greeting.has_first_start_age_ms())
        read.first_start_age = milliseconds(greeting.first_start_age_ms());
      if (greeting.has_admitted_at())
        read.admitted_at = ag::log_index{greeting.admitted_at()};
      return read;
    }
    case body::kDeparture:
      return ag::departure{};
    case body::kDepartureReply:
      return ag::departure_reply{};
    case body::BODY_NOT_SET:
      break;
  }
  return {};
}

void write(const ag::member& from, wire::member& to) {
  to.set_id(from.id.value);
  to.set_life(from.incarnation.value);
  to.set_address(from.address);
  to.set_voter(from.voter);
  to.set_surplus(from.surplus);
  to.set_data_centre(from.data_centre);
  to.set_admitted_at(from.admitted_at.value);
  to.set_exchange(static_cast<std::uint32_t>(from.exchange));
  to.set_provisional(from.provisional);
}

static auto read_exchange(std::uint32_t from) -> ag::exchange_part {
  using ag::exchange_part;
  auto last = static_cast<std::uint32_t>(exchange_part::incoming);
  return from > last ? exchange_part::none : static_cast<exchange_part>(from);
}

auto read(const wire::member& from) -> ag::member {
  return {{from.id()},          {from.life()},
          from.address(),       from.voter(),
          from.surplus(),       from.data_centre(),
          {from.admitted_at()}, read_exchange(from.exchange()),
          from.provisional()};
}

void write(const ag::log_entry& from, wire::log_entry& to) {
  to.set_term(from.position.term.value);
  to.set_index(from.position.index.value);
  to.set_kind(static_cast<std::uint32_t>(from.kind));
  to.set_payload(from.payload);
  for (const auto& row : from.members) write(row, *to.add_members());
}

auto read(const wire::log_entry& from) -> ag::log_entry {
  return {{{from.term()}, {from.index()}},
          static_cast<ag::entry_kind>(from.kind()),
          from.payload(),
          read_rows<ag::member>(from.members())};
}

void write(const ag::message& from, wire::agreement_message& to) {
  to.set_from(from.from.value);
  to.set_from_life(from.from_incarnation.value);
  to.set_to(from.to.value);
  to.set_to_life(from.to_incarnation.value);
  to.set_term(from.term.value);
  std::visit([&](const auto& body) { write_body(body, to); }, from.body);
}

auto read(const wire::agreement_message& from) -> std::optional<ag::message> {
  auto body = read_body(from);
  if (!body) return {};
  return ag::message{{from.from()},    {from.from_life()}, {from.to()},
                     {from.to_life()}, {from.term()},      std::move(*body)};
}

}  // namespace parsleyledge
