#include "core/jobs/job.h"

#include <array>

namespace parsleyledge {

namespace {

constexpr std::array state_names = {
    std::string_view("queued"),    std::string_view("placing"),
    std::string_view("running"),   std::string_view("checkpointing"),
    std::string_view("done"),      std::string_view("failed"),
    std::string_view("cancelled"), std::string_view("refused")};

}  // namespace

auto to_string(job_state state) -> std::string_view {
  return state_names[static_cast<std::size_t>(state)];
}

auto parse_job_state(std::string_view name) -> std::optional<job_state> {
  for (std::size_t i = 0; i < state_names.size(); ++i) {
    if (state_names[i] == name) return static_cast<job_state>(i);
  }
  return {};
}

}  // namespace parsleyledge
