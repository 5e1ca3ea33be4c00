#include "adapters/control_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/json.h"
#include "adapters/log.h"
#include "adapters/toml.h"
#include "core/jobs/cell_map.h"
#include "core/jobs/scheduler.h"
#include "core/overloaded.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace json = boost::json;

constexpr milliseconds round_interval{200};
constexpr milliseconds entry_ttl{30'000};  // without a poll
constexpr std::size_t max_listed_jobs = 1000;

auto to_id(std::string_view text) -> job_id {
  job_id id;
  std::from_chars(text.data(), text.data() + text.size(), id.value);
  return id;
}

}  // namespace

control_node::control_node(boost::asio::thread_pool& pool,
                           control_settings settings, journal opened_journal,
                           agreement::recovered_state recovered,
                           std::function<void(std::string_view)> fatal)
    : pool_(pool),
      settings_(std::move(settings)),
      peers_({settings_.group, settings_.name},
             [this](std::string_view from, wire::envelope message) {
               receive(from, std::move(message));
             }),
      replica_(pool, settings_.replica, std::move(opened_journal),
               std::move(recovered), metrics_,
               {[this](std::string_view address, agreement::message m) {
                  wire::envelope out;
                  write(m, *out.mutable_agreement());
                  peers_.send(address, std::move(out));
                },
                [this] { schedule_round(); }, std::move(fatal)}),
      rounds_(boost::asio::make_strand(pool)),
      timer_(rounds_),
      proposals_in_flight_(std::make_shared<std::atomic<int>>(0)),
      tracker_(lease_timing{}),
      site_(std::make_shared<site_config>()) {}

auto control_node::start() -> std::string {
  auto error = peers_.start(settings_.listen_peer);
  if (!error.empty()) return error;
  replica_.start();
  schedule_round();
  return {};
}

void control_node::retire() {
  replica_.retire();
}

auto control_node::leads() -> bool {
  return replica_.status().role == agreement::role::leader;
}

void control_node::stop() {
  stopped_ = true;
  replica_.stop();
  peers_.stop();
  boost::asio::post(rounds_, [this] { timer_.cancel(); });
}

void control_node::receive(std::string_view from, wire::envelope message) {
  if (message.has_agreement()) {
    if (auto m = read(message.agreement())) replica_.receive(std::move(*m));
    return;
  }
  if (!message.has_request()) return;
  boost::asio::post(
      pool_, [this, to = peer_token(from), request = std::move(message)] {
        handle_call(to, request);
      });
}

void control_node::send_reply(const peer_token& to, wire::call_reply reply) {
  wire::envelope out;
  *out.mutable_reply() = std::move(reply);
  peers_.reply(to, std::move(out));
}

void control_node::send_reply(const peer_token& to, std::uint64_t id,
                              const problem& rejection) {
  wire::call_reply reply;
  reply.set_id(id);
  write(rejection, *reply.mutable_refused());
  send_reply(to, std::move(reply));
}

void control_node::handle_call(const peer_token& from,
                               const wire::envelope& message) {
  const auto& call = message.request();
  ++metrics_.counter("calls_total");
  if (!replica_.may_serve()) {
    wire::call_reply reply;
    reply.set_id(call.id());
    reply.set_leader(replica_.status().leader_address);
    send_reply(from, std::move(reply));
    return;
  }
  switch (call.what_case()) {
    case wire::call::kChange:
      if (auto change = read(call.change())) {
        handle_change(from, call.id(), std::move(*change));
      }
      return;
    case wire::call::kWorker: {
      handle_announcement(call);
      wire::call_reply reply;
      reply.set_id(call.id());
      reply.set_noted(true);
      send_reply(from, std::move(reply));
      return;
    }
    case wire::call::kPoll:
      handle_poll(from, call);
      return;
    case wire::call::kAsk:
      handle_query(from, call);
      return;
    case wire::call::kMembers:
      handle_members(from, call);
      return;
    case wire::call::kDrain:
      handle_change(from, call.id(),
                    drain_worker{call.drain().name(), call.drain().draining()});
      return;
    case wire::call::kFleet:  // served by parsleyledge-fleet-control
    case wire::call::WHAT_NOT_SET:
      return;
  }
}

