#include "adapters/replica_node.h"

#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "adapters/clock.h"
#include "adapters/fleet_state_machine.h"
#include "adapters/io_error.h"
#include "adapters/log.h"
#include "adapters/site_state_machine.h"
#include "core/agreement/quorum.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

namespace ag = agreement;
namespace leaf = boost::leaf;

constexpr std::uint64_t snapshot_threshold_bytes = 16u << 20;  // of the log
// Longer than an election whose first votes are split.
constexpr milliseconds outage_log_delay{3000};
constexpr milliseconds outage_log_interval{30'000};

auto describe(std::span<const ag::quorum_status::missing_member> missing)
    -> std::string {
  std::string text;
  for (const auto& m : missing) {
    if (!text.empty()) text += ", ";
    text += m.address;
    text += m.silence
                ? " silent for " + std::to_string(m.silence->count()) + " ms"
                : " not heard";
  }
  return text;
}

auto describe(std::span<const ag::member> members) -> std::string {
  std::string text;
  for (const auto& m : members) {
    if (!text.empty()) text += ", ";
    text += m.address + (m.voter ? " voter" : " learner");
    if (m.surplus) text += " surplus";
    if (m.provisional) text += " provisional";
    if (m.exchange == ag::exchange_part::outgoing) text += " outgoing";
    if (m.exchange == ag::exchange_part::incoming) text += " incoming";
  }
  return text;
}

auto describe(std::span<const ag::voter_contact> voters) -> std::string {
  std::string text;
  for (const auto& v : voters) {
    if (!text.empty()) text += ", ";
    text += v.address + " " + std::to_string(v.acknowledged_before.count()) +
            " ms ago";
  }
  return text;
}

}  // namespace

template <typename Machine>
basic_replica_node<Machine>::basic_replica_node(boost::asio::thread_pool& pool,
                                                ag::replica_settings settings,
                                                journal opened_journal,
                                                ag::recovered_state recovered,
                                                metrics& node_metrics,
                                                hooks hooks)
    : pool_(pool),
      timer_(pool),
      tick_(settings.delays.tick),
      journal_(std::move(opened_journal)),
      metrics_(node_metrics),
      hooks_(std::move(hooks)),
      applied_(recovered.snapshot_last),
      applied_members_(recovered.members),
      replica_(std::move(settings), recovered, steady_now()) {
  if (recovered.snapshot != nullptr) {
    if (auto state = Machine::decode_state(*recovered.snapshot)) {
      state_ = std::move(*state);
    } else {
      fail("cannot decode the state in the snapshot on disk");
    }
  }
}

template <typename Machine>
void basic_replica_node<Machine>::start() {
  schedule_tick();
}

template <typename Machine>
void basic_replica_node<Machine>::schedule_tick() {
  timer_.expires_after(tick_);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    {
      ranked_lock lock(inbox_mutex_);
      if (stopped_) return;
    }
    enqueue(tick{});
    schedule_tick();
  });
}

template <typename Machine>
void basic_replica_node<Machine>::stop() {
  ranked_lock lock(inbox_mutex_);
  stopped_ = true;
  inbox_.clear();
}

template <typename Machine>
void basic_replica_node<Machine>::receive(ag::message message) {
  enqueue(std::move(message));
}

template <typename Machine>
void basic_replica_node<Machine>::add_contacts(
    std::span<const ag::member> members) {
  ranked_lock lock(replica_mutex_);
  for (const auto& m : members) replica_.add_contact(m.id, m.address);
}

template <typename Machine>
void basic_replica_node<Machine>::propose(const command_type& command,
                                          result_handler done) {
  enqueue(proposal{Machine::encode(command), std::move(done)});
}

template <typename Machine>
void basic_replica_node<Machine>::change_members(
    std::function<std::vector<ag::member>(std::span<const ag::member>)> change,
    std::function<void(bool)> done) {
  enqueue(member_proposal{std::move(change), std::move(done)});
}

template <typename Machine>
void basic_replica_node<Machine>::transfer_leadership() {
  enqueue(transfer_request{});
}

template <typename Machine>
void basic_replica_node<Machine>::retire() {
  enqueue(retirement{});
}

template <typename Machine>
void basic_replica_node<Machine>::enqueue(input item) {
  ranked_lock lock(inbox_mutex_);
  if (stopped_) return;
  inbox_.push_back(std::move(item));
  if (processing_) return;
  processing_ = true;
  boost::asio::post(pool_, [this] { process_inbox(); });
}

