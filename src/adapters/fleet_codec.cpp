#include "adapters/fleet_codec.h"

#include <span>
#include <utility>

#include "core/overloaded.h"
#include "fleet.pb.h"

namespace parsleyledge::fleet {

namespace {

void write(const resources& from, wire::fleet_resources& to) {
  to.set_cpu_milli(from.cpu_milli);
  to.set_memory_mb(from.memory_mb);
  to.set_accelerators(from.accelerators);
}

auto read(const wire::fleet_resources& from) -> resources {
  return {from.cpu_milli(), from.memory_mb(), from.accelerators()};
}

void write(const worker_incarnation& from, wire::fleet_life& to) {
  to.set_name(from.name);
  to.set_born_ms(from.started_at_ms);
}

auto read(const wire::fleet_life& from) -> worker_incarnation {
  return {from.name(), from.born_ms()};
}

void write(const task_ref& from, wire::fleet_task_ref& to) {
  to.set_job(from.job.value);
  to.set_occurrence(from.occurrence);
  to.set_step(from.step);
  to.set_index(from.index);
}

auto read(const wire::fleet_task_ref& from) -> task_ref {
  return {{from.job()}, from.occurrence(), from.step(), from.index()};
}

void write(const step_spec& from, wire::fleet_step_spec& to) {
  to.set_tasks(from.tasks);
  write(from.per_task, *to.mutable_each());
  to.set_estimate_ms(from.estimate.count());
  for (auto before : from.after) to.add_after(before);
  to.set_checkpoints(from.checkpoints);
  to.set_gang(from.gang);
  to.set_same_rack(from.same_rack);
  to.set_speculative(from.speculative);
  to.set_lasting(from.long_running);
  to.set_fills(from.backfill);
  to.set_label(from.label);
  to.set_data_rack(from.data_rack);
  to.set_most_per_worker(from.max_per_worker);
  to.set_image(from.image);
  to.set_target_ms(from.target.count());
  to.set_may_miss(from.max_unavailable);
}

auto read(const wire::fleet_step_spec& from) -> step_spec {
  step_spec to;
  to.tasks = from.tasks();
  to.per_task = read(from.each());
  to.estimate = milliseconds(from.estimate_ms());
  to.after.assign(from.after().begin(), from.after().end());
  to.checkpoints = from.checkpoints();
  to.gang = from.gang();
  to.same_rack = from.same_rack();
  to.speculative = from.speculative();
  to.long_running = from.lasting();
  to.backfill = from.fills();
  to.label = from.label();
  to.data_rack = from.data_rack();
  to.max_per_worker = from.most_per_worker();
  to.image = from.image();
  to.target = milliseconds(from.target_ms());
  to.max_unavailable = from.may_miss();
  return to;
}

// Without what only requests need: the host, the prefix and their limits.
void write(const queue& from, wire::fleet_queue& to) {
  to.set_service(from.service);
  to.set_priority(from.priority);
  to.set_attempts(from.attempts);
  to.set_stretch(from.stretch);
  to.set_objective_ms(from.objective.count());
  if (!from.advice) return;
  to.mutable_advice()->set_decide_ms(from.advice->decide.count());
  to.mutable_advice()->set_each_ms(from.advice->each.count());
  to.mutable_advice()->set_validity_ms(from.advice->validity.count());
}

auto read(const wire::fleet_queue& from, std::string_view name) -> queue {
  queue to;
  to.name = name;
  to.service = from.service();
  to.priority = from.priority();
  to.attempts = from.attempts();
  to.stretch = from.stretch();
  to.objective = milliseconds(from.objective_ms());
  if (from.has_advice()) {
    to.advice = advice_terms{milliseconds(from.advice().decide_ms()),
                             milliseconds(from.advice().each_ms()),
                             milliseconds(from.advice().validity_ms())};
  }
  return to;
}

void write(const job_spec& from, wire::fleet_job_spec& to) {
  to.set_id(from.id.value);
  to.set_queue(from.queue);
  to.set_customer(from.customer);
  to.set_text(from.payload);
  for (const auto& step : from.steps) write(step, *to.add_steps());
  to.set_times(from.occurrences);
  to.set_first_due(to_ms(from.first_due));
  to.set_interval_ms(from.interval.count());
  if (!from.accepted_by.service.empty()) {
    write(from.accepted_by, *to.mutable_accepted_by());
  }
}

auto read(const wire::fleet_job_spec& from) -> job_spec {
  job_spec to;
  to.id = {from.id()};
  to.queue = from.queue();
  to.customer = from.customer();
  to.payload = from.text();
  for (const auto& step : from.steps()) to.steps.push_back(read(step));
  to.occurrences = from.times();
  to.first_due = at_ms(from.first_due());
  to.interval = milliseconds(from.interval_ms());
  if (from.has_accepted_by()) {
    to.accepted_by = read(from.accepted_by(), to.queue);
  }
  return to;
}

// Writes the fields that the record and the report of a worker have in common.
template <typename Worker>
void write_worker(const Worker& from, wire::fleet_worker& to) {
  write(from.incarnation, *to.mutable_life());
  to.set_address(from.address);
  to.set_machine(from.machine);
  to.set_service(from.service);
  to.set_data_centre(from.data_centre);
  to.set_rack(from.rack);
  for (const auto& label : from.labels) to.add_labels(label);
  write(from.capacity, *to.mutable_capacity());
  to.set_draining(from.draining);
  to.set_sequence(from.sequence);
}

template <typename Worker>
auto read_worker(const wire::fleet_worker& from) -> Worker {
  Worker to;
  to.incarnation = read(from.life());
  to.address = from.address();
  to.machine = from.machine();
  to.service = from.service();
  to.data_centre = from.data_centre();
  to.rack = from.rack();
  to.labels.assign(from.labels().begin(), from.labels().end());
  to.capacity = read(from.capacity());
  to.draining = from.draining();
  to.sequence = from.sequence();
  return to;
}

void write(const worker_report& from, wire::fleet_worker& to) {
  write_worker(from, to);
  to.set_remaining_ms(from.remaining.count());
  if (from.clock_ms) to.set_clock_ms(*from.clock_ms);
}

auto read_report(const wire::fleet_worker& from) -> worker_report {
  auto to = read_worker<worker_report>(from);
  to.remaining = milliseconds(from.remaining_ms());
  if (from.has_clock_ms()) to.clock_ms = from.clock_ms();
  return to;
}

void write(std::string_view data_centre, const evacuation_record& from,
           wire::fleet_evacuation& to) {
  to.set_data_centre(std::string(data_centre));
  to.set_requested_at(to_ms(from.requested_at));
}

void write(std::uint64_t number, const wave_record& from,
           wire::fleet_wave& to) {
  to.set_number(number);
  for (const auto& m : from.machines) to.add_machines(m);
  to.set_duration_ms(from.duration.count());
  to.set_at_once(from.max_concurrent);
  to.set_asked_at(to_ms(from.requested_at));
  for (const auto& m : from.requested) to.add_requested(m);
  for (const auto& m : from.started) {
    auto& one = *to.add_begun();
    one.set_machine(m.machine);
    one.set_born_ms(m.started_at_ms);
  }
  for (const auto& m : from.ended) to.add_ended(m);
}

auto read(const wire::fleet_wave& from) -> wave_record {
  wave_record to{{from.machines().begin(), from.machines().end()},
                 milliseconds(from.duration_ms()),
                 from.at_once(),
                 at_ms(from.asked_at()),
                 {from.requested().begin(), from.requested().end()},
                 {},
                 {from.ended().begin(), from.ended().end()}};
  for (const auto& m : from.begun()) {
    to.started.push_back({m.machine(), m.born_ms()});
  }
  return to;
}

void write(const recorded_speed& from, wire::fleet_speed& to) {
  to.set_machine(from.machine);
  to.set_log_speed(from.speed.log_speed);
  to.set_weight(from.speed.weight);
}

auto read(const wire::fleet_speed& from) -> recorded_speed {
  return {from.machine(), {from.log_speed(), from.weight()}};
}

void write_suspects(std::span<const suspected_run> from,
                    wire::fleet_command& to) {
  for (const auto& suspect : from) {
    auto& one = *to.add_suspects();
    write(suspect.task, *one.mutable_task());
    one.set_run(suspect.run);
    one.set_started(suspect.evidence == start_evidence::confirmed);
    one.set_unsent(suspect.evidence == start_evidence::none);
  }
}

auto read_evidence(const wire::fleet_command::suspect& from) -> start_evidence {
  if (from.started()) return start_evidence::confirmed;
  return from.unsent() ? start_evidence::none : start_evidence::sent;
}

auto read_suspects(const wire::fleet_command& from)
    -> std::vector<suspected_run> {
  std::vector<suspected_run> to;
  for (const auto& one : from.suspects()) {
    to.push_back({read(one.task()), one.run(), read_evidence(one)});
  }
  return to;
}

void write_command(const command& from, wire::fleet_command& to) {
  std::visit(overloaded{[&](const read_barrier&) { to.set_barrier(true); },
                        [&](const put_site& c) {
                          to.mutable_site()->set_version(c.version);
                          to.mutable_site()->set_document(c.document);
                        },
                        [&](const add_job& c) {
                          write(c.spec, *to.mutable_add()->mutable_spec());
                          to.mutable_add()->set_at(to_ms(c.at));
                        },
                        [&](const cancel_job& c) {
                          to.mutable_cancel()->set_job(c.job.value);
                          to.mutable_cancel()->set_at(to_ms(c.at));
                        },
                        [&](const fail_job& c) {
                          to.mutable_fail()->set_job(c.job.value);
                          to.mutable_fail()->set_at(to_ms(c.at));
                          to.mutable_fail()->set_reason(c.reason);
                        },
                        [&](const place_tasks& c) {
                          auto& placed = *to.mutable_placed();
                          placed.set_at(to_ms(c.at));
                          for (const auto& p : c.placements) {
                            auto& one = *placed.add_placements();
                            write(p.task, *one.mutable_task());
                            one.set_run(p.run);
                            write(p.worker, *one.mutable_worker());
                          }
                        },
                        [&](const end_runs& c) {
                          auto& ended = *to.mutable_ended();
                          ended.set_at(to_ms(c.at));
                          for (const auto& e : c.runs) {
                            auto& one = *ended.add_runs();
                            write(e.task, *one.mutable_task());
                            one.set_run(e.run);
                            write(e.worker, *one.mutable_worker());
                            one.set_how(static_cast<std::uint32_t>(e.outcome));
                            one.set_snapshot(e.snapshot);
                          }
                        },
                        [&](const put_worker& c) {
                          write_worker(c.worker, *to.mutable_worker());
                          write_suspects(c.suspects, to);
                        },
                        [&](const remove_worker& c) {
                          write(c.incarnation, *to.mutable_dropped());
                          write_suspects(c.suspects, to);
                        },
                        [&](const add_wave& c) {
                          write(c.number, c.wave, *to.mutable_wave());
                        },
                        [&](const record_maintenance_request& c) {
                          to.mutable_upkeep_requested()->set_wave(c.wave);
                          to.mutable_upkeep_requested()->set_machine(c.machine);
                        },
                        [&](const record_maintenance& c) {
                          to.mutable_kept_up()->set_wave(c.wave);
                          to.mutable_kept_up()->set_machine(c.machine);
                          to.mutable_kept_up()->set_ended(c.ended);
                          to.mutable_kept_up()->set_born_ms(c.started_at_ms);
                        },
                        [&](const evacuate_data_centre& c) {
                          write(c.data_centre, {c.at}, *to.mutable_evacuated());
                        },
                        [&](const restore_data_centre& c) {
                          to.set_restored(c.data_centre);
                        },
                        [&](const record_speeds& c) {
                          auto& speeds = *to.mutable_speeds();
                          for (const auto& one : c.speeds) {
                            write(one, *speeds.add_speeds());
                          }
                        },
                        [&](const record_starts& c) {
                          auto& started = *to.mutable_started();
                          for (const auto& start : c.starts) {
                            auto& one = *started.add_starts();
                            write(start.task, *one.mutable_task());
                            one.set_run(start.run);
                          }
                        }},
             from);
}

auto read_placed(const wire::fleet_command::place& from) -> place_tasks {
  place_tasks to;
  to.at = at_ms(from.at());
  for (const auto& p : from.placements()) {
    to.placements.push_back({read(p.task()), p.run(), read(p.worker())});
  }
  return to;
}

auto read_ended(const wire::fleet_command::end& from) -> end_runs {
  end_runs to;
  to.at = at_ms(from.at());
  for (const auto& e : from.runs()) {
    to.runs.push_back({read(e.task()), e.run(), read(e.worker()),
                       static_cast<run_end>(e.how()), e.snapshot()});
  }
  return to;
}

auto read_command(const wire::fleet_command& from) -> std::optional<command> {
  using wire::fleet_command;
  switch (from.what_case()) {
    case fleet_command::kBarrier:
      return read_barrier{};
    case fleet_command::kSite:
      return put_site{from.site().version(), from.site().document()};
    case fleet_command::kAdd:
      return add_job{read(from.add().spec()), at_ms(from.add().at())};
    case fleet_command::kCancel:
      return cancel_job{{from.cancel().job()}, at_ms(from.cancel().at())};
    case fleet_command::kFail:
      return fail_job{
          {from.fail().job()}, from.fail().reason(), at_ms(from.fail().at())};
    case fleet_command::kPlaced:
      return read_placed(from.placed());
    case fleet_command::kEnded:
      return read_ended(from.ended());
    case fleet_command::kWorker:
      return put_worker{read_worker<worker_record>(from.worker()),
                        read_suspects(from)};
    case fleet_command::kDropped:
      return remove_worker{read(from.dropped()), read_suspects(from)};
    case fleet_command::kWave:
      return add_wave{from.wave().number(), read(from.wave())};
    case fleet_command::kUpkeepRequested:
      return record_maintenance_request{from.upkeep_requested().wave(),
                                        from.upkeep_requested().machine()};
    case fleet_command::kKeptUp:
      return record_maintenance{from.kept_up().wave(), from.kept_up().machine(),
                                from.kept_up().ended(),
                                from.kept_up().born_ms()};
    case fleet_command::kEvacuated:
      return evacuate_data_centre{from.evacuated().data_centre(),
                                  at_ms(from.evacuated().requested_at())};
    case fleet_command::kRestored:
      return restore_data_centre{from.restored()};
    case fleet_command::kSpeeds: {
      record_speeds speeds;
      for (const auto& one : from.speeds().speeds()) {
        speeds.speeds.push_back(read(one));
      }
      return speeds;
    }
    case fleet_command::kStarted: {
      record_starts sent;
      for (const auto& one : from.started().starts()) {
        sent.starts.push_back({read(one.task()), one.run()});
      }
      return sent;
    }
    case fleet_command::WHAT_NOT_SET:
      return {};
  }
  return {};
}

void write(const step_record& from, wire::fleet_step& to) {
  for (const auto& task : from.tasks) {
    auto& one = *to.add_tasks();
    one.set_run(task.run);
    one.set_failures(task.failures);
    one.set_suspected(task.suspected);
    one.set_crashes(task.crashes);
    one.set_crashed_alone(task.crashed_alone);
    one.set_started_crashes(task.started_crashes);
    one.set_start_sent(task.start_sent);
    one.set_holding(task.assigned);
    one.set_done(task.done);
    write(task.worker, *one.mutable_worker());
    one.set_snapshot(task.snapshot);
  }
  to.set_done(from.done);
  to.set_failures(from.failures);
  to.set_failed_run(from.failed_run);
  to.set_last_run(from.last_run);
  to.set_snapshot(from.snapshot);
}

auto read(const wire::fleet_step& from) -> step_record {
  step_record to;
  for (const auto& task : from.tasks()) {
    // A snapshot of an earlier version has the count of the crashes only.
    bool suspected = task.suspected() || task.crashes() > 0;
    to.tasks.push_back({task.run(), task.failures(), suspected, task.crashes(),
                        task.crashed_alone(), task.started_crashes(),
                        task.start_sent(), task.holding(), task.done(),
                        read(task.worker()), task.snapshot()});
  }
  to.done = from.done();
  to.failures = from.failures();
  to.failed_run = from.failed_run();
  to.last_run = from.last_run();
  to.snapshot = from.snapshot();
  return to;
}

void write(const job_record& from, wire::fleet_job& to) {
  write(from.spec, *to.mutable_spec());
  to.set_state(static_cast<std::uint32_t>(from.state));
  to.set_accepted_at(to_ms(from.accepted_at));
  to.set_ended_at(to_ms(from.ended_at));
  for (const auto& [number, occurrence] : from.open) {
    auto& one = *to.add_open();
    one.set_number(number);
    one.set_done(occurrence.done);
    for (const auto& step : occurrence.steps) write(step, *one.add_steps());
  }
  to.set_occurrences_done(from.occurrences_done);
  to.set_first_open(from.first_open);
  for (auto k : from.done_early) to.add_done_early(k);
}

auto read(const wire::fleet_job& from) -> job_record {
  job_record to;
  to.spec = read(from.spec());
  to.state = static_cast<job_state>(from.state());
  to.accepted_at = at_ms(from.accepted_at());
  to.ended_at = at_ms(from.ended_at());
  for (const auto& one : from.open()) {
    auto& occurrence = to.open[one.number()];
    occurrence.done = one.done();
    for (const auto& step : one.steps()) {
      occurrence.steps.push_back(read(step));
    }
  }
  to.occurrences_done = from.occurrences_done();
  to.first_open = from.first_open();
  to.done_early.assign(from.done_early().begin(), from.done_early().end());
  return to;
}

void write(const job_address& from, wire::fleet_request::job_call& to) {
  to.set_host(from.host);
  to.set_path(from.path);
  to.set_key(from.key);
}

auto read(const wire::fleet_request::job_call& from) -> job_address {
  return {from.host(), from.path(), from.key()};
}

}  // namespace

auto encode(const command& from) -> std::string {
  wire::fleet_command message;
  write_command(from, message);
  return message.SerializeAsString();
}

auto decode_command(std::string_view bytes) -> std::optional<command> {
  wire::fleet_command message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return {};
  }
  return read_command(message);
}