void control_node::handle_change(const peer_token& from, std::uint64_t id,
                                 command change) {
  // The leader sets the times of commands, so that they are consistent with its
  // other decisions.
  std::visit(
      [](auto& one) {
        if constexpr (requires { one.at; }) one.at = wall_now();
      },
      change);
  if (auto rejection = validate(change)) {
    send_reply(from, id, *rejection);
    return;
  }
  replica_.propose(change, [this, from, id](command_result result) {
    wire::call_reply reply;
    reply.set_id(id);
    write(result, *reply.mutable_result());
    send_reply(from, std::move(reply));
  });
}

auto control_node::roster() -> worker_roster {
  return replica_.read_state([&](const auto& state) {
    std::vector<const job_record*> jobs;
    for (auto id : state.active_jobs()) jobs.push_back(state.find_job(id));
    ranked_lock lock(workers_mutex_);
    return tracker_.roster(state.tables().homes, jobs, steady_now());
  });
}

auto control_node::fits_known_workers(const job_spec& spec) -> bool {
  ranked_lock lock(workers_mutex_);
  return !check_job(spec, tracker_.workers(), *site()).has_value();
}

auto control_node::validate(const command& change) -> std::optional<problem> {
  using none = std::optional<problem>;
  // A repeated change gets its first result, whatever fits now.
  auto is_known = [&](const auto& one) {
    return replica_.read_state([&](const auto& state) {
      return state.find_change(one.change_id, one.digest).has_value();
    });
  };
  return std::visit(
      overloaded{[&](const put_file& put) -> none {
                   if (is_known(put)) return {};
                   return validate_file(put.name, put.body);
                 },
                 [&](const delete_file& removal) -> none {
                   if (is_known(removal)) return {};
                   return validate_file(removal.name, {});
                 },
                 [&](const submit_job& submit) -> none {
                   bool exists = replica_.read_state([&](const auto& state) {
                     return state.find_job(submit.spec.customer,
                                           submit.spec.key) != nullptr;
                   });
                   if (exists || fits_known_workers(submit.spec)) return {};
                   return check_job(submit.spec, roster(), *site());
                 },
                 [](const cancel_jobs&) -> none { return {}; },
                 [](const claim_key&) -> none { return {}; },
                 [](const complete_key&) -> none { return {}; },
                 [](const release_key&) -> none { return {}; },
                 [](const drain_worker&) -> none { return {}; },
                 [](const auto&) -> none {
                   return problem{400, "Bad request",
                                  "only the leader may issue this command",
                                  run_outcome::not_run};
                 }},
      change);
}

auto control_node::validate_file(std::string_view name,
                                 std::optional<std::string> body)
    -> std::optional<problem> {
  auto files = replica_.read_state(
      [](const auto& state) { return state.tables().files; });
  if (body) {
    files[std::string(name)] = std::move(*body);
  } else {
    files.erase(std::string(name));
  }
  auto parsed = try_parse_folder(files);
  if (const auto* error = std::get_if<config_error>(&parsed)) {
    return problem{422, "Configuration refused", error->text(),
                   run_outcome::not_run};
  }
  return check_guarantees(std::get<site_config>(parsed), roster(), name);
}

void control_node::handle_announcement(const wire::call& call) {
  auto announced = read(call.worker());
  auto reports = read_reports(call.worker());
  {
    ranked_lock lock(workers_mutex_);
    tracker_.handle_announcement(announced, reports, steady_now());
  }
  if (!reports.empty()) schedule_round();
}

