#include <algorithm>
#include <boost/asio.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/fleet_control_node.h"
#include "adapters/log.h"
#include "core/fleet/task_name.h"
#include "wire.pb.h"

// What callers, workers and operators ask of a control process.

namespace parsleyledge {

namespace {

namespace asio = boost::asio;
using fleet::reply;
using fleet::reply_status;

constexpr milliseconds retry_hint{1000};  // while there is no leader
constexpr std::size_t job_id_digits = 16;

auto refusal(reply_status status, std::string_view text) -> reply {
  bool later =
      status == reply_status::unavailable || status == reply_status::busy;
  return {status, std::string(text), 0, later ? retry_hint : milliseconds(0)};
}

auto parse_job_id(std::string_view text) -> std::optional<fleet::job_id> {
  fleet::job_id id;
  if (text.size() != job_id_digits) return {};
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), id.value, 16);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return id;
}

}  // namespace

/// A reply that a coroutine waits for.
struct fleet_control_node::waiting_reply {
  explicit waiting_reply(const asio::any_io_executor& executor)
      : timer(executor) {}

  asio::steady_timer timer;
  std::optional<reply> result;
};

/// The queue that a caller means, and the rest of its path.
struct fleet_control_node::found_job {
  const fleet::queue* where = nullptr;
  std::string customer;
  std::string rest;
  std::shared_ptr<const fleet::site> config;  // keeps `where` alive
};

void fleet_control_node::receive(std::string_view from,
                                 wire::envelope message) {
  if (message.has_agreement()) {
    if (!settings_.has_disk) return;
    if (auto m = read(message.agreement())) replica_.receive(std::move(*m));
    return;
  }
  if (message.has_roster()) {
    hear_members(message.roster());
    return;
  }
  if (message.has_reply()) {
    client_.receive(std::move(*message.mutable_reply()));
    return;
  }
  if (!message.has_request() || !message.request().has_fleet()) return;
  asio::post(pool_, [this, to = std::string(from), m = std::move(message)] {
    auto id = m.request().id();
    auto answer = [this, to, id](const reply& r) {
      wire::envelope out;
      out.mutable_reply()->set_id(id);
      write(r, *out.mutable_reply()->mutable_fleet());
      peers_.reply(to, std::move(out));
    };
    if (!replica_.may_serve()) {
      wire::envelope out;
      out.mutable_reply()->set_id(id);
      out.mutable_reply()->set_leader(settings_.has_disk
                                          ? replica_.status().leader_address
                                          : client_.leader());
      peers_.reply(to, std::move(out));
      return;
    }
    auto what = fleet::read(m.request().fleet());
    if (!what) {
      answer(refusal(reply_status::invalid, "unknown kind of request"));
      return;
    }
    handle(std::move(*what), answer);
  });
}

auto fleet_control_node::serve(fleet::request what, milliseconds limit)
    -> asio::awaitable<reply> {
  if (!replica_.may_serve()) {
    auto answer =
        co_await ask_leader(client_, std::move(what), steady_now() + limit);
    co_return answer;
  }
  // The reply comes on any thread of the pool; the wait ends on this one.
  auto executor = co_await asio::this_coro::executor;
  auto waiting = std::make_shared<waiting_reply>(executor);
  waiting->timer.expires_after(limit);
  handle(std::move(what), [executor, waiting](reply r) {
    asio::post(executor, [waiting, r = std::move(r)]() mutable {
      waiting->result = std::move(r);
      waiting->timer.cancel();
    });
  });
  boost::system::error_code ec;
  co_await waiting->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  if (waiting->result) co_return std::move(*waiting->result);
  co_return refusal(reply_status::unknown, "not committed in time");
}

void fleet_control_node::handle(fleet::request what, replier done) {
  std::visit([&](auto& one) { handle_one(std::move(one), std::move(done)); },
             what);
}

