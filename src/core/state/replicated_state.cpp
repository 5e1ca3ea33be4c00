#include "core/state/replicated_state.h"

#include <algorithm>
#include <utility>

namespace parsleyledge {

namespace {

using std::chrono::hours;

// Changes and ended jobs are erased at this age, but at least the minimum
// number and at most the maximum number of them is kept.
constexpr std::size_t min_changes = 20'000;
constexpr hours change_age{7 * 24};
constexpr std::size_t max_changes = 200'000;
constexpr std::size_t min_ended_jobs = 20'000;
constexpr hours ended_job_age{7 * 24};
constexpr std::size_t max_ended_jobs = 100'000;
constexpr hours key_age{24};
constexpr std::uint64_t max_response_bytes = 64U << 10;
constexpr std::uint64_t max_stored_bytes = 32U << 20;
constexpr std::size_t max_worker_failures = 16;  // kept for each worker

auto make_conflict(std::string_view detail) -> problem {
  return {409, "Conflict", std::string(detail), run_outcome::conflict};
}

}  // namespace

replicated_state::replicated_state(state_tables tables)
    : tables_(std::move(tables)) {
  for (const auto& [id, job] : tables_.jobs) {
    job_keys_[{job.spec.customer, job.spec.key}] = id;
    update_active(job);
  }
  for (std::size_t i = 0; i < tables_.changes.size(); ++i) {
    change_ids_[tables_.changes[i].id] = i;
  }
}

auto replicated_state::apply(const command& cmd, agreement::log_index index)
    -> command_result {
  index_ = index;
  return std::visit(
      [this](const auto& alternative) { return apply_one(alternative); }, cmd);
}

auto replicated_state::find_job(job_id id) const -> const job_record* {
  auto it = tables_.jobs.find(id);
  return it == tables_.jobs.end() ? nullptr : &it->second;
}

auto replicated_state::find_job(std::string_view customer,
                                std::string_view key) const
    -> const job_record* {
  auto it = job_keys_.find({std::string(customer), std::string(key)});
  return it == job_keys_.end() ? nullptr : find_job(it->second);
}

auto replicated_state::find_change(std::string_view id,
                                   std::uint64_t digest) const
    -> std::optional<command_result> {
  auto it = change_ids_.find(std::string(id));
  if (it == change_ids_.end()) return {};
  const auto& change = tables_.changes[it->second - first_change_];
  if (change.digest != digest) {
    return make_conflict("Change-Id was used for another change, version " +
                         std::to_string(change.version.value));
  }
  return config_accepted{change.version};
}

auto replicated_state::accept_change(std::string_view id, std::uint64_t digest,
                                     std::string_view file, time_point at)
    -> command_result {
  tables_.version = tables_.version.next();
  change_ids_[std::string(id)] = first_change_ + tables_.changes.size();
  tables_.changes.push_back(
      {std::string(id), digest, tables_.version, std::string(file), at});
  auto& changes = tables_.changes;
  while (
      changes.size() > min_changes &&
      (changes.size() > max_changes || changes.front().at + change_age < at)) {
    change_ids_.erase(changes.front().id);
    changes.pop_front();
    ++first_change_;
  }
  return config_accepted{tables_.version};
}

auto replicated_state::apply_one(const put_file& cmd) -> command_result {
  if (auto known = find_change(cmd.change_id, cmd.digest)) return *known;
  if (cmd.base != tables_.version) return config_conflict{tables_.version};
  tables_.files[cmd.name] = cmd.body;
  return accept_change(cmd.change_id, cmd.digest, cmd.name, cmd.at);
}

auto replicated_state::apply_one(const delete_file& cmd) -> command_result {
  if (auto known = find_change(cmd.change_id, cmd.digest)) return *known;
  if (cmd.base != tables_.version) return config_conflict{tables_.version};
  if (tables_.files.erase(cmd.name) == 0) {
    return problem{404, "Not found", "there is no file " + cmd.name,
                   run_outcome::not_run};
  }
  return accept_change(cmd.change_id, cmd.digest, cmd.name, cmd.at);
}

auto replicated_state::apply_one(const submit_job& cmd) -> command_result {
  if (const auto* known = find_job(cmd.spec.customer, cmd.spec.key)) {
    if (known->spec == cmd.spec) return job_accepted{known->id, true};
    return make_conflict("key " + cmd.spec.key + " was used for another job, " +
                         std::to_string(known->id.value));
  }
  job_record job;
  job.id = {tables_.next_job++};
  job.spec = cmd.spec;
  job.submitted_at = cmd.at;
  job_keys_[{job.spec.customer, job.spec.key}] = job.id;
  auto id = job.id;
  update_active(tables_.jobs.emplace(id, std::move(job)).first->second);
  erase_old_jobs(cmd.at);
  return job_accepted{id, false};
}

auto replicated_state::apply_one(const cancel_jobs& cmd) -> command_result {
  jobs_cancelled result;
  auto cancel = [&](job_id id) {
    auto it = tables_.jobs.find(id);
    if (it == tables_.jobs.end() || is_ended(it->second.state)) return;
    end_job(it->second, job_state::cancelled, "cancelled by the customer",
            cmd.at);
    ++result.count;
  };
  for (const auto& key : cmd.keys) {
    if (const auto* job = find_job(cmd.customer, key)) cancel(job->id);
  }
  for (auto id : cmd.ids) cancel(id);
  return result;
}

auto replicated_state::apply_one(const place_job& cmd) -> command_result {
  auto it = tables_.jobs.find(cmd.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued ||
      !it->second.assignments.empty()) {
    return make_conflict("job is not queued");
  }
  auto& job = it->second;
  job.state = job_state::placing;
  job.reason.clear();
  ++job.attempt;
  job.fence = {index_.value};
  job.claim = cmd.claim;
  job.assignments = cmd.assignments;
  job.reserved.clear();
  job.reserved_claim.reset();
  job.ran_on.clear();
  for (const auto& a : cmd.assignments) job.ran_on.push_back(a.worker);
  job.placed_at = cmd.at;
  if (cmd.claim && !cmd.new_home.empty()) {
    tables_.homes[*cmd.claim] = cmd.new_home;
  }
  return command_done{};
}

auto replicated_state::apply_one(const reserve_cells& cmd) -> command_result {
  auto it = tables_.jobs.find(cmd.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued) {
    return make_conflict("job is not queued");
  }
  it->second.reserved = cmd.cells;
  it->second.reserved_claim = cmd.claim;
  return command_done{};
}

auto replicated_state::find_placed_attempt(job_id id, std::uint32_t attempt)
    -> job_record* {
  auto it = tables_.jobs.find(id);
  if (it == tables_.jobs.end() || it->second.attempt != attempt ||
      !is_placed(it->second.state)) {
    return nullptr;
  }
  return &it->second;
}

auto replicated_state::apply_one(const start_job& cmd) -> command_result {
  auto* job = find_placed_attempt(cmd.job, cmd.attempt);
  if (job == nullptr || job->state != job_state::placing) {
    return make_conflict("attempt has ended");
  }
  job->state = job_state::running;
  job->started_at = cmd.at;
  return command_done{};
}

auto replicated_state::apply_one(const checkpoint_job& cmd) -> command_result {
  auto* job = find_placed_attempt(cmd.job, cmd.attempt);
  if (job == nullptr || job->state != job_state::running) {
    return make_conflict("attempt is not running");
  }
  job->state = job_state::checkpointing;
  job->reason = cmd.reason;
  job->checkpoint_at = cmd.at;
  return command_done{};
}

auto replicated_state::apply_one(const end_attempt& cmd) -> command_result {
  auto* job = find_placed_attempt(cmd.job, cmd.attempt);
  if (job == nullptr) return make_conflict("attempt has ended");
  job->progress = std::max(job->progress, cmd.progress);
  job->claim.reset();
  if (cmd.result == attempt_result::done) {
    record_success(*job, cmd.at);
    end_job(*job, job_state::done, "", cmd.at);
    return command_done{};
  }
  if (cmd.result == attempt_result::failed) record_failure(cmd);
  if (cmd.requeue) {
    if (cmd.result == attempt_result::interrupted) ++job->reclaims;
    job->state = job_state::queued;
    job->reason = cmd.reason;
  } else {
    // A job that failed on all its attempts is taken to be at fault: its
    // failures no longer count against the workers.
    for (auto& [worker, failures] : tables_.failures) {
      std::erase_if(failures, [&](const auto& f) { return f.job == cmd.job; });
    }
    end_job(*job, job_state::failed, cmd.reason, cmd.at);
  }
  update_active(*job);
  return command_done{};
}

auto replicated_state::apply_one(const reject_job& cmd) -> command_result {
  auto it = tables_.jobs.find(cmd.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued) {
    return make_conflict("job is not queued");
  }
  end_job(it->second, job_state::refused, cmd.reason, cmd.at);
  return command_done{};
}

auto replicated_state::apply_one(const release_workers& cmd) -> command_result {
  auto it = tables_.jobs.find(cmd.job);
  if (it == tables_.jobs.end() || it->second.attempt != cmd.attempt ||
      is_placed(it->second.state)) {
    return make_conflict("attempt has no accelerators to release");
  }
  std::erase_if(it->second.assignments, [&](const assignment& a) {
    return std::ranges::find(cmd.workers, a.worker) != cmd.workers.end();
  });
  update_active(it->second);
  return command_done{};
}

auto replicated_state::apply_one(const set_homes& cmd) -> command_result {
  for (const auto& slot : cmd.removed) tables_.homes.erase(slot);
  for (const auto& home : cmd.homes) tables_.homes[home.slot] = home.cells;
  return command_done{};
}

auto replicated_state::apply_one(const claim_key& cmd) -> command_result {
  if (cmd.deadline == time_point{}) {
    return problem{400, "Bad request", "the claim of a key has no deadline",
                   run_outcome::not_run};
  }
  date_releases(cmd.at);
  erase_old_keys(cmd.at);
  auto [it, inserted] = tables_.keys.try_emplace(cmd.name);
  auto& record = it->second;
  if (record.released && record.owner == cmd.owner) {
    return make_conflict("the request has released the key");
  }
  if (inserted || record.released) {
    record = {cmd.digest, cmd.owner, cmd.at, cmd.deadline, {}, false};
    tables_.key_order.push_back(cmd.name);
    return key_claimed{};
  }
  if (record.digest != cmd.digest) {
    return problem{422, "Key used for another request",
                   "Idempotency-Key was used with another request",
                   run_outcome::not_run};
  }
  if (record.response)
    return key_completed{*record.response, record.claimed_at};
  // The owner repeats its claim if the response to it was lost.
  if (record.owner == cmd.owner) return key_claimed{};
  return key_busy{record.claimed_at, record.deadline < cmd.at};
}

auto replicated_state::apply_one(const complete_key& cmd) -> command_result {
  auto it = tables_.keys.find(cmd.name);
  if (it == tables_.keys.end() || it->second.owner != cmd.owner ||
      it->second.released) {
    return make_conflict("key belongs to another request");
  }
  if (it->second.response) return command_done{};
  auto& response = it->second.response.emplace(cmd.response);
  if (response.body.size() > max_response_bytes) {
    response.has_body = false;
    response.body.clear();
  }
  tables_.stored_response_bytes += response.body.size();
  tables_.stored_response_order.push_back(cmd.name);
  while (tables_.stored_response_bytes > max_stored_bytes) {
    evict_response_body(tables_.stored_response_order.front());
    tables_.stored_response_order.pop_front();
  }
  return command_done{};
}

auto replicated_state::apply_one(const release_key& cmd) -> command_result {
  auto [it, inserted] = tables_.keys.try_emplace(cmd.name);
  auto& record = it->second;
  if (inserted) {
    record.owner = cmd.owner;
    tables_.key_order.push_back(cmd.name);
  } else if (record.owner != cmd.owner || record.response) {
    return make_conflict("key belongs to another request");
  }
  record.released = true;
  record.deadline = {};
  return command_done{};
}

void replicated_state::evict_response_body(const key_name& name) {
  auto it = tables_.keys.find(name);
  if (it == tables_.keys.end() || !it->second.response) return;
  tables_.stored_response_bytes -= it->second.response->body.size();
  it->second.response->body.clear();
  it->second.response->has_body = false;
}

void replicated_state::end_job(job_record& job, job_state state,
                               std::string_view reason, time_point at) {
  job.state = state;
  job.reason = reason;
  job.ended_at = at;
  job.claim.reset();
  job.reserved.clear();
  job.reserved_claim.reset();
  tables_.ended.push_back(job.id);
  update_active(job);
}

auto replicated_state::apply_one(const drain_worker& cmd) -> command_result {
  if (cmd.draining) {
    tables_.draining_workers.insert(cmd.worker);
  } else {
    tables_.draining_workers.erase(cmd.worker);
  }
  return command_done{};
}

void replicated_state::record_failure(const end_attempt& cmd) {
  auto& job = tables_.jobs.at(cmd.job);
  if (cmd.worker.empty()) return;
  job.failed_on.push_back(cmd.worker);
  auto& failures = tables_.failures[cmd.worker];
  std::erase_if(failures, [&](const auto& f) { return f.job == cmd.job; });
  failures.push_back({cmd.job, cmd.at});
  if (failures.size() > max_worker_failures) failures.erase(failures.begin());
}

void replicated_state::record_success(const job_record& job, time_point at) {
  for (const auto& a : job.assignments) tables_.failures.erase(a.worker);
  auto ran = job.progress + (at - job.started_at);
  record_run_time(tables_.histories[job.spec.customer], job.spec.run_time, ran);
}

void replicated_state::erase_old_jobs(time_point now) {
  auto& ended = tables_.ended;
  while (ended.size() > min_ended_jobs) {
    auto it = tables_.jobs.find(ended.front());
    bool keep = ended.size() <= max_ended_jobs &&
                it->second.ended_at + ended_job_age >= now;
    if (keep || !it->second.assignments.empty()) return;
    job_keys_.erase({it->second.spec.customer, it->second.spec.key});
    tables_.jobs.erase(it);
    ended.pop_front();
  }
}

// A release without a claim carries no time. It gets that of the next claim;
// until then it is among the latest in the order.
void replicated_state::date_releases(time_point now) {
  auto& order = tables_.key_order;
  for (auto name = order.rbegin(); name != order.rend(); ++name) {
    auto it = tables_.keys.find(*name);
    if (it == tables_.keys.end()) return;
    auto& record = it->second;
    if (!record.released || record.claimed_at != time_point{}) return;
    record.claimed_at = now;
  }
}

void replicated_state::erase_old_keys(time_point now) {
  auto& order = tables_.key_order;
  while (!order.empty()) {
    auto it = tables_.keys.find(order.front());
    if (it != tables_.keys.end()) {
      if (it->second.claimed_at + key_age >= now) return;
      evict_response_body(order.front());
      tables_.keys.erase(it);
    }
    order.pop_front();
  }
}

void replicated_state::update_active(const job_record& job) {
  if (is_ended(job.state) && job.assignments.empty()) {
    active_.erase(job.id);
  } else {
    active_.insert(job.id);
  }
}

}  // namespace parsleyledge