void control_node::handle_poll(const peer_token& from, const wire::call& call) {
  const auto& poll = call.poll();
  wire::call_reply reply;
  reply.set_id(call.id());
  auto& config = *reply.mutable_config();
  replica_.read_state([&](const auto& state) {
    const auto& tables = state.tables();
    config.set_version(tables.version.value);
    if (tables.version.value == poll.known()) return;
    config.set_changed(true);
    for (const auto& [name, body] : tables.files) {
      auto& file = *config.add_files();
      file.set_name(name);
      file.set_body(body);
    }
  });
  std::vector<slot_demand> demands;
  demands.reserve(static_cast<std::size_t>(poll.demands_size()));
  for (const auto& d : poll.demands()) {
    demands.push_back({d.endpoint(), d.incarnation(), d.slots(), d.held(),
                       d.busy(), d.wanted()});
  }
  auto now = steady_now();
  {
    ranked_lock lock(config_mutex_);
    entries_[poll.name()] = {poll.in_force(), poll.data_centre(), now};
    std::erase_if(entries_, [&](const auto& item) {
      return now - item.second.received_at > entry_ttl;
    });
    for (const auto& g : ledger_.report(poll.name(), call.id(), demands, now)) {
      auto& grant = *config.add_grants();
      grant.set_endpoint(g.endpoint);
      grant.set_incarnation(g.incarnation);
      grant.set_slots(g.slots);
    }
  }
  send_reply(from, std::move(reply));
}

void control_node::handle_query(const peer_token& from,
                                const wire::call& call) {
  const auto& ask = call.ask();
  auto found =
      query_document(ask.what(), ask.argument(), ask.customer(), ask.state());
  if (const auto* rejection = std::get_if<problem>(&found)) {
    send_reply(from, call.id(), *rejection);
    return;
  }
  wire::call_reply reply;
  reply.set_id(call.id());
  reply.set_document(std::get<std::string>(std::move(found)));
  send_reply(from, std::move(reply));
}

void control_node::handle_members(const peer_token& from,
                                  const wire::call& call) {
  const auto& change = call.members();
  agreement::replica_id id{change.id()};
  auto edit = [id, address = change.address(), remove = change.remove()](
                  std::span<const agreement::member> members) {
    std::vector<agreement::member> edited(members.begin(), members.end());
    std::erase_if(edited, [&](const auto& m) { return m.id == id; });
    // The replica's first message to the group carries its incarnation.
    if (!remove) edited.push_back({id, {}, address, false});
    return edited;
  };
  if (change.remove() && id == settings_.replica.id) {
    send_reply(from, call.id(),
               {409, "Replica leads",
                "it transfers its leadership; repeat the request",
                run_outcome::not_run});
    replica_.transfer_leadership();
    return;
  }
  replica_.change_members(edit, [this, from, i = call.id()](bool accepted) {
    if (!accepted) {
      send_reply(from, i,
                 {409, "Change in progress",
                  "another membership change is not committed yet",
                  run_outcome::not_run});
      return;
    }
    wire::call_reply reply;
    reply.set_id(i);
    reply.set_noted(true);
    send_reply(from, std::move(reply));
  });
}

auto control_node::query_document(std::string_view kind,
                                  std::string_view argument,
                                  std::string_view customer,
                                  std::string_view state)
    -> result_or_problem<std::string> {
  if (kind == "job") {
    return replica_.read_state(
        [&](const auto& s) -> result_or_problem<std::string> {
          if (const auto* job = s.find_job(to_id(argument))) {
            return json::serialize(to_json(*job));
          }
          return problem{404, "Not found",
                         "there is no job " + std::string(argument),
                         run_outcome::not_run};
        });
  }
  if (kind == "jobs") return jobs_text(customer, state);
  if (kind == "config") return config_text();
  if (kind == "in-force") return in_force_text();
  if (kind == "workers") return workers_text();
  if (kind == "customers") return customers_text();
  return problem{404, "Not found", "there is no document " + std::string(kind),
                 run_outcome::not_run};
}

