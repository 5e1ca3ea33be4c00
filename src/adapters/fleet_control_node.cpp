#include "adapters/fleet_control_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <set>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/log.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds round_interval{100};
constexpr milliseconds members_interval{1000};
constexpr int decision_idle_factor = 3;  // of the duration of a decision

auto read_clocks() -> fleet::clock_reading {
  return {steady_now(), wall_now()};
}

auto labelled(std::string_view metric, std::string_view cause) -> std::string {
  return std::string(metric) + "{cause=\"" + std::string(cause) + "\"}";
}

}  // namespace

fleet_control_node::fleet_control_node(
    asio::thread_pool& pool, fleet_control_settings settings,
    journal opened_journal, agreement::recovered_state recovered,
    fleet::platform_port platform, std::function<void(std::string_view)> fatal)
    : pool_(pool),
      settings_(std::move(settings)),
      platform_(std::move(platform)),
      peers_({settings_.group, settings_.name},
             [this](std::string_view from, wire::envelope message) {
               receive(from, std::move(message));
             }),
      client_(peers_, settings_.control),
      replica_(pool, settings_.replica, std::move(opened_journal),
               std::move(recovered), metrics_,
               {[this](std::string_view address, agreement::message m) {
                  wire::envelope out;
                  write(m, *out.mutable_agreement());
                  peers_.send(address, std::move(out));
                },
                [this] { schedule_decision(); }, std::move(fatal)}),
      timer_(asio::make_strand(pool)),
      dispatcher_(settings_.limits),
      seeds_(settings_.control) {}

auto fleet_control_node::start() -> std::string {
  auto error = peers_.start(settings_.listen_peer);
  if (!error.empty() || !settings_.has_disk) return error;
  replica_.start();
  schedule_round();
  return {};
}

void fleet_control_node::retire() {
  replica_.retire();
}

auto fleet_control_node::leads() -> bool {
  return replica_.status().role == agreement::role::leader;
}

auto fleet_control_node::awaits_departure() -> bool {
  auto status = replica_.status();
  return status.is_member && !status.departure_decided;
}

void fleet_control_node::stop() {
  stopped_ = true;
  replica_.stop();
  peers_.stop();
  asio::post(timer_.get_executor(), [this] { timer_.cancel(); });
}

template <typename Decide>
void fleet_control_node::decide(Decide handler) {
  std::vector<fleet::effect> effects;
  replica_.read_state([&](const fleet::fleet_state& state) {
    ranked_lock lock(dispatch_mutex_);
    load_site(state.tables());
    effects = handler(state.tables());
  });
  execute(std::move(effects));
}

void fleet_control_node::schedule_round() {
  timer_.expires_after(round_interval);
  round_due_ = steady_now() + round_interval;
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) return;
    transfer_if_overloaded(steady_now() - round_due_);
    run_round();
    schedule_round();
  });
}

// A leader on a machine that has become too slow answers its callers late,
// while its heartbeats still prevent an election.
void fleet_control_node::transfer_if_overloaded(milliseconds late) {
  if (!overload_.record_delay(late, steady_now()) || !leads()) return;
  log_event(log_level::warning, "leader_overloaded",
            {{"late_ms", late.count()}});
  metrics_.counter("overload_transfers_total").fetch_add(1);
  replica_.transfer_leadership();
}