template <typename Machine>
void basic_replica_node<Machine>::process_inbox() {
  while (true) {
    std::deque<input> inputs;
    {
      ranked_lock lock(inbox_mutex_);
      if (inbox_.empty() || stopped_) {
        processing_ = false;
        return;
      }
      inputs.swap(inbox_);
    }
    execute(handle_inputs(inputs));
    snapshot_if_due();
  }
}

template <typename Machine>
auto basic_replica_node<Machine>::handle_inputs(std::deque<input>& inputs)
    -> std::vector<ag::effect> {
  std::vector<ag::effect> effects;
  std::vector<std::function<void()>> callbacks;
  std::vector<encoded_snapshot> snapshots;
  auto add = [&](std::vector<ag::effect> more) {
    std::ranges::move(more, std::back_inserter(effects));
  };
  {
    ranked_lock lock(replica_mutex_);
    auto now = steady_now();
    std::vector<std::string> payloads;
    std::vector<result_handler> handlers;
    for (auto& item : inputs) {
      std::visit(
          overloaded{
              [&](ag::message& m) { add(replica_.receive(m, now)); },
              [&](proposal& p) {
                payloads.push_back(std::move(p.payload));
                handlers.push_back(std::move(p.done));
              },
              [&](member_proposal& p) {
                bool accepted =
                    replica_.propose_members(p.change(replica_.members()));
                callbacks.push_back(
                    [accepted, done = std::move(p.done)] { done(accepted); });
              },
              [&](tick&) { add(replica_.tick(now)); },
              [&](transfer_request&) {
                add(replica_.transfer_leadership(now));
              },
              [&](retirement&) { add(replica_.retire(now)); },
              [&](encoded_snapshot& s) { snapshots.push_back(s); }},
          item);
    }
    auto first = replica_.propose(payloads);
    for (std::size_t i = 0; i < handlers.size(); ++i) {
      if (first) {
        pending_[{first->index.value + i}] = {first->term,
                                              std::move(handlers[i])};
      } else if (handlers[i]) {
        callbacks.push_back([done = std::move(handlers[i])] {
          done(Machine::not_committed());
        });
      }
    }
    add(replica_.flush(now));
    log_role_change();
    log_member_change();
    log_quorum(now);
  }
  for (const auto& snapshot : snapshots) install_snapshot(snapshot);
  for (const auto& callback : callbacks) callback();
  return effects;
}

// Called with the replica's lock held. The lines of a group show who stood for
// election in which term, and how many terms had no leader.
template <typename Machine>
void basic_replica_node<Machine>::log_role_change() {
  auto role = replica_.current_role();
  auto term = replica_.current_term();
  if (role == logged_role_ && term == logged_term_) return;
  logged_role_ = role;
  logged_term_ = term;
  log_event(log_level::info, "role_changed",
            {{"role", to_string(role)},
             {"term", static_cast<std::int64_t>(term.value)}});
}

// Called with the replica's lock held. Each replica logs the members that it
// goes by, which are not committed yet as it adopts them. So the lines of any
// of them show whether an exchange of voters was under way at a fault.
template <typename Machine>
void basic_replica_node<Machine>::log_member_change() {
  auto members = replica_.members();
  if (std::ranges::equal(members, logged_members_)) return;
  logged_members_.assign(members.begin(), members.end());
  log_event(log_level::info, "members_changed",
            {{"in_exchange", ag::in_exchange(members)},
             {"members", describe(members)}});
}

// Called with the replica's lock held. The last line of an outage tells which
// voters the group waits for, whatever machine it is read on.
template <typename Machine>
void basic_replica_node<Machine>::log_quorum(time_point now) {
  auto status = replica_.quorum(now);
  if (status.without_leader == milliseconds{}) {
    if (logged_quorum_.without_leader == milliseconds{}) return;
    log_event(log_level::info, "group_has_leader",
              {{"outage_ms", logged_quorum_.without_leader.count()}});
    logged_quorum_ = {};
    return;
  }
  if (status.without_leader < outage_log_delay) return;
  auto address = [](const auto& missing) { return missing.address; };
  bool changed = logged_quorum_.without_leader == milliseconds{} ||
                 status.has_quorum != logged_quorum_.has_quorum ||
                 !std::ranges::equal(status.missing, logged_quorum_.missing, {},
                                     address, address);
  if (!changed && now - quorum_logged_at_ < outage_log_interval) {
    logged_quorum_.without_leader = status.without_leader;
    return;
  }
  log_event(log_level::warning, "group_without_leader",
            {{"since_ms", status.without_leader.count()},
             {"has_quorum", status.has_quorum},
             {"in_exchange", ag::in_exchange(replica_.members())},
             {"missing", describe(status.missing)},
             {"members", describe(replica_.members())}});
  quorum_logged_at_ = now;
  logged_quorum_ = std::move(status);
}