auto control_node::jobs_text(std::string_view customer, std::string_view state)
    -> std::string {
  auto state_filter = parse_job_state(state);
  json::array jobs;
  std::size_t not_listed = 0;
  replica_.read_state([&](const auto& s) {
    const auto& rows = s.tables().jobs;
    for (auto it = rows.rbegin(); it != rows.rend(); ++it) {
      const auto& job = it->second;
      if (!customer.empty() && job.spec.customer != customer) continue;
      if (state_filter && job.state != *state_filter) continue;
      if (jobs.size() < max_listed_jobs) {
        jobs.push_back(to_json(job));
      } else {
        ++not_listed;
      }
    }
  });
  return json::serialize(
      json::object{{"jobs", std::move(jobs)}, {"not_listed", not_listed}});
}

auto control_node::config_text() -> std::string {
  json::object files;
  std::uint64_t version = 0;
  json::array history;
  replica_.read_state([&](const auto& s) {
    version = s.tables().version.value;
    for (const auto& [name, body] : s.tables().files) files[name] = body;
    const auto& changes = s.tables().changes;
    for (auto it = changes.rbegin();
         it != changes.rend() && history.size() < 100; ++it) {
      history.push_back(json::object{{"version", it->version.value},
                                     {"file", it->file},
                                     {"change_id", it->id},
                                     {"at", format_time(it->at)}});
    }
  });
  return json::serialize(json::object{{"version", version},
                                      {"files", std::move(files)},
                                      {"merged", to_json(*site())},
                                      {"history", std::move(history)}});
}

auto control_node::in_force_text() -> std::string {
  auto version = replica_.read_state(
      [](const auto& s) { return s.tables().version.value; });
  json::array processes;
  auto now = steady_now();
  ranked_lock lock(config_mutex_);
  for (const auto& [name, entry] : entries_) {
    processes.push_back(
        json::object{{"process", name},
                     {"data_centre", entry.data_centre},
                     {"version", entry.in_force},
                     {"age_ms", (now - entry.received_at).count()}});
  }
  return json::serialize(
      json::object{{"version", version}, {"processes", std::move(processes)}});
}

auto control_node::workers_text() -> std::string {
  std::map<std::string, std::uint64_t> used_accelerators;
  replica_.read_state([&](const auto& s) {
    for (auto id : s.active_jobs()) {
      for (const auto& a : s.find_job(id)->assignments) {
        used_accelerators[a.worker] |= a.accelerators;
      }
    }
  });
  json::array rows;
  ranked_lock lock(workers_mutex_);
  for (const auto& w : tracker_.workers()) {
    auto row = to_json(w);
    row["accelerators_in_use"] = std::popcount(used_accelerators[w.name]);
    rows.push_back(std::move(row));
  }
  return json::serialize(json::object{{"workers", std::move(rows)}});
}

auto control_node::customers_text() -> std::string {
  auto config = site();
  struct usage {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t borrowed = 0;
  };
  std::map<std::string, usage> usages;
  std::map<std::string, json::array> homes;
  replica_.read_state([&](const auto& s) {
    for (auto id : s.active_jobs()) {
      const auto& job = *s.find_job(id);
      auto& u = usages[job.spec.customer];
      if (job.state == job_state::queued) ++u.waiting;
      if (!is_placed(job.state)) continue;
      ++u.running;
      u.accelerators += job.spec.gang.accelerators;
      if (!job.claim) u.borrowed += job.spec.gang.accelerators;
    }
    for (const auto& [slot, cells] : s.tables().homes) {
      json::array workers;
      for (const auto& a : cells) workers.emplace_back(a.worker);
      homes[slot.customer].push_back(
          json::object{{"guarantee", slot.guarantee},
                       {"gang", slot.ordinal + 1},
                       {"workers", std::move(workers)}});
    }
  });
  json::array rows;
  for (const auto& [name, customer] : config->customers) {
    const auto& u = usages[name];
    rows.push_back(json::object{{"customer", name},
                                {"share", customer.share},
                                {"waiting", u.waiting},
                                {"running", u.running},
                                {"accelerators", u.accelerators},
                                {"borrowed", u.borrowed},
                                {"homes", homes[name]}});
  }
  return json::serialize(json::object{{"customers", std::move(rows)}});
}