// Changes in quick succession share one decision. After a decision, the next
// one waits for decision_idle_factor times its duration, so that decisions use
// at most a quarter of a processor.
void fleet_control_node::schedule_decision() {
  if (decision_scheduled_.exchange(true)) return;
  auto wait = std::chrono::steady_clock::duration(next_decision_) -
              std::chrono::steady_clock::now().time_since_epoch();
  if (wait.count() <= 0) {
    decide_on_change();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(pool_, wait);
  timer->async_wait([this, timer](const boost::system::error_code&) {
    if (!stopped_) decide_on_change();
  });
}

void fleet_control_node::decide_on_change() {
  decision_scheduled_ = false;
  auto start = std::chrono::steady_clock::now();
  decide([this](const auto& tables) {
    return dispatcher_.handle_change(tables, read_clocks());
  });
  auto end = std::chrono::steady_clock::now();
  auto duration = end - start;
  next_decision_ =
      (end.time_since_epoch() + decision_idle_factor * duration).count();
  metrics_.latency("decision_seconds").record(duration);
}

// A replica that is not a member of the group greets the new seeds, too.
void fleet_control_node::set_seeds(std::span<const agreement::member> seeds) {
  replica_.add_contacts(seeds);
  ranked_lock lock(dispatch_mutex_);
  seeds_.clear();
  for (const auto& seed : seeds) seeds_.push_back(seed.address);
}

// The seeds may all be processes without a disk, and a member that lost its
// disk may know no other address. Therefore the leader sends the list of
// members to the seeds as well as to the members.
void fleet_control_node::send_members(const replica_status& status) {
  auto now = steady_now();
  if (!status.may_serve || now - members_sent_at_ < members_interval) return;
  members_sent_at_ = now;
  wire::envelope out;
  std::set<std::string> targets;
  std::vector<std::string> members;
  for (const auto& m : status.members) {
    write(m, *out.mutable_roster()->add_members());
    targets.insert(m.address);
    members.push_back(m.address);
  }
  {
    ranked_lock lock(dispatch_mutex_);
    targets.insert(seeds_.begin(), seeds_.end());
    known_members_ = status.members;
  }
  targets.erase(settings_.listen_peer);
  for (const auto& address : targets) peers_.send(address, out);
  client_.set_addresses(std::move(members));
}

void fleet_control_node::handle_members(const wire::member_list& list) {
  std::vector<agreement::member> members;
  std::vector<std::string> addresses;
  for (const auto& m : list.members()) {
    members.push_back(read(m));
    addresses.push_back(m.address());
  }
  if (addresses.empty()) return;
  client_.set_addresses(std::move(addresses));
  replica_.add_contacts(members);
  ranked_lock lock(dispatch_mutex_);
  known_members_ = std::move(members);
}

// A replica that wants to join greets its seeds. Perhaps no seed is a member:
// they may have no disk, or be outside the group themselves. But the leader
// sends them the list of members, too.
void fleet_control_node::pass_members_to(const agreement::message& greeting) {
  const auto* hello = std::get_if<agreement::hello>(&greeting.body);
  if (hello == nullptr || hello->reply || hello->address.empty()) return;
  wire::envelope out;
  {
    ranked_lock lock(dispatch_mutex_);
    for (const auto& m : known_members_) {
      write(m, *out.mutable_roster()->add_members());
    }
  }
  if (out.has_roster()) peers_.send(hello->address, std::move(out));
}

void fleet_control_node::record_group(const replica_status& status) {
  metrics_.gauge("group_voters") = status.voters;
  metrics_.gauge("group_size") = status.group_size;
  metrics_.gauge("group_live_voters") = status.live_voters;
  metrics_.gauge("group_without_leader_milliseconds") =
      static_cast<std::uint64_t>(status.quorum.without_leader.count());
  metrics_.gauge("group_missing_voters") = status.quorum.missing.size();
}

// Called with the locks of the state and the dispatcher held. A data centre
// that is no longer under evacuation keeps its gauge, at 0.
void fleet_control_node::record_evacuations(const fleet::fleet_tables& tables) {
  metrics_.gauge("evacuated_data_centres") = tables.evacuations.size();
  for (const auto& [name, tasks] : dispatcher_.evacuations().remaining())
    evacuation_gauges_.insert(name);
  for (const auto& name : evacuation_gauges_) {
    const auto& remaining = dispatcher_.evacuations().remaining();
    auto it = remaining.find(name);
    metrics_.gauge("evacuated_tasks{data_centre=\"" + name + "\"}") =
        it == remaining.end() ? 0 : it->second;
  }
}

void fleet_control_node::run_round() {
  auto status = replica_.status();
  send_members(status);
  record_group(status);
  decide([&](const fleet::fleet_tables& tables) {
    update_leadership(tables, status);
    auto effects = dispatcher_.tick(tables, read_clocks());
    record_evacuations(tables);
    return effects;
  });
}

// Called with the locks of the state and the dispatcher held. A proposal that
// was not committed leaves the dispatcher with decisions that never take
// effect, so its leadership is restarted from the tables.
void fleet_control_node::update_leadership(const fleet::fleet_tables& tables,
                                           const replica_status& status) {
  if (status.role != agreement::role::leader) {
    if (dispatcher_.is_leader()) {
      log_event(log_level::info, "lead_lost",
                {{"term", static_cast<std::int64_t>(status.term)}});
      dispatcher_.end_leadership();
    }
    return;
  }
  bool restart = proposal_failed_.exchange(false);
  if (dispatcher_.fence() == status.term && !restart) return;
  if (!status.may_serve) return;
  dispatcher_.begin_leadership(status.term, tables, read_clocks());
}

void fleet_control_node::load_site(const fleet::fleet_tables& tables) {
  auto version = site_ == nullptr ? 0 : site_->version;
  if (tables.site_version == version) return;
  document_bytes_ = tables.site_document.size();
  auto parsed = platform_.parse_site(tables.site_document);
  if (!parsed) {
    log_event(log_level::error, "site_invalid",
              {{"version", static_cast<std::int64_t>(tables.site_version)}});
    return;
  }
  site_ = std::make_shared<const fleet::site>(std::move(*parsed));
  dispatcher_.set_config(site_);
  log_event(log_level::info, "site_in_force",
            {{"version", static_cast<std::int64_t>(site_->version)},
             {"queues", static_cast<std::int64_t>(site_->queues.size())}});
}

void fleet_control_node::execute(std::vector<fleet::effect> effects) {
  for (auto& e : effects) {
    std::visit([this](auto& one) { execute_effect(one); }, e);
  }
}

void fleet_control_node::execute_effect(fleet::propose& effect) {
  replica_.propose(effect.proposed, [this, token = effect.token](
                                        fleet::command_outcome outcome) {
    if (outcome == fleet::command_outcome::not_committed ||
        outcome == fleet::command_outcome::undetermined) {
      proposal_failed_ = true;
      return;
    }
    ranked_lock lock(dispatch_mutex_);
    dispatcher_.handle_commit(token);
  });
}

void fleet_control_node::execute_effect(fleet::send_worker_request& effect) {
  // A timeout closes the connection while the call uses it, so both must run
  // on one strand.
  asio::co_spawn(asio::make_strand(pool_), call_worker(std::move(effect)),
                 asio::detached);
}

void fleet_control_node::execute_effect(fleet::ask_advice& effect) {
  asio::co_spawn(asio::make_strand(pool_), ask_policy(std::move(effect)),
                 asio::detached);
}

void fleet_control_node::execute_effect(fleet::send_machine_request& effect) {
  asio::co_spawn(asio::make_strand(pool_), call_machines(std::move(effect)),
                 asio::detached);
}

void fleet_control_node::execute_effect(fleet::decision& effect) {
  log_decision(effect.event, effect.fields);
}

void fleet_control_node::execute_effect(fleet::work_discarded& effect) {
  auto cause = to_string(effect.cause);
  log_event(log_level::info, "work_discarded",
            {{"task", fleet::to_string(effect.task)},
             {"run", std::int64_t{effect.run}},
             {"worker", effect.worker},
             {"queue", effect.queue},
             {"cause", cause},
             {"reason", describe(effect.cause)},
             {"through_gang", effect.through_gang},
             {"core_ms", effect.core_ms}});
  metrics_.counter(labelled("discarded_core_milliseconds_total", cause))
      .fetch_add(static_cast<std::uint64_t>(effect.core_ms));
  metrics_.counter(labelled("discarded_runs_total", cause)).fetch_add(1);
}

void fleet_control_node::execute_effect(fleet::wait_ended& effect) {
  for (const auto& share : effect.shares) {
    auto cause = to_string(share.cause);
    log_event(log_level::info, "waited",
              {{"step", fleet::to_string(effect.step)},
               {"queue", effect.queue},
               {"cause", cause},
               {"wait_ms", share.time.count()}});
    metrics_.counter(labelled("waiting_milliseconds_total", cause))
        .fetch_add(static_cast<std::uint64_t>(share.time.count()));
  }
}

auto fleet_control_node::call_worker(fleet::send_worker_request effect)
    -> asio::awaitable<void> {
  auto id = effect.id;
  auto response = co_await platform_.call_worker(std::move(effect));
  if (stopped_) co_return;
  decide([&](const fleet::fleet_tables& tables) {
    return dispatcher_.handle_response(tables, id, response, read_clocks());
  });
}

auto fleet_control_node::ask_policy(fleet::ask_advice effect)
    -> asio::awaitable<void> {
  auto id = effect.id;
  auto advice = co_await platform_.ask_policy(std::move(effect));
  if (stopped_) co_return;
  decide([&](const fleet::fleet_tables& tables) {
    return dispatcher_.handle_advice(tables, id, advice, read_clocks());
  });
}

auto fleet_control_node::call_machines(fleet::send_machine_request effect)
    -> asio::awaitable<void> {
  auto id = effect.id;
  auto response = co_await platform_.call_machines(std::move(effect));
  if (stopped_) co_return;
  decide([&](const fleet::fleet_tables& tables) {
    return dispatcher_.handle_machine_response(tables, id, response,
                                               read_clocks());
  });
}

auto fleet_control_node::state_text() -> std::string {
  namespace json = boost::json;
  auto status = replica_.status();
  json::object out;
  out["name"] = settings_.name;
  out["role"] = to_string(status.role);
  out["term"] = status.term;
  out["commit"] = status.commit;
  out["leader"] = status.leader_address;
  out["voters"] = status.voters;
  out["group_size"] = status.group_size;
  json::array members;
  for (const auto& m : status.members) {
    members.push_back({{"address", m.address},
                       {"voter", m.voter},
                       {"surplus", m.surplus},
                       {"data_centre", m.data_centre}});
  }
  out["members"] = std::move(members);
  out["peer_bytes_sent"] = peers_.bytes_sent();
  replica_.read_state([&](const fleet::fleet_state& state) {
    ranked_lock lock(dispatch_mutex_);
    const auto& tables = state.tables();
    out["site_version"] = tables.site_version;
    out["jobs"] = tables.jobs.size();
    out["runs"] = dispatcher_.runs().size();
    json::array workers;
    for (const auto& [name, record] : tables.workers) {
      json::object one;
      one["name"] = name;
      one["born"] = record.incarnation.started_at_ms;
      one["service"] = record.service;
      one["rack"] = record.rack;
      one["draining"] = record.draining;
      auto it = dispatcher_.workers().find(name);
      if (it != dispatcher_.workers().end()) {
        one["holding"] = it->second.runs.size();
        one["failures"] = it->second.failures;
        one["unanswered"] = it->second.missed_responses;
        one["speed"] = dispatcher_.speeds().speed(machine_of(record));
      }
      workers.push_back(std::move(one));
    }
    out["workers"] = std::move(workers);
  });
  return json::serialize(out);
}

}  // namespace parsleyledge
