#include "adapters/codec.h"

#include "core/overloaded.h"
#include "wire.pb.h"

namespace parsleyledge {

// Internal functions are static instead of being in an unnamed namespace, where
// they would hide the public overloads.

static void write(const gang_shape& from, wire::gang& to) {
  to.set_accelerators(from.accelerators);
  to.set_within(static_cast<std::uint32_t>(from.within));
}

static auto read(const wire::gang& from) -> gang_shape {
  return {from.accelerators(), static_cast<adjacency>(from.within())};
}

static void write(const job_spec& from, wire::job_spec& to) {
  to.set_customer(from.customer);
  to.set_key(from.key);
  write(from.gang, *to.mutable_shape());
  to.set_processors(from.processors);
  to.set_memory_mb(from.memory_mb);
  to.set_run_time_ms(from.run_time.count());
  to.set_urgent(from.urgency == job_urgency::urgent);
  to.set_borrow(from.borrow);
  to.set_checkpoint(from.checkpoint);
  to.set_payload(from.payload);
}

static auto read(const wire::job_spec& from) -> job_spec {
  return {from.customer(),
          from.key(),
          read(from.shape()),
          from.processors(),
          from.memory_mb(),
          milliseconds(from.run_time_ms()),
          from.urgent() ? job_urgency::urgent : job_urgency::normal,
          from.borrow(),
          from.checkpoint(),
          from.payload()};
}

static void write(const assignment& from, wire::assignment& to) {
  to.set_worker(from.worker);
  to.set_accelerators(from.accelerators);
  to.set_processors(from.processors);
  to.set_memory_mb(from.memory_mb);
}

static auto read(const wire::assignment& from) -> assignment {
  return {from.worker(), from.accelerators(), from.processors(),
          from.memory_mb()};
}

static void write(const guarantee_slot& from, wire::slot& to) {
  to.set_customer(from.customer);
  to.set_guarantee(from.guarantee);
  to.set_ordinal(from.ordinal);
}

static auto read(const wire::slot& from) -> guarantee_slot {
  return {from.customer(), from.guarantee(), from.ordinal()};
}

static void write(const key_name& from, wire::key& to) {
  to.set_customer(from.customer);
  to.set_service(from.service);
  to.set_id(from.key);
}

static auto read(const wire::key& from) -> key_name {
  return {from.customer(), from.service(), from.id()};
}

static void write(const stored_response& from, wire::answer& to) {
  to.set_status(from.status);
  to.set_content_type(from.content_type);
  to.set_body(from.body);
  to.set_held(from.has_body);
}

static auto read(const wire::answer& from) -> stored_response {
  return {from.status(), from.content_type(), from.body(), from.held()};
}

static auto read(const wire::home& from) -> guarantee_home;
static auto read(const wire::change_record& from) -> change_record;

/// Appends a range of rows to a repeated field.
template <typename Rows, typename Field>
static void write_all(const Rows& rows, Field& field) {
  for (const auto& row : rows) write(row, *field.Add());
}

/// Reads a repeated field into a container of rows.
template <typename Rows, typename Field>
static auto read_all(const Field& field) -> Rows {
  Rows rows;
  for (const auto& row : field) rows.push_back(read(row));
  return rows;
}

/// Copies a repeated field of scalars or strings into a container.
template <typename T, typename Field>
static auto to_container(const Field& field) -> T {
  return T(field.begin(), field.end());
}

static void write(const guarantee_home& from, wire::home& to) {
  write(from.slot, *to.mutable_where());
  write_all(from.cells, *to.mutable_cells());
}

static auto read(const wire::home& from) -> guarantee_home {
  return {read(from.where()), read_all<std::vector<assignment>>(from.cells())};
}

static void write_body(const put_file& from, wire::command& command) {
  auto& to = *command.mutable_put();
  to.set_name(from.name);
  to.set_body(from.body);
  to.set_base(from.base.value);
  to.set_change_id(from.change_id);
  to.set_digest(from.digest);
  to.set_at(to_ms(from.at));
}

static void write_body(const delete_file& from, wire::command& command) {
  auto& to = *command.mutable_remove();
  to.set_name(from.name);
  to.set_base(from.base.value);
  to.set_change_id(from.change_id);
  to.set_digest(from.digest);
  to.set_at(to_ms(from.at));
}

static void write_body(const submit_job& from, wire::command& command) {
  auto& to = *command.mutable_submit();
  write(from.spec, *to.mutable_spec());
  to.set_at(to_ms(from.at));
}

static void write_body(const cancel_jobs& from, wire::command& command) {
  auto& to = *command.mutable_cancel();
  to.set_customer(from.customer);
  for (const auto& key : from.keys) to.add_keys(key);
  for (auto id : from.ids) to.add_ids(id.value);
  to.set_at(to_ms(from.at));
}

static void write_body(const place_job& from, wire::command& command) {
  auto& to = *command.mutable_place();
  to.set_job(from.job.value);
  if (from.claim) write(*from.claim, *to.mutable_claim());
  write_all(from.assignments, *to.mutable_assignments());
  write_all(from.new_home, *to.mutable_new_home());
  to.set_at(to_ms(from.at));
}

static void write_body(const reserve_cells& from, wire::command& command) {
  auto& to = *command.mutable_reserve();
  to.set_job(from.job.value);
  if (from.claim) write(*from.claim, *to.mutable_claim());
  write_all(from.cells, *to.mutable_cells());
}

static void write_body(const start_job& from, wire::command& command) {
  auto& to = *command.mutable_start();
  to.set_job(from.job.value);
  to.set_attempt(from.attempt);
  to.set_at(to_ms(from.at));
}

static void write_body(const checkpoint_job& from, wire::command& command) {
  auto& to = *command.mutable_checkpoint();
  to.set_job(from.job.value);
  to.set_attempt(from.attempt);
  to.set_reason(from.reason);
  to.set_at(to_ms(from.at));
}

static void write_body(const end_attempt& from, wire::command& command) {
  auto& to = *command.mutable_end();
  to.set_job(from.job.value);
  to.set_attempt(from.attempt);
  to.set_result(static_cast<std::uint32_t>(from.result));
  to.set_requeue(from.requeue);
  to.set_worker(from.worker);
  to.set_progress_ms(from.progress.count());
  to.set_reason(from.reason);
  to.set_at(to_ms(from.at));
}

static void write_body(const reject_job& from, wire::command& command) {
  auto& to = *command.mutable_refuse();
  to.set_job(from.job.value);
  to.set_reason(from.reason);
  to.set_at(to_ms(from.at));
}

static void write_body(const release_workers& from, wire::command& command) {
  auto& to = *command.mutable_release();
  to.set_job(from.job.value);
  to.set_attempt(from.attempt);
  for (const auto& worker : from.workers) to.add_workers(worker);
}

static void write_body(const set_homes& from, wire::command& command) {
  auto& to = *command.mutable_homes();
  write_all(from.homes, *to.mutable_homes());
  write_all(from.removed, *to.mutable_removed());
}

static void write_body(const claim_key& from, wire::command& command) {
  auto& to = *command.mutable_claim();
  write(from.name, *to.mutable_name());
  to.set_digest(from.digest);
  to.set_owner(from.owner);
  to.set_deadline(to_ms(from.deadline));
  to.set_at(to_ms(from.at));
}

static void write_body(const complete_key& from, wire::command& command) {
  auto& to = *command.mutable_finish();
  write(from.name, *to.mutable_name());
  to.set_owner(from.owner);
  write(from.response, *to.mutable_what());
  to.set_at(to_ms(from.at));
}

static void write_body(const release_key& from, wire::command& command) {
  auto& to = *command.mutable_drop();
  write(from.name, *to.mutable_name());
  to.set_owner(from.owner);
}

static void write_body(const drain_worker& from, wire::command& command) {
  command.mutable_drain()->set_name(from.worker);
  command.mutable_drain()->set_draining(from.draining);
}

static auto read_body(const wire::put_file& from) -> put_file {
  return {from.name(),      from.body(),   {from.base()},
          from.change_id(), from.digest(), at_ms(from.at())};
}

static auto read_body(const wire::delete_file& from) -> delete_file {
  return {from.name(),
          {from.base()},
          from.change_id(),
          from.digest(),
          at_ms(from.at())};
}

static auto read_body(const wire::cancel_jobs& from) -> cancel_jobs {
  cancel_jobs to;
  to.customer = from.customer();
  to.keys = to_container<std::vector<std::string>>(from.keys());
  for (auto id : from.ids()) to.ids.push_back({id});
  to.at = at_ms(from.at());
  return to;
}

static auto read_body(const wire::place_job& from) -> place_job {
  place_job to;
  to.job = {from.job()};
  if (from.has_claim()) to.claim = read(from.claim());
  to.assignments = read_all<std::vector<assignment>>(from.assignments());
  to.new_home = read_all<std::vector<assignment>>(from.new_home());
  to.at = at_ms(from.at());
  return to;
}

static auto read_body(const wire::reserve_cells& from) -> reserve_cells {
  reserve_cells to;
  to.job = {from.job()};
  if (from.has_claim()) to.claim = read(from.claim());
  to.cells = read_all<std::vector<assignment>>(from.cells());
  return to;
}

static auto read_body(const wire::end_attempt& from) -> end_attempt {
  return {{from.job()},
          from.attempt(),
          static_cast<attempt_result>(from.result()),
          from.requeue(),
          from.worker(),
          milliseconds(from.progress_ms()),
          from.reason(),
          at_ms(from.at())};
}

static auto read_body(const wire::move_homes& from) -> set_homes {
  return {read_all<std::vector<guarantee_home>>(from.homes()),
          read_all<std::vector<guarantee_slot>>(from.removed())};
}

static auto read_body(const wire::claim_key& from) -> claim_key {
  return {read(from.name()), from.digest(), from.owner(),
          at_ms(from.deadline()), at_ms(from.at())};
}

static void write(const change_record& from, wire::change_record& to) {
  to.set_id(from.id);
  to.set_digest(from.digest);
  to.set_version(from.version.value);
  to.set_file(from.file);
  to.set_at(to_ms(from.at));
}

static auto read(const wire::change_record& from) -> change_record {
  return {from.id(),
          from.digest(),
          {from.version()},
          from.file(),
          at_ms(from.at())};
}

static void write(const job_record& from, wire::job_record& to) {
  to.set_id(from.id.value);
  write(from.spec, *to.mutable_spec());
  to.set_state(static_cast<std::uint32_t>(from.state));
  to.set_reason(from.reason);
  to.set_attempt(from.attempt);
  to.set_fence(from.fence.value);
  if (from.claim) write(*from.claim, *to.mutable_claim());
  write_all(from.assignments, *to.mutable_assignments());
  to.set_submitted_at(to_ms(from.submitted_at));
  to.set_placed_at(to_ms(from.placed_at));
  to.set_started_at(to_ms(from.started_at));
  to.set_checkpoint_at(to_ms(from.checkpoint_at));
  to.set_ended_at(to_ms(from.ended_at));
  to.set_progress_ms(from.progress.count());
  for (const auto& worker : from.failed_on) to.add_failed_on(worker);
  to.set_reclaims(from.reclaims);
  write_all(from.reserved, *to.mutable_reserved());
  if (from.reserved_claim) {
    write(*from.reserved_claim, *to.mutable_reserved_claim());
  }
  for (const auto& worker : from.ran_on) to.add_ran_on(worker);
}

static auto read(const wire::job_record& from) -> job_record {
  job_record to;
  to.id = {from.id()};
  to.spec = read(from.spec());
  to.state = static_cast<job_state>(from.state());
  to.reason = from.reason();
  to.attempt = from.attempt();
  to.fence = {from.fence()};
  if (from.has_claim()) to.claim = read(from.claim());
  to.assignments = read_all<std::vector<assignment>>(from.assignments());
  to.submitted_at = at_ms(from.submitted_at());
  to.placed_at = at_ms(from.placed_at());
  to.started_at = at_ms(from.started_at());
  to.checkpoint_at = at_ms(from.checkpoint_at());
  to.ended_at = at_ms(from.ended_at());
  to.progress = milliseconds(from.progress_ms());
  to.failed_on = to_container<std::vector<std::string>>(from.failed_on());
  to.reclaims = from.reclaims();
  to.reserved = read_all<std::vector<assignment>>(from.reserved());
  if (from.has_reserved_claim()) {
    to.reserved_claim = read(from.reserved_claim());
  }
  to.ran_on = to_container<std::vector<std::string>>(from.ran_on());
  return to;
}

void write(const command& from, wire::command& to) {
  std::visit([&](const auto& one) { write_body(one, to); }, from);
}

auto read(const wire::command& from) -> std::optional<command> {
  using kind = wire::command;
  switch (from.what_case()) {
    case kind::kPut:
      return read_body(from.put());
    case kind::kRemove:
      return read_body(from.remove());
    case kind::kSubmit:
      return submit_job{read(from.submit().spec()), at_ms(from.submit().at())};
    case kind::kCancel:
      return read_body(from.cancel());
    case kind::kPlace:
      return read_body(from.place());
    case kind::kStart:
      return start_job{{from.start().job()},
                       from.start().attempt(),
                       at_ms(from.start().at())};
    case kind::kCheckpoint:
      return checkpoint_job{{from.checkpoint().job()},
                            from.checkpoint().attempt(),
                            from.checkpoint().reason(),
                            at_ms(from.checkpoint().at())};
    case kind::kEnd:
      return read_body(from.end());
    case kind::kRefuse:
      return reject_job{{from.refuse().job()},
                        from.refuse().reason(),
                        at_ms(from.refuse().at())};
    case kind::kRelease:
      return release_workers{
          {from.release().job()},
          from.release().attempt(),
          to_container<std::vector<std::string>>(from.release().workers())};
    case kind::kHomes:
      return read_body(from.homes());
    case kind::kClaim:
      return read_body(from.claim());
    case kind::kFinish:
      return complete_key{read(from.finish().name()), from.finish().owner(),
                          read(from.finish().what()),
                          at_ms(from.finish().at())};
    case kind::kReserve:
      return read_body(from.reserve());
    case kind::kDrain:
      return drain_worker{from.drain().name(), from.drain().draining()};
    case kind::kDrop:
      return release_key{read(from.drop().name()), from.drop().owner()};
    case kind::WHAT_NOT_SET:
      break;
  }
  return {};
}

void write(const problem& from, wire::problem& to) {
  to.set_status(static_cast<std::uint32_t>(from.status));
  to.set_title(from.title);
  to.set_detail(from.detail);
  to.set_outcome(static_cast<std::uint32_t>(from.outcome));
}

auto read(const wire::problem& from) -> problem {
  return {static_cast<int>(from.status()), from.title(), from.detail(),
          static_cast<run_outcome>(from.outcome())};
}

void write(const command_result& from, wire::command_result& to) {
  std::visit(
      overloaded{[&](const command_done&) { to.set_done(true); },
                 [&](const config_accepted& r) {
                   to.set_config_accepted(r.version.value);
                 },
                 [&](const config_conflict& r) {
                   to.set_config_conflict(r.current.value);
                 },
                 [&](const job_accepted& r) {
                   if (r.existed) {
                     to.set_job_existed(r.job.value);
                   } else {
                     to.set_job_new(r.job.value);
                   }
                 },
                 [&](const jobs_cancelled& r) { to.set_cancelled(r.count); },
                 [&](const key_claimed&) { to.set_key_claimed(true); },
                 [&](const key_busy& r) {
                   to.mutable_key_busy()->set_since(to_ms(r.since));
                   to.mutable_key_busy()->set_overdue(r.overdue);
                 },
                 [&](const key_completed& r) {
                   to.mutable_key_answered()->set_since(to_ms(r.ran_at));
                   write(r.response,
                         *to.mutable_key_answered()->mutable_what());
                 },
                 [&](const problem& r) { write(r, *to.mutable_refused()); }},
      from);
}

auto read(const wire::command_result& from) -> std::optional<command_result> {
  using kind = wire::command_result;
  switch (from.what_case()) {
    case kind::kDone:
      return command_done{};
    case kind::kConfigAccepted:
      return config_accepted{{from.config_accepted()}};
    case kind::kConfigConflict:
      return config_conflict{{from.config_conflict()}};
    case kind::kJobNew:
      return job_accepted{{from.job_new()}, false};
    case kind::kJobExisted:
      return job_accepted{{from.job_existed()}, true};
    case kind::kCancelled:
      return jobs_cancelled{from.cancelled()};
    case kind::kKeyClaimed:
      return key_claimed{};
    case kind::kKeyBusy:
      return key_busy{at_ms(from.key_busy().since()),
                      from.key_busy().overdue()};
    case kind::kKeyAnswered:
      return key_completed{read(from.key_answered().what()),
                           at_ms(from.key_answered().since())};
    case kind::kRefused:
      return read(from.refused());
    case kind::WHAT_NOT_SET:
      break;
  }
  return {};
}

void write(const worker& from, wire::worker_announcement& to) {
  to.set_name(from.name);
  to.set_incarnation(from.incarnation);
  to.set_address(from.address);
  to.set_data_centre(from.data_centre);
  to.set_rack(from.rack);
  to.set_kind(from.accelerator_kind);
  to.set_processors(from.processors);
  to.set_memory_mb(from.memory_mb);
  to.set_accelerators(from.accelerators);
}

auto read(const wire::worker_announcement& from) -> worker {
  return {from.name(),         from.incarnation(),
          from.address(),      from.data_centre(),
          from.rack(),         from.kind(),
          from.processors(),   from.memory_mb(),
          from.accelerators(), worker_condition::ready};
}

void write(const task_report& from, wire::worker_announcement& to) {
  auto& report = *to.add_reports();
  report.set_job(from.task.job.value);
  report.set_attempt(from.task.attempt);
  report.set_fence(from.task.fence.value);
  report.set_state(static_cast<std::uint32_t>(from.state));
  report.set_processors(from.processors);
  report.set_memory_mb(from.memory_mb);
  report.set_reason(from.reason);
}

auto read_reports(const wire::worker_announcement& from)
    -> std::vector<task_report> {
  std::vector<task_report> reports;
  for (const auto& r : from.reports()) {
    reports.push_back({{{r.job()}, r.attempt(), {r.fence()}},
                       static_cast<task_state>(r.state()),
                       r.processors(),
                       r.memory_mb(),
                       r.reason()});
  }
  return reports;
}

void write(const endpoint_record& from, time_point now, wire::endpoint& to) {
  to.set_name(from.name);
  to.set_incarnation(from.incarnation);
  to.set_sequence(from.sequence);
  to.set_service(from.service);
  to.set_address(from.address);
  to.set_data_centre(from.data_centre);
  to.set_slots(from.slots);
  to.set_connections(from.connections);
  to.set_leaving(from.state == endpoint_state::draining);
  to.set_ttl_ms(static_cast<std::uint32_t>(from.ttl.count()));
  to.set_age_ms(static_cast<std::uint32_t>((now - from.received_at).count()));
}

auto read(const wire::endpoint& from, time_point now) -> endpoint_record {
  return {from.name(),
          from.incarnation(),
          from.sequence(),
          from.service(),
          from.address(),
          from.data_centre(),
          from.slots(),
          from.connections(),
          from.leaving() ? endpoint_state::draining : endpoint_state::ready,
          milliseconds(from.ttl_ms()),
          now - milliseconds(from.age_ms())};
}

auto encode(const command& from) -> std::string {
  wire::command message;
  write(from, message);
  return message.SerializeAsString();
}

auto decode_command(std::string_view bytes) -> std::optional<command> {
  wire::command message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return {};
  }
  return read(message);
}

