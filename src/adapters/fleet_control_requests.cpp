#include <algorithm>
#include <boost/asio.hpp>
#include <charconv>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/fleet_codec.h"
#include "adapters/fleet_control_node.h"
#include "adapters/log.h"
#include "core/fleet/task_name.h"
#include "wire.pb.h"

// Requests of callers, workers and operators to a control process.

namespace parsleyledge {

namespace {

namespace asio = boost::asio;
using fleet::reply;
using fleet::reply_status;

constexpr milliseconds retry_delay{1000};  // while there is no leader
// While the stored jobs take all the memory that they may. Ended jobs are
// erased some minutes later.
constexpr milliseconds full_store_retry_delay{5000};
constexpr std::size_t job_id_digits = 16;

auto refusal(reply_status status, std::string_view text) -> reply {
  bool retry =
      status == reply_status::unavailable || status == reply_status::busy;
  return {status, std::string(text), 0, retry ? retry_delay : milliseconds(0)};
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

/// A reply that a coroutine waits for, and the timer that it waits on.
struct fleet_control_node::pending_reply {
  explicit pending_reply(const asio::any_io_executor& executor)
      : timer(executor) {}

  asio::steady_timer timer;
  std::optional<reply> result;
};

/// The queue of a request, the customer and the part of the path after the
/// queue's prefix.
struct fleet_control_node::resolved_job {
  const fleet::queue* queue = nullptr;
  std::string customer;
  std::string rest;
  std::shared_ptr<const fleet::site> config;  // owns the queue
};

void fleet_control_node::receive(std::string_view from,
                                 wire::envelope message) {
  if (message.has_agreement()) {
    auto m = read(message.agreement());
    if (!m) return;
    pass_members_to(*m);
    if (settings_.has_disk) replica_.receive(std::move(*m));
    return;
  }
  if (message.has_roster()) {
    handle_members(message.roster());
    return;
  }
  if (message.has_reply()) {
    client_.receive(std::move(*message.mutable_reply()));
    return;
  }
  if (!message.has_request() || !message.request().has_fleet()) return;
  asio::post(pool_, [this, to = std::string(from), m = std::move(message)] {
    auto id = m.request().id();
    auto reply_to_caller = [this, to, id](const reply& r) {
      // The request was not executed and the leadership ended meanwhile, so the
      // caller asks the next leader.
      if (r.status == reply_status::unavailable && !replica_.may_serve()) {
        redirect(to, id);
        return;
      }
      wire::envelope out;
      out.mutable_reply()->set_id(id);
      write(r, *out.mutable_reply()->mutable_fleet());
      peers_.reply(to, std::move(out));
    };
    if (!replica_.may_serve()) {
      redirect(to, id);
      return;
    }
    auto request = fleet::read(m.request().fleet());
    if (!request) {
      reply_to_caller(refusal(reply_status::invalid, "unknown request type"));
      return;
    }
    dispatch_request(std::move(*request), reply_to_caller);
  });
}

void fleet_control_node::redirect(std::string_view to, std::uint64_t call) {
  wire::envelope out;
  out.mutable_reply()->set_id(call);
  out.mutable_reply()->set_leader(
      settings_.has_disk ? replica_.status().leader_address : client_.leader());
  peers_.reply(to, std::move(out));
}

auto fleet_control_node::serve(fleet::request request, milliseconds timeout)
    -> asio::awaitable<reply> {
  if (!replica_.may_serve()) {
    bool reads_site = std::holds_alternative<fleet::read_site_request>(request);
    auto leader_reply = co_await ask_leader(client_, std::move(request),
                                            steady_now() + timeout);
    if (reads_site) document_bytes_ = leader_reply.text.size();
    co_return leader_reply;
  }
  // The reply may arrive on any thread of the pool; it is posted to the
  // executor of this coroutine, which owns the timer.
  auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<pending_reply>(executor);
  pending->timer.expires_after(timeout);
  dispatch_request(std::move(request), [executor, pending](reply r) {
    asio::post(executor, [pending, r = std::move(r)]() mutable {
      pending->result = std::move(r);
      pending->timer.cancel();
    });
  });
  boost::system::error_code ec;
  co_await pending->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  if (pending->result) co_return std::move(*pending->result);
  co_return refusal(reply_status::undetermined,
                    "the request was not committed before its deadline");
}

void fleet_control_node::dispatch_request(fleet::request request,
                                          reply_handler done) {
  std::visit(
      [&](auto& one) { handle_request(std::move(one), std::move(done)); },
      request);
}

void fleet_control_node::commit(const fleet::command& command,
                                reply_handler done) {
  replica_.propose(
      command, [done = std::move(done)](fleet::command_outcome outcome) {
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
            done(refusal(reply_status::undetermined, "the leader changed"));
            return;
        }
      });
}

// Finds the queue by host and path, and the customer by key. If the queue is
// null, `failure` holds the reply with the reason.
auto fleet_control_node::resolve_job(const fleet::job_address& address,
                                     reply& failure) -> resolved_job {
  resolved_job resolved;
  {
    ranked_lock lock(dispatch_mutex_);
    resolved.config = site_;
  }
  if (resolved.config == nullptr) {
    failure = refusal(reply_status::unavailable, "no configuration yet");
    return resolved;
  }
  const auto* queue = find_queue(*resolved.config, address.host, address.path);
  auto customer = resolved.config->customer_by_key.find(address.key);
  bool known = customer != resolved.config->customer_by_key.end();
  if (queue == nullptr) {
    failure = refusal(reply_status::no_queue, "no such queue");
  } else if (!known && !queue->allows_anonymous) {
    failure = refusal(reply_status::unauthorized, "unknown key");
  }
  if (failure.status != reply_status::done) {
    log_event(log_level::info, "request_refused",
              {{"host", address.host},
               {"path", address.path},
               {"reason", failure.text},
               {"site_version",
                static_cast<std::int64_t>(resolved.config->version)}});
    return resolved;
  }
  if (known) resolved.customer = customer->second;
  resolved.rest = address.path.substr(queue->prefix.size());
  resolved.queue = queue;
  return resolved;
}

auto fleet_control_node::leader_address() -> std::string {
  return replica_.status().leader_address;
}

// The reply lists the addresses of the group's members, one per line, because
// the caller's seeds may be outdated, and the limits of callers' requests.
void fleet_control_node::handle_request(const fleet::ping_request&,
                                        reply_handler done) {
  reply r{reply_status::done, {}, 0, {}};
  for (const auto& m : replica_.status().members) r.text += m.address + "\n";
  {
    ranked_lock lock(dispatch_mutex_);
    if (site_ != nullptr) r.limits = site_->limits;
  }
  done(std::move(r));
}

void fleet_control_node::handle_request(fleet::submit_request request,
                                        reply_handler done) {
  reply failure{reply_status::done, {}, 0, {}};
  auto resolved = resolve_job(request.address, failure);
  if (resolved.queue == nullptr) return done(failure);
  auto id = parse_job_id(resolved.rest);
  if (!id) {
    return done(refusal(reply_status::invalid,
                        "the job id must be 16 hexadecimal digits"));
  }
  request.spec.id = *id;
  request.spec.queue = resolved.queue->name;
  request.spec.customer = resolved.customer;
  request.spec.accepted_by = *resolved.queue;
  auto bytes = fleet::stored_bytes(request.spec);
  auto admission = admit_job(request.spec, bytes);
  if (admission == job_admission::no_room) {
    log_event(log_level::warning, "job_refused",
              {{"job", fleet::to_string(*id)},
               {"customer", resolved.customer},
               {"reason", "the stored jobs take all memory for them"},
               {"bytes", static_cast<std::int64_t>(bytes)}});
    return done({reply_status::busy, "too many jobs are stored", 0,
                 full_store_retry_delay});
  }
  log_event(
      log_level::info, "job_submitted",
      {{"job", fleet::to_string(*id)},
       {"queue", resolved.queue->name},
       {"customer", resolved.customer},
       {"site_version", static_cast<std::int64_t>(resolved.config->version)},
       {"steps", static_cast<std::int64_t>(request.spec.steps.size())}});
  if (admission == job_admission::pending) {
    done = [this, customer = resolved.customer, bytes,
            done = std::move(done)](reply r) {
      {
        ranked_lock lock(dispatch_mutex_);
        pending_jobs_.remove(customer, bytes);
      }
      done(std::move(r));
    };
  }
  commit(fleet::add_job{std::move(request.spec), wall_now()}, std::move(done));
}

// A job that is stored already is confirmed again, whatever memory is left.
auto fleet_control_node::admit_job(const fleet::job_spec& spec,
                                   std::size_t bytes) -> job_admission {
  return replica_.read_state([&](const fleet::fleet_state& state) {
    if (state.tables().jobs.contains(spec.id)) return job_admission::stored;
    ranked_lock lock(dispatch_mutex_);
    if (!fleet::has_room(state.stored_jobs(), pending_jobs_, spec.customer,
                         bytes, settings_.max_job_bytes))
      return job_admission::no_room;
    pending_jobs_.add(spec.customer, bytes);
    return job_admission::pending;
  });
}

void fleet_control_node::handle_request(const fleet::read_request& request,
                                        reply_handler done) {
  reply failure{reply_status::done, {}, 0, {}};
  auto resolved = resolve_job(request.address, failure);
  if (resolved.queue == nullptr) return done(failure);
  if (resolved.rest.empty()) {
    auto queued = replica_.read_state([&](const fleet::fleet_state& state) {
      return std::ranges::count_if(state.tables().jobs, [&](const auto& item) {
        return item.second.spec.queue == resolved.queue->name &&
               item.second.state == fleet::job_state::queued;
      });
    });
    return done({reply_status::done, {}, queued, {}});
  }
  auto id = parse_job_id(resolved.rest);
  auto job_state = replica_.read_state([&](const fleet::fleet_state& state) {
    std::optional<fleet::job_state> result;
    if (!id) return result;
    auto it = state.tables().jobs.find(*id);
    if (it != state.tables().jobs.end()) result = it->second.state;
    return result;
  });
  if (!job_state) return done(refusal(reply_status::not_found, "no such job"));
  done({reply_status::done, std::string(fleet::to_string(*job_state)), 0, {}});
}

void fleet_control_node::handle_request(const fleet::cancel_request& request,
                                        reply_handler done) {
  reply failure{reply_status::done, {}, 0, {}};
  auto resolved = resolve_job(request.address, failure);
  if (resolved.queue == nullptr) return done(failure);
  auto id = parse_job_id(resolved.rest);
  if (!id) return done(refusal(reply_status::not_found, "no such job"));
  log_event(log_level::info, "job_cancelled", {{"job", fleet::to_string(*id)}});
  commit(fleet::cancel_job{*id, wall_now()}, std::move(done));
}

void fleet_control_node::handle_request(const fleet::report_request& request,
                                        reply_handler done) {
  std::optional<fleet::command> command;
  replica_.read_state([&](const fleet::fleet_state& state) {
    ranked_lock lock(dispatch_mutex_);
    command = dispatcher_.handle_report(state.tables(), request.report,
                                        {steady_now(), wall_now()});
  });
  if (!command) return done({reply_status::done, {}, 0, {}});
  // Text that is not UTF-8 can be encoded, but every replica ends at a
  // committed command that it cannot decode.
  if (!fleet::decode_command(fleet::encode(*command))) {
    log_event(log_level::warning, "report_refused",
              {{"detail", "a text of the report is not UTF-8"}});
    return done(
        refusal(reply_status::invalid, "a text of the report is not UTF-8"));
  }
  log_event(log_level::info, "worker_recorded",
            {{"worker", request.report.incarnation.name},
             {"born", request.report.incarnation.started_at_ms},
             {"draining", request.report.draining},
             {"sequence", static_cast<std::int64_t>(request.report.sequence)}});
  commit(*command, std::move(done));
}

void fleet_control_node::handle_request(const fleet::leave_request& request,
                                        reply_handler done) {
  auto command = replica_.read_state([&](const fleet::fleet_state& state) {
    ranked_lock lock(dispatch_mutex_);
    return dispatcher_.handle_departure(state.tables(), request.incarnation);
  });
  log_event(log_level::info, command ? "worker_left" : "departure_ignored",
            {{"worker", request.incarnation.name},
             {"born", request.incarnation.started_at_ms}});
  if (!command) return done({reply_status::done, {}, 0, {}});
  commit(*command, std::move(done));
}

void fleet_control_node::handle_request(fleet::put_site_request request,
                                        reply_handler done) {
  log_event(log_level::info, "site_received",
            {{"version", static_cast<std::int64_t>(request.version)}});
  commit(fleet::put_site{request.version, std::move(request.document)},
         std::move(done));
}

// Commits a barrier to the log before reading, so that the reply includes every
// change that was acknowledged before the request, even if this process was
// suspended and has lost its leadership without noticing.
void fleet_control_node::handle_request(const fleet::read_site_request&,
                                        reply_handler done) {
  commit(fleet::read_barrier{}, [this, done = std::move(done)](reply r) {
    if (r.status != reply_status::done) return done(std::move(r));
    r.text = replica_.read_state([](const fleet::fleet_state& state) {
      return state.tables().site_document;
    });
    document_bytes_ = r.text.size();
    if (r.text.empty()) {
      r = refusal(reply_status::unavailable, "no configuration yet");
    }
    done(std::move(r));
  });
}

void fleet_control_node::handle_request(fleet::start_wave_request request,
                                        reply_handler done) {
  request.wave.requested_at = wall_now();
  commit(fleet::add_wave{request.number, std::move(request.wave)},
         std::move(done));
}

void fleet_control_node::handle_request(const fleet::read_wave_request& request,
                                        reply_handler done) {
  auto complete = replica_.read_state([&](const fleet::fleet_state& state) {
    std::optional<bool> result;
    auto it = state.tables().waves.find(request.number);
    if (it == state.tables().waves.end()) return result;
    result = is_complete(it->second);
    return result;
  });
  if (!complete) return done(refusal(reply_status::not_found, "no such wave"));
  done({reply_status::done, *complete ? "complete" : "running", 0, {}});
}

// Orders carry no number, so the one that is committed last is in force.
void fleet_control_node::handle_request(const fleet::evacuate_request& request,
                                        reply_handler done) {
  const auto& name = request.data_centre;
  bool known = std::ranges::find(settings_.data_centres, name) !=
               settings_.data_centres.end();
  known = known || replica_.read_state([&](const fleet::fleet_state& state) {
    return state.tables().evacuations.contains(name) ||
           std::ranges::any_of(state.tables().workers, [&](const auto& item) {
             return item.second.data_centre == name;
           });
  });
  log_event(log_level::info, "evacuation_requested",
            {{"data_centre", name},
             {"withdraw", request.withdraw},
             {"known", known}});
  if (!known)
    return done(refusal(reply_status::invalid, "no such data centre"));
  if (request.withdraw) {
    commit(fleet::restore_data_centre{name}, std::move(done));
  } else {
    commit(fleet::evacuate_data_centre{name, wall_now()}, std::move(done));
  }
}

// Reads after a barrier, as the configuration is read.
void fleet_control_node::handle_request(const fleet::read_evacuations_request&,
                                        reply_handler done) {
  commit(fleet::read_barrier{}, [this, done = std::move(done)](reply r) {
    if (r.status != reply_status::done) return done(std::move(r));
    auto summaries = replica_.read_state([](const fleet::fleet_state& state) {
      return fleet::summarize_evacuations(state.tables());
    });
    for (const auto& one : summaries) {
      r.text += one.data_centre + " " +
                std::to_string(to_ms(one.requested_at)) + " " +
                std::to_string(one.tasks) + " " +
                std::to_string(one.long_running) + "\n";
    }
    done(std::move(r));
  });
}

}  // namespace parsleyledge
