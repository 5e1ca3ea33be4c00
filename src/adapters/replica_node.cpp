#include "adapters/replica_node.h"

#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "adapters/clock.h"
#include "adapters/fleet_machine.h"
#include "adapters/io_error.h"
#include "adapters/log.h"
#include "adapters/site_machine.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

namespace ag = agreement;
namespace leaf = boost::leaf;

constexpr std::uint64_t snapshot_bytes = 16u << 20;  // of log since the last

}  // namespace

template <typename Machine>
basic_replica_node<Machine>::basic_replica_node(boost::asio::thread_pool& pool,
                                                ag::replica_settings settings,
                                                journal disk,
                                                ag::recovered_state recovered,
                                                metrics& counters, hooks hooks)
    : pool_(pool),
      timer_(pool),
      tick_(settings.delays.tick),
      disk_(std::move(disk)),
      metrics_(counters),
      hooks_(std::move(hooks)),
      applied_(recovered.snapshot_last),
      applied_members_(recovered.members),
      replica_(std::move(settings), recovered, steady_now()) {
  if (recovered.snapshot != nullptr) {
    if (auto state = Machine::decode_state(*recovered.snapshot)) {
      state_ = std::move(*state);
    } else {
      fail("the snapshot holds no valid state");
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
    put(tick{});
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
  put(std::move(message));
}

template <typename Machine>
void basic_replica_node<Machine>::learn(std::span<const ag::member> members) {
  ranked_lock lock(replica_mutex_);
  for (const auto& m : members) replica_.add_contact(m.id, m.address);
}

template <typename Machine>
void basic_replica_node<Machine>::propose(const command_type& what,
                                          result_handler done) {
  put(proposal{Machine::encode(what), std::move(done)});
}

template <typename Machine>
void basic_replica_node<Machine>::change_members(
    std::function<std::vector<ag::member>(std::span<const ag::member>)> change,
    std::function<void(bool)> done) {
  put(member_proposal{std::move(change), std::move(done)});
}

template <typename Machine>
void basic_replica_node<Machine>::transfer() {
  put(transfer_request{});
}

template <typename Machine>
void basic_replica_node<Machine>::put(input item) {
  ranked_lock lock(inbox_mutex_);
  if (stopped_) return;
  inbox_.push_back(std::move(item));
  if (pumping_) return;
  pumping_ = true;
  boost::asio::post(pool_, [this] { pump(); });
}

template <typename Machine>
void basic_replica_node<Machine>::pump() {
  while (true) {
    std::deque<input> inputs;
    {
      ranked_lock lock(inbox_mutex_);
      if (inbox_.empty() || stopped_) {
        pumping_ = false;
        return;
      }
      inputs.swap(inbox_);
    }
    carry_out(step(inputs));
    maybe_snapshot();
  }
}

template <typename Machine>
auto basic_replica_node<Machine>::step(std::deque<input>& inputs)
    -> std::vector<ag::effect> {
  std::vector<ag::effect> effects;
  std::vector<std::function<void()>> answers;
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
          overloaded{[&](ag::message& m) { add(replica_.receive(m, now)); },
                     [&](proposal& p) {
                       payloads.push_back(std::move(p.payload));
                       handlers.push_back(std::move(p.done));
                     },
                     [&](member_proposal& p) {
                       bool done = replica_.propose_members(
                           p.change(replica_.members()));
                       answers.push_back(
                           [done, tell = std::move(p.done)] { tell(done); });
                     },
                     [&](tick&) { add(replica_.tick(now)); },
                     [&](transfer_request&) {
                       add(replica_.transfer_leadership(now));
                     },
                     [&](encoded_snapshot& s) { snapshots.push_back(s); }},
          item);
    }
    auto first = replica_.propose(payloads);
    for (std::size_t i = 0; i < handlers.size(); ++i) {
      if (first) {
        pending_[{first->index.value + i}] = {first->term,
                                              std::move(handlers[i])};
      } else if (handlers[i]) {
        answers.push_back([tell = std::move(handlers[i])] {
          tell(Machine::not_committed());
        });
      }
    }
    add(replica_.flush(now));
  }
  for (const auto& snapshot : snapshots) install(snapshot);
  for (const auto& answer : answers) answer();
  return effects;
}

