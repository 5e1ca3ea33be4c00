#pragma once

#include <set>
#include <string_view>
#include <unordered_map>

#include "core/agreement/types.h"
#include "core/state/command_result.h"
#include "core/state/state_tables.h"

namespace parsleyledge {

/// Applies committed commands to the tables. The result depends only on the
/// command and the tables, not on a clock or settings, so that all replicas
/// stay equal.
class replicated_state {
 public:
  replicated_state() = default;
  /// Restores the state from the tables of a snapshot.
  explicit replicated_state(state_tables tables);

  /// Applies a command that was committed at this index. A command that is
  /// not valid in the current state is not carried out; the result says why.
  auto apply(const command& cmd, agreement::log_index index) -> command_result;

  /// The tables, for reading and for snapshots.
  auto tables() const -> const state_tables& { return tables_; }

  /// The job with this id, or null.
  auto find_job(job_id id) const -> const job_record*;

  /// The job that a customer submitted under a key, or null.
  auto find_job(std::string_view customer, std::string_view key) const
      -> const job_record*;

  /// The result of a change of the configuration with this id, if it was
  /// accepted before; a conflict if it was another change.
  auto find_change(std::string_view id, std::uint64_t digest) const
      -> std::optional<command_result>;

  /// Ids of the jobs that have not ended or still have accelerators.
  auto active_jobs() const -> const std::set<job_id>& { return active_; }

 private:
  auto apply_one(const put_file& cmd) -> command_result;
  auto apply_one(const delete_file& cmd) -> command_result;
  auto apply_one(const submit_job& cmd) -> command_result;
  auto apply_one(const cancel_jobs& cmd) -> command_result;
  auto apply_one(const place_job& cmd) -> command_result;
  auto apply_one(const reserve_cells& cmd) -> command_result;
  auto apply_one(const start_job& cmd) -> command_result;
  auto apply_one(const checkpoint_job& cmd) -> command_result;
  auto apply_one(const end_attempt& cmd) -> command_result;
  auto apply_one(const reject_job& cmd) -> command_result;
  auto apply_one(const release_workers& cmd) -> command_result;
  auto apply_one(const set_homes& cmd) -> command_result;
  auto apply_one(const claim_key& cmd) -> command_result;
  auto apply_one(const complete_key& cmd) -> command_result;
  auto apply_one(const release_key& cmd) -> command_result;
  auto apply_one(const drain_worker& cmd) -> command_result;

  auto accept_change(std::string_view id, std::uint64_t digest,
                     std::string_view file, time_point at) -> command_result;
  auto find_placed_attempt(job_id id, std::uint32_t attempt) -> job_record*;
  void end_job(job_record& job, job_state state, std::string_view reason,
               time_point at);
  void record_failure(const end_attempt& cmd);
  void record_success(const job_record& job, time_point at);
  void erase_old_jobs(time_point now);
  void erase_old_keys(time_point now);
  void date_releases(time_point now);
  void evict_response_body(const key_name& name);
  void update_active(const job_record& job);

  state_tables tables_;
  agreement::log_index index_;
  std::set<job_id> active_;
  std::map<std::pair<std::string, std::string>, job_id>
      job_keys_;  // by customer and key
  std::unordered_map<std::string, std::size_t> change_ids_;  // to sequence
  std::size_t first_change_ = 0;  // sequence of the oldest change
};

}  // namespace parsleyledge
