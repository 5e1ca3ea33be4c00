#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/jobs/gang_shape.h"
#include "core/strong.h"
#include "core/time.h"

namespace parsleyledge {

/// Number of a job, unique in the replicated state.
using job_id = strong<struct job_id_tag>;

/// Fencing token of an attempt, which grows with each placement. A worker
/// rejects a request with a lower one.
using fence_number = strong<struct fence_tag>;

/// Urgent work is placed first and may reclaim normal work.
enum class job_urgency { normal, urgent };

enum class job_state {
  queued,
  placing,  // has accelerators; its tasks are being prepared
  running,
  checkpointing,  // saves its progress before it is stopped
  done,
  failed,
  cancelled,
  refused  // can never run on this site
};

/// A customer's specification of a job. Processors and memory are for the whole
/// gang. The customer's key makes a repeated submission idempotent.
struct job_spec {
  std::string customer;
  std::string key;
  gang_shape gang;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  milliseconds run_time{0};  // declared by the customer
  job_urgency urgency = job_urgency::normal;
  bool borrow = true;       // may run outside the customer's guarantees
  bool checkpoint = false;  // can save its progress when it is reclaimed
  std::string payload;

  auto operator==(const job_spec&) const -> bool = default;
};

/// Resources of one worker that are assigned to a gang. Bit i of the mask is
/// accelerator i.
struct assignment {
  std::string worker;
  std::uint64_t accelerators = 0;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;

  auto operator==(const assignment&) const -> bool = default;
};

/// One of the gangs that a guarantee of a customer covers.
struct guarantee_slot {
  std::string customer;
  std::string guarantee;
  std::uint32_t ordinal = 0;

  auto operator<=>(const guarantee_slot&) const = default;
};

/// A job and its progress. Its assignments stay occupied until each worker is
/// released, also after the job has ended.
struct job_record {
  job_id id;
  job_spec spec;
  job_state state = job_state::queued;
  std::string reason;
  std::uint32_t attempt = 0;
  fence_number fence;
  std::optional<guarantee_slot> claim;  // slot that the attempt uses
  std::vector<assignment> assignments;
  std::vector<assignment> reserved;  // reserved for it while it waits
  std::optional<guarantee_slot> reserved_claim;
  std::vector<std::string> ran_on;  // workers of the latest attempt
  time_point submitted_at;
  time_point placed_at;
  time_point started_at;
  time_point checkpoint_at;  // when the current checkpoint was requested
  time_point ended_at;
  milliseconds progress{0};            // saved by the last checkpoint
  std::vector<std::string> failed_on;  // a worker for each failure
  std::uint32_t reclaims = 0;          // interrupted attempts
};

/// Whether the state is an end state.
constexpr auto is_ended(job_state state) -> bool {
  return state == job_state::done || state == job_state::failed ||
         state == job_state::cancelled || state == job_state::refused;
}

/// Whether the state is one of an attempt that has not ended.
constexpr auto is_placed(job_state state) -> bool {
  return state == job_state::placing || state == job_state::running ||
         state == job_state::checkpointing;
}

/// The state's name in responses.
auto to_string(job_state state) -> std::string_view;

/// The state with this name, or nothing if there is none.
auto parse_job_state(std::string_view name) -> std::optional<job_state>;

}  // namespace parsleyledge
