#pragma once

#include <set>
#include <string_view>
#include <unordered_map>

#include "core/agreement/types.h"
#include "core/state/command_result.h"
#include "core/state/state_tables.h"

namespace parsleyledge {

/// Applies committed commands to the tables. Deterministic: it reads neither
/// a clock nor settings; all it needs is in the command and the tables.
class replicated_state {
 public:
  replicated_state() = default;
  explicit replicated_state(state_tables tables);

  /// Applies a command that was committed at this index.
  auto apply(const command& what, agreement::log_index index) -> command_result;

  auto tables() const -> const state_tables& { return tables_; }

  /// The job with this id, or null.
  auto find_job(job_id id) const -> const job_record*;

  /// The job that a customer submitted under a key, or null.
  auto find_job(std::string_view customer, std::string_view key) const
      -> const job_record*;

  /// Jobs that wait, run or still hold accelerators.
  auto active_jobs() const -> const std::set<job_id>& { return active_; }

 private:
  auto apply_one(const put_file& what) -> command_result;
  auto apply_one(const delete_file& what) -> command_result;
  auto apply_one(const submit_job& what) -> command_result;
  auto apply_one(const cancel_jobs& what) -> command_result;
  auto apply_one(const place_job& what) -> command_result;
  auto apply_one(const reserve_cells& what) -> command_result;
  auto apply_one(const start_job& what) -> command_result;
  auto apply_one(const checkpoint_job& what) -> command_result;
  auto apply_one(const end_attempt& what) -> command_result;
  auto apply_one(const refuse_job& what) -> command_result;
  auto apply_one(const release_workers& what) -> command_result;
  auto apply_one(const move_homes& what) -> command_result;
  auto apply_one(const claim_key& what) -> command_result;
  auto apply_one(const finish_key& what) -> command_result;
  auto apply_one(const drop_key& what) -> command_result;

  auto known_change(std::string_view id, std::uint64_t digest) const
      -> std::optional<command_result>;
  auto accept_change(std::string_view id, std::uint64_t digest,
                     std::string_view file, time_point at) -> command_result;
  auto attempt_of(job_id id, std::uint32_t attempt) -> job_record*;
  void end_job(job_record& job, job_state state, std::string_view reason,
               time_point at);
  void record_failure(const end_attempt& what);
  void record_success(const job_record& job, time_point at);
  void forget_old_jobs(time_point now);
  void forget_old_keys(time_point now);
  void drop_answer(const key_name& name);
  void update_active(const job_record& job);

  state_tables tables_;
  agreement::log_index index_;
  std::set<job_id> active_;
  std::map<std::pair<std::string, std::string>, job_id> job_keys_;
  std::unordered_map<std::string, std::size_t> change_ids_;  // by sequence
  std::size_t first_change_ = 0;  // sequence of the oldest change
};

}  // namespace parsleyledge