auto encode(const state_tables& tables) -> std::string {
  wire::state to;
  to.set_version(tables.version.value);
  for (const auto& [name, body] : tables.files) {
    auto& file = *to.add_files();
    file.set_name(name);
    file.set_body(body);
  }
  write_all(tables.changes, *to.mutable_changes());
  to.set_next_job(tables.next_job);
  for (const auto& [id, job] : tables.jobs) write(job, *to.add_jobs());
  for (auto id : tables.ended) to.add_ended(id.value);
  for (const auto& [slot, cells] : tables.homes) {
    write(guarantee_home{slot, cells}, *to.add_homes());
  }
  for (const auto& [worker, failures] : tables.failures) {
    auto& row = *to.add_failures();
    row.set_worker(worker);
    for (const auto& f : failures) {
      auto& failure = *row.add_failures();
      failure.set_job(f.job.value);
      failure.set_at(to_ms(f.at));
    }
  }
  for (const auto& worker : tables.draining_workers) {
    to.add_draining_workers(worker);
  }
  for (const auto& [customer, history] : tables.histories) {
    auto& row = *to.add_histories();
    row.set_customer(customer);
    for (auto ratio : history.ratios) row.add_ratios(ratio);
  }
  for (const auto& [name, record] : tables.keys) {
    auto& row = *to.add_keys();
    write(name, *row.mutable_name());
    row.set_digest(record.digest);
    row.set_owner(record.owner);
    row.set_claimed_at(to_ms(record.claimed_at));
    row.set_deadline(to_ms(record.deadline));
    if (record.response) write(*record.response, *row.mutable_what());
  }
  write_all(tables.key_order, *to.mutable_key_order());
  write_all(tables.stored_response_order, *to.mutable_held_order());
  to.set_held_answer_bytes(tables.stored_response_bytes);
  return to.SerializeAsString();
}