template <typename Machine>
void basic_replica_node<Machine>::log_decision(
    const ag::member_decision& decision) {
  log_event(log_level::info, "member_decision",
            {{"action", to_string(decision.action)},
             {"member", decision.address},
             {"reason", decision.reason},
             {"voters", static_cast<std::int64_t>(decision.voters)},
             {"group_size", static_cast<std::int64_t>(decision.size)},
             {"silent_ms", decision.silence.count()},
             {"behind", static_cast<std::int64_t>(decision.behind.value)}});
}

template <typename Machine>
void basic_replica_node<Machine>::log_lost_leadership(
    const ag::leadership_lost& lost) {
  log_event(log_level::warning, "leadership_lost",
            {{"reason", lost.reason}, {"acknowledged", describe(lost.voters)}});
}

template <typename Machine>
void basic_replica_node<Machine>::execute(std::vector<ag::effect> effects) {
  while (!effects.empty()) {
    auto send = [&](bool before_sync) {
      for (auto& e : effects) {
        auto* message = std::get_if<ag::send_message>(&e);
        if (message == nullptr || message->before_sync != before_sync) continue;
        hooks_.send(message->address, std::move(message->content));
      }
    };
    send(true);
    if (!write(effects)) return;
    send(false);
    std::vector<finished> done;
    bool applied = false;
    for (const auto& e : effects) {
      if (const auto* entry = std::get_if<ag::apply_entry>(&e)) {
        apply(entry->entry, done);
        applied = true;
      } else if (const auto* s = std::get_if<ag::persist_snapshot>(&e)) {
        restore(*s);
        applied = true;
      } else if (const auto* d = std::get_if<ag::member_decision>(&e)) {
        log_decision(*d);
      } else if (const auto* l = std::get_if<ag::leadership_lost>(&e)) {
        log_lost_leadership(*l);
      }
    }
    std::vector<ag::effect> more;
    {
      ranked_lock lock(replica_mutex_);
      more = replica_.handle_persisted(replica_.last_position(), steady_now());
    }
    effects = std::move(more);
    for (auto& f : done) {
      if (f.done) f.done(std::move(f.result));
    }
    if (applied) hooks_.state_changed();
  }
}

template <typename Machine>
auto basic_replica_node<Machine>::write(std::span<const ag::effect> effects)
    -> bool {
  auto start = std::chrono::steady_clock::now();
  auto syncs = journal_.syncs();
  std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        for (const auto& e : effects) {
          if (const auto* h = std::get_if<ag::persist_hard_state>(&e)) {
            BOOST_LEAF_CHECK(journal_.append(h->state));
          } else if (const auto* n = std::get_if<ag::persist_entries>(&e)) {
            BOOST_LEAF_CHECK(journal_.append(n->entries));
          } else if (const auto* s = std::get_if<ag::persist_snapshot>(&e)) {
            ag::hard_state hard;
            {
              ranked_lock lock(replica_mutex_);
              hard = replica_.hard();
            }
            BOOST_LEAF_CHECK(journal_.write_snapshot(s->last, s->members,
                                                     *s->bytes, hard, {}));
          }
        }
        BOOST_LEAF_CHECK(journal_.sync());
        return std::string();
      },
      [](const io_error& e) { return e.text(); },
      []() { return std::string("unknown error"); });
  if (journal_.syncs() != syncs) {
    metrics_.latency("journal_sync_seconds")
        .record(std::chrono::steady_clock::now() - start);
  }
  if (error.empty()) return true;
  fail(error);
  return false;
}

template <typename Machine>
void basic_replica_node<Machine>::apply(const ag::log_entry& entry,
                                        std::vector<finished>& done) {
  auto result = Machine::no_result();
  if (entry.kind == ag::entry_kind::membership) {
    applied_members_ = entry.members;
  } else if (entry.kind == ag::entry_kind::command) {
    auto command = Machine::decode_command(entry.payload);
    if (!command) {
      fail("cannot decode a committed command; this program may be outdated");
      return;
    }
    ranked_lock lock(state_mutex_);
    result = Machine::apply(state_, *command, entry.position.index);
  }
  applied_ = entry.position;
  applied_term_ = applied_.term.value;
  auto it = pending_.find(entry.position.index);
  if (it == pending_.end()) return;
  if (it->second.term != entry.position.term) {
    // An entry of another leader was committed at this index, so that the
    // proposal can never be committed.
    result = Machine::not_committed();
  }
  done.push_back({std::move(it->second.done), std::move(result)});
  pending_.erase(it);
}