auto control_node::site() -> std::shared_ptr<const site_config> {
  ranked_lock lock(config_mutex_);
  return site_;
}

void control_node::schedule_round() {
  if (stopped_ || round_queued_.exchange(true)) return;
  boost::asio::post(rounds_, [this] { run_round(); });
}

void control_node::run_round() {
  round_queued_ = false;
  if (stopped_) return;
  auto now = steady_now();
  auto wall = wall_now();
  bool leads = replica_.may_serve();
  if (leads && !was_leader_) {
    log_event(log_level::info, "leadership_taken", {{"name", settings_.name}});
    {
      ranked_lock lock(workers_mutex_);
      tracker_.begin_leadership(now);
    }
    proposals_in_flight_ = std::make_shared<std::atomic<int>>(0);
    ranked_lock lock(config_mutex_);
    ledger_.begin_leadership(now);
  }
  if (!leads && was_leader_) {
    ranked_lock lock(workers_mutex_);
    tracker_.end_leadership();
  }
  was_leader_ = leads;
  if (leads) {
    run_scheduler(now, wall);
    update_gangs(now, wall);
  }
  timer_.expires_after(round_interval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) schedule_round();
  });
}

void control_node::run_scheduler(time_point now, time_point wall) {
  std::map<std::string, std::string> files;
  config_version version;
  {
    ranked_lock lock(config_mutex_);
    version = site_version_;
  }
  bool changed = replica_.read_state([&](const auto& s) {
    if (s.tables().version == version) return false;
    files = s.tables().files;
    version = s.tables().version;
    return true;
  });
  if (changed) {
    auto parsed = try_parse_folder(files);
    if (auto* site = std::get_if<site_config>(&parsed)) {
      ranked_lock lock(config_mutex_);
      site_ = std::make_shared<const site_config>(std::move(*site));
      site_version_ = version;
    }
  }
  // The tables don't contain the results of proposals in flight, so the same
  // decisions would be made again.
  if (*proposals_in_flight_ > 0) return;
  auto config = site();
  auto start = std::chrono::steady_clock::now();
  auto plan = replica_.read_state([&](const auto& s) {
    std::vector<const job_record*> jobs;
    jobs.reserve(s.active_jobs().size());
    for (auto id : s.active_jobs()) jobs.push_back(s.find_job(id));
    ranked_lock lock(workers_mutex_);
    tracker_.update_conditions(s.tables().failures, s.tables().draining_workers,
                               config->policy, now, wall);
    if (tracker_.workers().empty()) return schedule{};
    return schedule_jobs(settings_.placement,
                         {tracker_.workers(), jobs, s.tables().homes,
                          s.tables().histories, *config, wall});
  });
  metrics_.latency("decision_seconds")
      .record(std::chrono::steady_clock::now() - start);
  report_unmet_guarantees(plan.unmet);
  for (auto& change : plan.commands) propose(std::move(change));
}

void control_node::report_unmet_guarantees(
    std::span<const guarantee_slot> unmet) {
  std::string text;
  for (const auto& slot : unmet) {
    text += slot.customer + "." + slot.guarantee + "[" +
            std::to_string(slot.ordinal + 1) + "] ";
  }
  {
    ranked_lock lock(config_mutex_);
    if (text == unmet_guarantees_) return;
    unmet_guarantees_ = text;
  }
  if (text.empty()) {
    log_event(log_level::info, "guarantees_restored");
  } else {
    log_event(log_level::error, "guarantees_unmet",
              {{"slots", std::string_view(text)}});
  }
}