auto decode_state(std::string_view bytes) -> std::optional<state_tables> {
  wire::state from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return {};
  }
  state_tables tables;
  tables.version = {from.version()};
  for (const auto& file : from.files()) tables.files[file.name()] = file.body();
  tables.changes = read_all<std::deque<change_record>>(from.changes());
  tables.next_job = from.next_job();
  for (const auto& job : from.jobs()) tables.jobs[{job.id()}] = read(job);
  for (auto id : from.ended()) tables.ended.push_back({id});
  for (const auto& row : from.homes()) {
    auto home = read(row);
    tables.homes[home.slot] = std::move(home.cells);
  }
  for (const auto& row : from.failures()) {
    auto& failures = tables.failures[row.worker()];
    for (const auto& f : row.failures()) {
      failures.push_back({{f.job()}, at_ms(f.at())});
    }
  }
  tables.draining_workers = {from.draining_workers().begin(),
                             from.draining_workers().end()};
  for (const auto& row : from.histories()) {
    tables.histories[row.customer()].ratios =
        to_container<std::vector<std::uint32_t>>(row.ratios());
  }
  for (const auto& row : from.keys()) {
    key_record record{
        row.digest(),          row.owner(), at_ms(row.claimed_at()),
        at_ms(row.deadline()), {},          row.deadline() == 0};
    if (row.has_what()) record.response = read(row.what());
    tables.keys[read(row.name())] = std::move(record);
  }
  tables.key_order = read_all<std::deque<key_name>>(from.key_order());
  tables.stored_response_order =
      read_all<std::deque<key_name>>(from.held_order());
  tables.stored_response_bytes = from.held_answer_bytes();
  return tables;
}

}  // namespace parsleyledge