auto encode(const fleet_tables& tables) -> std::string {
  wire::fleet_state message;
  message.set_site_version(tables.site_version);
  message.set_site_document(tables.site_document);
  for (const auto& [id, job] : tables.jobs) write(job, *message.add_jobs());
  for (auto id : tables.ended) message.add_ended(id.value);
  for (const auto& [name, worker] : tables.workers) {
    write_worker(worker, *message.add_workers());
  }
  for (const auto& [number, wave] : tables.waves) {
    write(number, wave, *message.add_waves());
  }
  for (const auto& [machine, speed] : tables.speeds) {
    write(recorded_speed{machine, speed}, *message.add_speeds());
  }
  for (const auto& [name, evacuation] : tables.evacuations) {
    write(name, evacuation, *message.add_evacuations());
  }
  return message.SerializeAsString();
}

auto decode_tables(std::string_view bytes) -> std::optional<fleet_tables> {
  wire::fleet_state message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return {};
  }
  fleet_tables tables;
  tables.site_version = message.site_version();
  tables.site_document = message.site_document();
  for (const auto& job : message.jobs()) {
    tables.jobs[{job.spec().id()}] = read(job);
  }
  for (auto id : message.ended()) tables.ended.push_back({id});
  for (const auto& worker : message.workers()) {
    tables.workers[worker.life().name()] = read_worker<worker_record>(worker);
  }
  for (const auto& wave : message.waves()) {
    tables.waves[wave.number()] = read(wave);
  }
  for (const auto& speed : message.speeds()) {
    tables.speeds[speed.machine()] = read(speed).speed;
  }
  for (const auto& one : message.evacuations()) {
    tables.evacuations[one.data_centre()] = {at_ms(one.requested_at())};
  }
  return tables;
}

