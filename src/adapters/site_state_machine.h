#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "adapters/codec.h"
#include "core/state/replicated_state.h"

namespace parsleyledge {

/// The state machine of the configuration, the gang jobs and the idempotency
/// keys, for basic_replica_node.
struct site_state_machine {
  using command_type = command;
  using result_type = command_result;
  using state_type = replicated_state;
  using tables_type = state_tables;

  static auto encode(const command& from) -> std::string {
    return parsleyledge::encode(from);
  }
  static auto encode(const state_tables& tables) -> std::string {
    return parsleyledge::encode(tables);
  }
  static auto decode_command(std::string_view bytes) -> std::optional<command> {
    return parsleyledge::decode_command(bytes);
  }
  static auto decode_state(std::string_view bytes)
      -> std::optional<replicated_state> {
    auto tables = parsleyledge::decode_state(bytes);
    if (!tables) return {};
    return replicated_state(std::move(*tables));
  }
  static auto apply(replicated_state& state, const command& change,
                    agreement::log_index index) -> command_result {
    return state.apply(change, index);
  }
  static auto no_result() -> command_result { return command_done{}; }
  static auto not_committed() -> command_result {
    return problem{503, "No leader", "the change was not committed",
                   run_outcome::not_run};
  }
  static auto maybe_committed() -> command_result {
    return problem{503, "Leader changed", "the change may have been committed",
                   run_outcome::unknown};
  }
};

}  // namespace parsleyledge
