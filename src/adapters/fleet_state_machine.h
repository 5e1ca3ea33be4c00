#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "adapters/fleet_codec.h"
#include "core/agreement/types.h"
#include "core/fleet/fleet_state.h"

namespace parsleyledge {

/// The state machine of jobs, their steps and the workers, for
/// basic_replica_node.
struct fleet_state_machine {
  using command_type = fleet::command;
  using result_type = fleet::command_outcome;
  using state_type = fleet::fleet_state;
  using tables_type = fleet::fleet_tables;

  static auto encode(const fleet::command& from) -> std::string {
    return fleet::encode(from);
  }
  static auto encode(const fleet::fleet_tables& tables) -> std::string {
    return fleet::encode(tables);
  }
  static auto decode_command(std::string_view bytes)
      -> std::optional<fleet::command> {
    return fleet::decode_command(bytes);
  }
  static auto decode_state(std::string_view bytes)
      -> std::optional<fleet::fleet_state> {
    auto tables = fleet::decode_tables(bytes);
    if (!tables) return {};
    return fleet::fleet_state(std::move(*tables));
  }
  static auto apply(fleet::fleet_state& state, const fleet::command& change,
                    agreement::log_index) -> fleet::command_outcome {
    return state.apply(change);
  }
  static auto no_result() -> fleet::command_outcome {
    return fleet::command_outcome::done;
  }
  static auto not_committed() -> fleet::command_outcome {
    return fleet::command_outcome::not_committed;
  }
  static auto maybe_committed() -> fleet::command_outcome {
    return fleet::command_outcome::undetermined;
  }
};

}  // namespace parsleyledge