void write(const request& from, wire::fleet_request& to) {
  std::visit(
      overloaded{
          [&](const ping_request&) { to.set_ping(true); },
          [&](const submit_request& r) {
            write(r.address, *to.mutable_submit());
            write(r.spec, *to.mutable_submit()->mutable_spec());
          },
          [&](const read_request& r) { write(r.address, *to.mutable_read()); },
          [&](const cancel_request& r) {
            write(r.address, *to.mutable_cancel());
          },
          [&](const report_request& r) {
            write(r.report, *to.mutable_report());
          },
          [&](const leave_request& r) {
            write(r.incarnation, *to.mutable_leave());
          },
          [&](const put_site_request& r) {
            to.mutable_put()->set_version(r.version);
            to.mutable_put()->set_document(r.document);
          },
          [&](const read_site_request&) { to.set_read_site(true); },
          [&](const start_wave_request& r) {
            write(r.number, r.wave, *to.mutable_start_wave());
          },
          [&](const read_wave_request& r) { to.set_read_wave(r.number); },
          [&](const evacuate_request& r) {
            to.mutable_evacuation()->set_data_centre(r.data_centre);
            to.mutable_evacuation()->set_withdraw(r.withdraw);
          },
          [&](const read_evacuations_request&) {
            to.set_read_evacuations(true);
          }},
      from);
}

