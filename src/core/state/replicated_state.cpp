#include "core/state/replicated_state.h"

#include <algorithm>
#include <utility>

namespace parsleyledge {

namespace {

using std::chrono::hours;

constexpr std::size_t min_changes = 20'000;
constexpr hours change_age{7 * 24};
constexpr std::size_t max_changes = 200'000;
constexpr std::size_t min_ended_jobs = 20'000;
constexpr hours ended_job_age{7 * 24};
constexpr std::size_t max_ended_jobs = 100'000;
constexpr hours key_age{24};
constexpr std::uint64_t max_answer_bytes = 64U << 10;
constexpr std::uint64_t max_held_bytes = 32U << 20;
constexpr std::size_t max_failures = 16;  // kept a worker

auto stale(std::string_view detail) -> problem {
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

auto replicated_state::apply(const command& what, agreement::log_index index)
    -> command_result {
  index_ = index;
  return std::visit([this](const auto& one) { return apply_one(one); }, what);
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

auto replicated_state::known_change(std::string_view id,
                                    std::uint64_t digest) const
    -> std::optional<command_result> {
  auto it = change_ids_.find(std::string(id));
  if (it == change_ids_.end()) return {};
  const auto& change = tables_.changes[it->second - first_change_];
  if (change.digest != digest) {
    return stale("Change-Id was used for another change, version " +
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

auto replicated_state::apply_one(const put_file& what) -> command_result {
  if (auto known = known_change(what.change_id, what.digest)) return *known;
  if (what.base != tables_.version) return config_conflict{tables_.version};
  tables_.files[what.name] = what.body;
  return accept_change(what.change_id, what.digest, what.name, what.at);
}

auto replicated_state::apply_one(const delete_file& what) -> command_result {
  if (auto known = known_change(what.change_id, what.digest)) return *known;
  if (what.base != tables_.version) return config_conflict{tables_.version};
  if (tables_.files.erase(what.name) == 0) {
    return problem{404, "Not found", "there is no file " + what.name,
                   run_outcome::not_run};
  }
  return accept_change(what.change_id, what.digest, what.name, what.at);
}

auto replicated_state::apply_one(const submit_job& what) -> command_result {
  if (const auto* known = find_job(what.spec.customer, what.spec.key)) {
    if (known->spec == what.spec) return job_accepted{known->id, true};
    return stale("key " + what.spec.key + " was used for another job, " +
                 std::to_string(known->id.value));
  }
  job_record job;
  job.id = {tables_.next_job++};
  job.spec = what.spec;
  job.submitted_at = what.at;
  job_keys_[{job.spec.customer, job.spec.key}] = job.id;
  auto id = job.id;
  update_active(tables_.jobs.emplace(id, std::move(job)).first->second);
  forget_old_jobs(what.at);
  return job_accepted{id, false};
}

auto replicated_state::apply_one(const cancel_jobs& what) -> command_result {
  jobs_cancelled result;
  auto cancel = [&](job_id id) {
    auto it = tables_.jobs.find(id);
    if (it == tables_.jobs.end() || is_ended(it->second.state)) return;
    end_job(it->second, job_state::cancelled, "cancelled by the customer",
            what.at);
    ++result.count;
  };
  for (const auto& key : what.keys) {
    if (const auto* job = find_job(what.customer, key)) cancel(job->id);
  }
  for (auto id : what.ids) cancel(id);
  return result;
}

auto replicated_state::apply_one(const place_job& what) -> command_result {
  auto it = tables_.jobs.find(what.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued ||
      !it->second.assignments.empty()) {
    return stale("job is not waiting");
  }
  auto& job = it->second;
  job.state = job_state::placing;
  job.reason.clear();
  ++job.attempt;
  job.fence = {index_.value};
  job.claim = what.claim;
  job.assignments = what.assignments;
  job.reserved.clear();
  job.reserved_claim.reset();
  job.ran_on.clear();
  for (const auto& a : what.assignments) job.ran_on.push_back(a.worker);
  job.placed_at = what.at;
  if (what.claim && !what.new_home.empty()) {
    tables_.homes[*what.claim] = what.new_home;
  }
  return command_done{};
}

auto replicated_state::apply_one(const reserve_cells& what) -> command_result {
  auto it = tables_.jobs.find(what.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued) {
    return stale("job is not waiting");
  }
  it->second.reserved = what.cells;
  it->second.reserved_claim = what.claim;
  return command_done{};
}

auto replicated_state::attempt_of(job_id id, std::uint32_t attempt)
    -> job_record* {
  auto it = tables_.jobs.find(id);
  if (it == tables_.jobs.end() || it->second.attempt != attempt ||
      !is_placed(it->second.state)) {
    return nullptr;
  }
  return &it->second;
}

auto replicated_state::apply_one(const start_job& what) -> command_result {
  auto* job = attempt_of(what.job, what.attempt);
  if (job == nullptr || job->state != job_state::placing) {
    return stale("attempt is over");
  }
  job->state = job_state::running;
  job->started_at = what.at;
  return command_done{};
}

auto replicated_state::apply_one(const checkpoint_job& what) -> command_result {
  auto* job = attempt_of(what.job, what.attempt);
  if (job == nullptr || job->state != job_state::running) {
    return stale("attempt is not running");
  }
  job->state = job_state::checkpointing;
  job->reason = what.reason;
  job->checkpoint_at = what.at;
  return command_done{};
}

auto replicated_state::apply_one(const end_attempt& what) -> command_result {
  auto* job = attempt_of(what.job, what.attempt);
  if (job == nullptr) return stale("attempt is over");
  job->progress = std::max(job->progress, what.progress);
  job->claim.reset();
  if (what.result == attempt_result::done) {
    record_success(*job, what.at);
    end_job(*job, job_state::done, "", what.at);
    return command_done{};
  }
  if (what.result == attempt_result::failed) record_failure(what);
  if (what.requeue) {
    if (what.result == attempt_result::interrupted) ++job->reclaims;
    job->state = job_state::queued;
    job->reason = what.reason;
  } else {
    // A job that fails everywhere is to blame itself, not its workers.
    for (auto& [worker, failures] : tables_.failures) {
      std::erase_if(failures, [&](const auto& f) { return f.job == what.job; });
    }
    end_job(*job, job_state::failed, what.reason, what.at);
  }
  update_active(*job);
  return command_done{};
}

auto replicated_state::apply_one(const refuse_job& what) -> command_result {
  auto it = tables_.jobs.find(what.job);
  if (it == tables_.jobs.end() || it->second.state != job_state::queued) {
    return stale("job is not waiting");
  }
  end_job(it->second, job_state::refused, what.reason, what.at);
  return command_done{};
}

auto replicated_state::apply_one(const release_workers& what)
    -> command_result {
  auto it = tables_.jobs.find(what.job);
  if (it == tables_.jobs.end() || it->second.attempt != what.attempt ||
      is_placed(it->second.state)) {
    return stale("attempt holds nothing to release");
  }
  std::erase_if(it->second.assignments, [&](const assignment& a) {
    return std::ranges::find(what.workers, a.worker) != what.workers.end();
  });
  update_active(it->second);
  return command_done{};
}

auto replicated_state::apply_one(const move_homes& what) -> command_result {
  for (const auto& slot : what.removed) tables_.homes.erase(slot);
  for (const auto& home : what.homes) tables_.homes[home.slot] = home.cells;
  return command_done{};
}

auto replicated_state::apply_one(const claim_key& what) -> command_result {
  forget_old_keys(what.at);
  auto [it, inserted] = tables_.keys.try_emplace(what.name);
  auto& record = it->second;
  if (inserted) {
    record = {what.digest, what.owner, what.at, what.deadline, {}};
    tables_.key_order.push_back(what.name);
    return key_claimed{};
  }
  if (record.digest != what.digest) {
    return problem{422, "Key used for another request",
                   "Idempotency-Key was used with another request",
                   run_outcome::not_run};
  }
  if (record.answer) return key_completed{*record.answer, record.claimed_at};
  // The same owner asks again when the answer to its claim was lost.
  if (record.owner == what.owner) return key_claimed{};
  return key_busy{record.claimed_at, record.deadline < what.at};
}

auto replicated_state::apply_one(const finish_key& what) -> command_result {
  auto it = tables_.keys.find(what.name);
  if (it == tables_.keys.end() || it->second.owner != what.owner) {
    return stale("key belongs to another request");
  }
  if (it->second.answer) return command_done{};
  auto& answer = it->second.answer.emplace(what.answer);
  if (answer.body.size() > max_answer_bytes) {
    answer.has_body = false;
    answer.body.clear();
  }
  tables_.held_answer_bytes += answer.body.size();
  tables_.held_order.push_back(what.name);
  while (tables_.held_answer_bytes > max_held_bytes) {
    drop_answer(tables_.held_order.front());
    tables_.held_order.pop_front();
  }
  return command_done{};
}

auto replicated_state::apply_one(const drop_key& what) -> command_result {
  auto it = tables_.keys.find(what.name);
  if (it == tables_.keys.end() || it->second.owner != what.owner ||
      it->second.answer) {
    return stale("key belongs to another request");
  }
  tables_.keys.erase(it);
  return command_done{};
}

void replicated_state::drop_answer(const key_name& name) {
  auto it = tables_.keys.find(name);
  if (it == tables_.keys.end() || !it->second.answer) return;
  tables_.held_answer_bytes -= it->second.answer->body.size();
  it->second.answer->body.clear();
  it->second.answer->has_body = false;
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

void replicated_state::record_failure(const end_attempt& what) {
  auto& job = tables_.jobs.at(what.job);
  if (what.worker.empty()) return;
  job.failed_on.push_back(what.worker);
  auto& failures = tables_.failures[what.worker];
  std::erase_if(failures, [&](const auto& f) { return f.job == what.job; });
  failures.push_back({what.job, what.at});
  if (failures.size() > max_failures) failures.erase(failures.begin());
}

void replicated_state::record_success(const job_record& job, time_point at) {
  for (const auto& a : job.assignments) tables_.failures.erase(a.worker);
  auto ran = job.progress + (at - job.started_at);
  record_run_time(tables_.histories[job.spec.customer], job.spec.run_time, ran);
}

void replicated_state::forget_old_jobs(time_point now) {
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

void replicated_state::forget_old_keys(time_point now) {
  auto& order = tables_.key_order;
  while (!order.empty()) {
    auto it = tables_.keys.find(order.front());
    if (it != tables_.keys.end()) {
      if (it->second.claimed_at + key_age >= now) return;
      drop_answer(order.front());
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
