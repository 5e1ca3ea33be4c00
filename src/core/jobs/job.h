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

using job_id = strong<struct job_id_tag>;

/// A number that grows with each placement. A worker refuses a lower one.
using fence_number = strong<struct fence_tag>;

enum class urgency { normal, urgent };

enum class job_state {
  queued,
  placing,
  running,
  checkpointing,
  done,
  failed,
  cancelled,
  refused
};

/// What a customer asked for. Processors and memory are for the whole gang.
struct job_spec {
  std::string customer;
  std::string key;
  gang_shape gang;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  milliseconds run_time{0};  // as declared
  urgency how_urgent = urgency::normal;
  bool borrow = true;       // may run outside the customer's guarantees
  bool checkpoint = false;  // keeps its progress when it is reclaimed
  std::string payload;

  auto operator==(const job_spec&) const -> bool = default;
};

/// Accelerators of one worker given to a gang: bit i is accelerator i.
struct assignment {
  std::string worker;
  std::uint64_t accelerators = 0;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;

  auto operator==(const assignment&) const -> bool = default;
};

/// One gang of a customer's guarantee.
struct guarantee_slot {
  std::string customer;
  std::string guarantee;
  std::uint32_t ordinal = 0;

  auto operator<=>(const guarantee_slot&) const = default;
};

/// A job and where it stands. Its assignments are held until they are
/// released one by one, also after the job has ended.
struct job_record {
  job_id id;
  job_spec spec;
  job_state state = job_state::queued;
  std::string reason;
  std::uint32_t attempt = 0;
  fence_number fence;
  std::optional<guarantee_slot> claim;
  std::vector<assignment> assignments;
  std::vector<assignment> reserved;  // kept for it while it waits
  std::optional<guarantee_slot> reserved_claim;
  std::vector<std::string> ran_on;  // workers of the latest attempt
  time_point submitted_at;
  time_point placed_at;
  time_point started_at;
  time_point checkpoint_at;  // when the current checkpoint was asked for
  time_point ended_at;
  milliseconds progress{0};  // kept by the last checkpoint
  std::vector<std::string> failed_on;
  std::uint32_t reclaims = 0;
};

/// Whether the state is an end state.
constexpr auto is_ended(job_state state) -> bool {
  return state == job_state::done || state == job_state::failed ||
         state == job_state::cancelled || state == job_state::refused;
}

/// Whether the state occupies accelerators by intent.
constexpr auto is_placed(job_state state) -> bool {
  return state == job_state::placing || state == job_state::running ||
         state == job_state::checkpointing;
}

/// The state's name on the wire.
auto to_string(job_state state) -> std::string_view;

/// Reads a state's name; nothing if there is no such name.
auto parse_job_state(std::string_view name) -> std::optional<job_state>;

}  // namespace parsleyledge