template <typename Machine>
void basic_replica_node<Machine>::restore(
    const ag::persist_snapshot& snapshot) {
  auto state = Machine::decode_state(*snapshot.bytes);
  if (!state) {
    fail("cannot decode the state in a received snapshot");
    return;
  }
  applied_ = snapshot.last;
  applied_term_ = applied_.term.value;
  applied_members_ = snapshot.members;
  {
    ranked_lock lock(state_mutex_);
    state_ = std::move(*state);
  }
  // The snapshot may or may not contain the effects of these proposals.
  while (!pending_.empty() && pending_.begin()->first <= applied_.index) {
    auto done = std::move(pending_.begin()->second.done);
    pending_.erase(pending_.begin());
    if (!done) continue;
    done(Machine::maybe_committed());
  }
}

// Copies the tables under the lock and encodes them without it on another
// thread of the pool.
template <typename Machine>
void basic_replica_node<Machine>::snapshot_if_due() {
  if (snapshot_in_progress_ ||
      journal_.bytes_since_snapshot() < snapshot_threshold_bytes) {
    return;
  }
  snapshot_in_progress_ = true;
  auto tables = std::make_shared<typename Machine::tables_type>();
  {
    ranked_lock lock(state_mutex_);
    *tables = state_.tables();
  }
  boost::asio::post(pool_, [this, tables, last = applied_] {
    enqueue(encoded_snapshot{
        last, std::make_shared<const std::string>(Machine::encode(*tables))});
  });
}

template <typename Machine>
void basic_replica_node<Machine>::install_snapshot(
    const encoded_snapshot& snapshot) {
  snapshot_in_progress_ = false;
  std::vector<ag::log_entry> tail;
  std::vector<ag::member> members;
  ag::hard_state hard;
  {
    ranked_lock lock(replica_mutex_);
    // The leader may have sent a newer snapshot in the meantime.
    if (snapshot.last.index <= replica_.snapshot_position().index) return;
    replica_.compact(snapshot.last, snapshot.bytes);
    tail = replica_.log_tail();
    members = replica_.snapshot_members();
    hard = replica_.hard();
  }
  std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(journal_.write_snapshot(snapshot.last, members,
                                                 *snapshot.bytes, hard, tail));
        return std::string();
      },
      [](const io_error& e) { return e.text(); },
      []() { return std::string("unknown error"); });
  if (!error.empty()) fail(error);
  log_event(log_level::info, "snapshot_written",
            {{"index", static_cast<std::int64_t>(snapshot.last.index.value)},
             {"bytes", static_cast<std::int64_t>(snapshot.bytes->size())}});
}

template <typename Machine>
void basic_replica_node<Machine>::fail(std::string_view detail) {
  {
    ranked_lock lock(inbox_mutex_);
    stopped_ = true;
  }
  hooks_.fatal(detail);
}

template <typename Machine>
auto basic_replica_node<Machine>::may_serve() -> bool {
  ranked_lock lock(replica_mutex_);
  return can_serve_applied(steady_now());
}

// Called with the replica's lock held. Once an entry of the current term is
// applied, the tables contain every change that an earlier leader
// acknowledged.
template <typename Machine>
auto basic_replica_node<Machine>::can_serve_applied(time_point now) const
    -> bool {
  return replica_.may_serve(now) &&
         applied_term_ == replica_.current_term().value;
}

template <typename Machine>
auto basic_replica_node<Machine>::status() -> replica_status {
  ranked_lock lock(replica_mutex_);
  replica_status s;
  s.role = replica_.current_role();
  s.term = replica_.current_term().value;
  s.commit = replica_.commit_index().value;
  s.last = replica_.last_position().index.value;
  s.snapshot = replica_.snapshot_position().index.value;
  s.may_serve = can_serve_applied(steady_now());
  s.members.assign(replica_.members().begin(), replica_.members().end());
  s.voters = replica_.voter_count();
  s.group_size = replica_.group_size();
  s.live_voters = replica_.live_voter_count();
  s.quorum = replica_.quorum(steady_now());
  s.is_member = replica_.find_member(replica_.settings().id) != nullptr;
  s.departure_decided = replica_.departure_decided();
  if (const auto* leader = replica_.find_member(replica_.leader())) {
    s.leader_address = leader->address;
  }
  return s;
}

template class basic_replica_node<site_state_machine>;
template class basic_replica_node<fleet_state_machine>;

}  // namespace parsleyledge