void fleet_control_node::commit(const fleet::command& what, replier done) {
  replica_.propose(
      what, [done = std::move(done)](fleet::command_outcome outcome) {
        using fleet::command_outcome;
        switch (outcome) {
          case command_outcome::done:
          case command_outcome::repeated:
            done({reply_status::done, {}, 0, {}});
            return;
          case command_outcome::not_found:
            done(refusal(reply_status::not_found, "no such job"));
            return;
          case command_outcome::not_committed:
            done(refusal(reply_status::unavailable, "the leader changed"));
            return;
          case command_outcome::undetermined:
            done(refusal(reply_status::unknown, "the leader changed"));
            return;
        }
      });
}

// Finds the queue by host and path, and the customer by key. A null queue
// comes with the refusal that says why.
auto fleet_control_node::find_job(const fleet::job_address& where,
                                  reply& refused) -> found_job {
  found_job found;
  {
    ranked_lock lock(dispatch_mutex_);
    found.config = site_;
  }
  if (found.config == nullptr) {
    refused = refusal(reply_status::unavailable, "no configuration yet");
    return found;
  }
  const auto* queue = find_queue(*found.config, where.host, where.path);
  auto customer = found.config->customer_by_key.find(where.key);
  bool known = customer != found.config->customer_by_key.end();
  if (queue == nullptr) {
    refused = refusal(reply_status::no_queue, "no such queue");
  } else if (!known && !queue->open) {
    refused = refusal(reply_status::unauthorized, "unknown key");
  }
  if (refused.status != reply_status::done) {
    log_event(
        log_level::info, "request_refused",
        {{"host", where.host},
         {"path", where.path},
         {"reason", refused.text},
         {"site_version", static_cast<std::int64_t>(found.config->version)}});
    return found;
  }
  if (known) found.customer = customer->second;
  found.rest = where.path.substr(queue->prefix.size());
  found.where = queue;
  return found;
}

auto fleet_control_node::leader_address() -> std::string {
  return replica_.status().leader_address;
}

// The reply names the group's members, one address a line, for the seeds of
// the caller may be gone by now.
void fleet_control_node::handle_one(const fleet::ping_request&, replier done) {
  reply r{reply_status::done, {}, 0, {}};
  for (const auto& m : replica_.status().members) r.text += m.address + "\n";
  done(std::move(r));
}

void fleet_control_node::handle_one(fleet::submit_request what, replier done) {
  reply refused{reply_status::done, {}, 0, {}};
  auto found = find_job(what.where, refused);
  if (found.where == nullptr) return done(refused);
  auto id = parse_job_id(found.rest);
  if (!id) {
    return done(
        refusal(reply_status::invalid, "a job's id is 16 hexadecimal digits"));
  }
  what.spec.id = *id;
  what.spec.queue = found.where->name;
  what.spec.customer = found.customer;
  log_event(log_level::info, "job_submitted",
            {{"job", fleet::to_string(*id)},
             {"queue", found.where->name},
             {"customer", found.customer},
             {"site_version", static_cast<std::int64_t>(found.config->version)},
             {"steps", static_cast<std::int64_t>(what.spec.steps.size())}});
  commit(fleet::add_job{std::move(what.spec), wall_now()}, std::move(done));
}

void fleet_control_node::handle_one(const fleet::read_request& what,
                                    replier done) {
  reply refused{reply_status::done, {}, 0, {}};
  auto found = find_job(what.where, refused);
  if (found.where == nullptr) return done(refused);
  if (found.rest.empty()) {
    auto waiting = replica_.read_state([&](const fleet::fleet_state& state) {
      return std::ranges::count_if(state.tables().jobs, [&](const auto& item) {
        return item.second.spec.queue == found.where->name &&
               item.second.state == fleet::job_state::queued;
      });
    });
    return done({reply_status::done, {}, waiting, {}});
  }
  auto id = parse_job_id(found.rest);
  auto state = replica_.read_state([&](const fleet::fleet_state& tables) {
    std::optional<fleet::job_state> result;
    if (!id) return result;
    auto it = tables.tables().jobs.find(*id);
    if (it != tables.tables().jobs.end()) result = it->second.state;
    return result;
  });
  if (!state) return done(refusal(reply_status::not_found, "no such job"));
  done({reply_status::done, std::string(fleet::to_string(*state)), 0, {}});
}