auto read(const wire::fleet_request& from) -> std::optional<request> {
  using wire::fleet_request;
  switch (from.what_case()) {
    case fleet_request::kPing:
      return ping_request{};
    case fleet_request::kSubmit:
      return submit_request{read(from.submit()), read(from.submit().spec())};
    case fleet_request::kRead:
      return read_request{read(from.read())};
    case fleet_request::kCancel:
      return cancel_request{read(from.cancel())};
    case fleet_request::kReport:
      return report_request{read_report(from.report())};
    case fleet_request::kLeave:
      return leave_request{read(from.leave())};
    case fleet_request::kPut:
      return put_site_request{from.put().version(), from.put().document()};
    case fleet_request::kReadSite:
      return read_site_request{};
    case fleet_request::kStartWave:
      return start_wave_request{from.start_wave().number(),
                                read(from.start_wave())};
    case fleet_request::kReadWave:
      return read_wave_request{from.read_wave()};
    case fleet_request::kEvacuation:
      return evacuate_request{from.evacuation().data_centre(),
                              from.evacuation().withdraw()};
    case fleet_request::kReadEvacuations:
      return read_evacuations_request{};
    case fleet_request::WHAT_NOT_SET:
      return {};
  }
  return {};
}

void write(const reply& from, wire::fleet_reply& to) {
  to.set_status(static_cast<std::uint32_t>(from.status));
  to.set_text(from.text);
  to.set_number(from.number);
  to.set_retry_ms(from.retry_after.count());
  if (!from.limits) return;
  to.mutable_limits()->set_header_bytes(from.limits->header_bytes);
  to.mutable_limits()->set_body_bytes(from.limits->body_bytes);
  to.mutable_limits()->set_header_timeout_ms(
      from.limits->header_timeout.count());
}

auto read(const wire::fleet_reply& from) -> reply {
  reply to{static_cast<reply_status>(from.status()),
           from.text(),
           from.number(),
           milliseconds(from.retry_ms()),
           {}};
  if (from.has_limits()) {
    to.limits = {{from.limits().header_bytes(), from.limits().body_bytes(),
                  milliseconds(from.limits().header_timeout_ms())}};
  }
  return to;
}

}  // namespace parsleyledge::fleet