void control_node::update_gangs(time_point now, time_point wall) {
  auto config = site();
  auto actions = replica_.read_state([&](const auto& s) {
    std::vector<const job_record*> jobs;
    for (auto id : s.active_jobs()) {
      const auto* job = s.find_job(id);
      if (!job->assignments.empty()) jobs.push_back(job);
    }
    ranked_lock lock(workers_mutex_);
    return tracker_.next_actions(jobs, *config, now, wall);
  });
  for (auto& action : actions) {
    std::visit(overloaded{[&](command& change) { propose(std::move(change)); },
                          [&](platform_request& r) {
                            boost::asio::co_spawn(
                                boost::asio::make_strand(pool_),
                                call_worker(std::move(r)),
                                boost::asio::detached);
                          }},
               action);
  }
}

void control_node::propose(command change) {
  ++*proposals_in_flight_;
  replica_.propose(change,
                   [this, count = proposals_in_flight_](const command_result&) {
                     --*count;
                     schedule_round();
                   });
}

auto control_node::call_worker(platform_request request)
    -> boost::asio::awaitable<void> {
  auto sent_at = steady_now();
  auto reply = co_await platform_.call(request);
  {
    ranked_lock lock(workers_mutex_);
    tracker_.handle_response(request, reply, sent_at, steady_now());
  }
  schedule_round();
}

auto control_node::state_text() -> std::string {
  auto status = replica_.status();
  json::array members;
  for (const auto& m : status.members) {
    members.push_back(json::object{
        {"replica", m.id.value}, {"address", m.address}, {"voter", m.voter}});
  }
  json::object tables;
  replica_.read_state([&](const auto& s) {
    tables = {{"config_version", s.tables().version.value},
              {"files", s.tables().files.size()},
              {"changes_remembered", s.tables().changes.size()},
              {"jobs", s.tables().jobs.size()},
              {"active_jobs", s.active_jobs().size()},
              {"keys", s.tables().keys.size()},
              {"homes", s.tables().homes.size()}};
  });
  std::string unmet;
  {
    ranked_lock lock(config_mutex_);
    unmet = unmet_guarantees_;
  }
  std::size_t workers = 0;
  {
    ranked_lock lock(workers_mutex_);
    workers = tracker_.workers().size();
  }
  return json::serialize(
      json::object{{"process", settings_.name},
                   {"data_centre", settings_.data_centre},
                   {"group", settings_.group},
                   {"replica", settings_.replica.id.value},
                   {"incarnation", settings_.replica.incarnation.value},
                   {"role", to_string(status.role)},
                   {"leader", status.leader_address},
                   {"serving", status.may_serve},
                   {"without_leader_ms", status.quorum.without_leader.count()},
                   {"missing_voters", status.quorum.missing.size()},
                   {"term", status.term},
                   {"commit", status.commit},
                   {"last", status.last},
                   {"snapshot", status.snapshot},
                   {"members", std::move(members)},
                   {"state", std::move(tables)},
                   {"workers", workers},
                   {"unmet_guarantees", unmet},
                   {"peer_bytes_sent", peers_.bytes_sent()},
                   {"peer_bytes_received", peers_.bytes_received()},
                   {"peer_messages_dropped", peers_.dropped()}});
}

auto control_node::serve(http_request request)
    -> boost::asio::awaitable<http_response> {
  if (request.method != "GET") {
    co_return make_response(problem{405, "Method not allowed",
                                    "only GET is served here",
                                    run_outcome::not_run});
  }
  if (request.target == "/healthz") {
    auto role = replica_.status().role;
    bool joined = role != agreement::role::bootstrapping;
    co_return make_response(
        joined ? 200 : 503, "text/plain",
        joined ? "ok\n" : "the replica has not joined a group yet\n");
  }
  if (request.target == "/state") {
    co_return make_response(200, "application/json", state_text());
  }
  if (request.target == "/metrics") {
    co_return make_response(200, "text/plain; version=0.0.4",
                            metrics_.format());
  }
  co_return make_response(problem{
      404, "Not found", "there is no " + request.target, run_outcome::not_run});
}

}  // namespace parsleyledge