void fleet_control_node::handle_one(const fleet::cancel_request& what,
                                    replier done) {
  reply refused{reply_status::done, {}, 0, {}};
  auto found = find_job(what.where, refused);
  if (found.where == nullptr) return done(refused);
  auto id = parse_job_id(found.rest);
  if (!id) return done(refusal(reply_status::not_found, "no such job"));
  log_event(log_level::info, "job_cancelled", {{"job", fleet::to_string(*id)}});
  commit(fleet::cancel_job{*id, wall_now()}, std::move(done));
}

void fleet_control_node::handle_one(const fleet::report_request& what,
                                    replier done) {
  std::optional<fleet::command> news;
  replica_.read_state([&](const fleet::fleet_state& state) {
    ranked_lock lock(dispatch_mutex_);
    news = dispatcher_.handle_report(state.tables(), what.report,
                                     {steady_now(), wall_now()});
  });
  if (!news) return done({reply_status::done, {}, 0, {}});
  log_event(log_level::info, "worker_noted",
            {{"worker", what.report.incarnation.name},
             {"born", what.report.incarnation.started_at_ms},
             {"draining", what.report.draining},
             {"sequence", static_cast<std::int64_t>(what.report.sequence)}});
  commit(*news, std::move(done));
}

void fleet_control_node::handle_one(const fleet::leave_request& what,
                                    replier done) {
  auto incarnation = replica_.read_state([&](const fleet::fleet_state& state) {
    if (what.incarnation.started_at_ms != 0) return what.incarnation;
    auto it = state.tables().workers.find(what.incarnation.name);
    return it == state.tables().workers.end() ? what.incarnation
                                              : it->second.incarnation;
  });
  log_event(
      log_level::info, "worker_left",
      {{"worker", incarnation.name}, {"born", incarnation.started_at_ms}});
  commit(fleet::remove_worker{incarnation}, std::move(done));
}

void fleet_control_node::handle_one(fleet::put_site_request what,
                                    replier done) {
  log_event(log_level::info, "site_offered",
            {{"version", static_cast<std::int64_t>(what.version)}});
  commit(fleet::put_site{what.version, std::move(what.document)},
         std::move(done));
}

// A read goes through the log, so that it can never be older than what was
// acknowledged before it came, whatever this process slept through.
void fleet_control_node::handle_one(const fleet::read_site_request&,
                                    replier done) {
  commit(fleet::read_barrier{}, [this, done = std::move(done)](reply r) {
    if (r.status != reply_status::done) return done(std::move(r));
    r.text = replica_.read_state([](const fleet::fleet_state& state) {
      return state.tables().site_document;
    });
    if (r.text.empty()) {
      r = refusal(reply_status::unavailable, "no configuration yet");
    }
    done(std::move(r));
  });
}

void fleet_control_node::handle_one(fleet::start_wave_request what,
                                    replier done) {
  what.wave.asked_at = wall_now();
  commit(fleet::add_wave{what.number, std::move(what.wave)}, std::move(done));
}

void fleet_control_node::handle_one(const fleet::read_wave_request& what,
                                    replier done) {
  auto complete = replica_.read_state([&](const fleet::fleet_state& state) {
    std::optional<bool> result;
    auto it = state.tables().waves.find(what.number);
    if (it == state.tables().waves.end()) return result;
    result = is_complete(it->second);
    return result;
  });
  if (!complete) return done(refusal(reply_status::not_found, "no such wave"));
  done({reply_status::done, *complete ? "complete" : "running", 0, {}});
}

}  // namespace parsleyledge