template <typename Machine>
void basic_replica_node<Machine>::carry_out(std::vector<ag::effect> effects) {
  while (!effects.empty()) {
    auto send = [&](bool before_sync) {
      for (auto& e : effects) {
        auto* message = std::get_if<ag::send_message>(&e);
        if (message == nullptr || message->before_sync != before_sync) continue;
        hooks_.send(message->address, std::move(message->what));
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
    if (applied) hooks_.changed();
  }
}

template <typename Machine>
auto basic_replica_node<Machine>::write(std::span<const ag::effect> effects)
    -> bool {
  auto begun = std::chrono::steady_clock::now();
  auto syncs = disk_.syncs();
  std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        for (const auto& e : effects) {
          if (const auto* h = std::get_if<ag::persist_hard_state>(&e)) {
            BOOST_LEAF_CHECK(disk_.append(h->state));
          } else if (const auto* n = std::get_if<ag::persist_entries>(&e)) {
            BOOST_LEAF_CHECK(disk_.append(n->entries));
          } else if (const auto* s = std::get_if<ag::persist_snapshot>(&e)) {
            ag::hard_state hard;
            {
              ranked_lock lock(replica_mutex_);
              hard = replica_.hard();
            }
            BOOST_LEAF_CHECK(
                disk_.write_snapshot(s->last, s->members, *s->bytes, hard, {}));
          }
        }
        BOOST_LEAF_CHECK(disk_.sync());
        return std::string();
      },
      [](const io_error& e) { return e.text(); },
      []() { return std::string("unknown error"); });
  if (disk_.syncs() != syncs) {
    metrics_.latency("journal_sync_seconds")
        .record(std::chrono::steady_clock::now() - begun);
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
    auto what = Machine::decode_command(entry.payload);
    if (!what) {
      fail("a committed command cannot be read; is this program too old?");
      return;
    }
    ranked_lock lock(state_mutex_);
    result = Machine::apply(state_, *what, entry.position.index);
  }
  applied_ = entry.position;
  applied_term_ = applied_.term.value;
  auto it = pending_.find(entry.position.index);
  if (it == pending_.end()) return;
  if (it->second.term != entry.position.term) {
    // Another leader's entry took the place: this one can never commit.
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
    fail("a received snapshot holds no valid state");
    return;
  }
  applied_ = snapshot.last;
  applied_term_ = applied_.term.value;
  applied_members_ = snapshot.members;
  {
    ranked_lock lock(state_mutex_);
    state_ = std::move(*state);
  }
  // Whether these proposals are part of the snapshot cannot be told.
  while (!pending_.empty() && pending_.begin()->first <= applied_.index) {
    auto done = std::move(pending_.begin()->second.done);
    pending_.erase(pending_.begin());
    if (!done) continue;
    done(Machine::maybe_committed());
  }
}

// The tables are copied under the lock; they are encoded without it, by
// another worker of the pool.
template <typename Machine>
void basic_replica_node<Machine>::maybe_snapshot() {
  if (snapshot_running_ || disk_.bytes_since_snapshot() < snapshot_bytes) {
    return;
  }
  snapshot_running_ = true;
  auto tables = std::make_shared<typename Machine::tables_type>();
  {
    ranked_lock lock(state_mutex_);
    *tables = state_.tables();
  }
  boost::asio::post(pool_, [this, tables, last = applied_] {
    put(encoded_snapshot{
        last, std::make_shared<const std::string>(Machine::encode(*tables))});
  });
}

template <typename Machine>
void basic_replica_node<Machine>::install(const encoded_snapshot& snapshot) {
  snapshot_running_ = false;
  std::vector<ag::log_entry> tail;
  std::vector<ag::member> members;
  ag::hard_state hard;
  {
    ranked_lock lock(replica_mutex_);
    // A snapshot from the leader may have come first.
    if (snapshot.last.index <= replica_.snapshot_position().index) return;
    replica_.compact(snapshot.last, snapshot.bytes);
    tail = replica_.log_tail();
    members = replica_.snapshot_members();
    hard = replica_.hard();
  }
  std::string error = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(disk_.write_snapshot(snapshot.last, members,
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
  return serves_applied(steady_now());
}

// Holds the lock of the replica. Once an entry of its own term is applied,
// the tables hold all that any leader acknowledged before.
template <typename Machine>
auto basic_replica_node<Machine>::serves_applied(time_point now) const -> bool {
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
  s.may_serve = serves_applied(steady_now());
  s.members.assign(replica_.members().begin(), replica_.members().end());
  if (const auto* leader = replica_.find_member(replica_.leader())) {
    s.leader_address = leader->address;
  }
  return s;
}

template class basic_replica_node<site_machine>;
template class basic_replica_node<fleet_machine>;

}  // namespace parsleyledge
