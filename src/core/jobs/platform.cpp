#include "ports/platform.h"

#include <array>

namespace parsleyledge {

namespace {

constexpr std::array verb_names = {
    std::string_view("prepare"), std::string_view("start"),
    std::string_view("checkpoint"), std::string_view("throttle"),
    std::string_view("stop")};

constexpr std::array task_state_names = {
    std::string_view("prepared"),     std::string_view("running"),
    std::string_view("checkpointed"), std::string_view("done"),
    std::string_view("failed"),       std::string_view("stopped")};

}  // namespace

auto to_string(worker_verb verb) -> std::string_view {
  return verb_names[static_cast<std::size_t>(verb)];
}

auto to_string(task_state state) -> std::string_view {
  return task_state_names[static_cast<std::size_t>(state)];
}

auto parse_task_state(std::string_view name) -> std::optional<task_state> {
  for (std::size_t i = 0; i < task_state_names.size(); ++i) {
    if (task_state_names[i] == name) return static_cast<task_state>(i);
  }
  return {};
}

}  // namespace parsleyledge
