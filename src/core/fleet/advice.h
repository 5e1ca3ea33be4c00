#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/fleet/ids.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// Asks a queue's policy which of these workers may run a step. `id` comes
/// back with the answer.
struct ask_advice {
  std::uint64_t id = 0;
  step_ref step;
  std::vector<worker_incarnation> workers;
  milliseconds timeout{0};
};

/// A worker that may run the step, and the proof that its starts carry.
struct allowed_worker {
  std::string name;
  std::string ticket;
};

/// The workers named that are not listed may not run the step.
struct advice_given {
  std::vector<allowed_worker> allowed;
  milliseconds validity{0};  // of the tickets; 0 if it was not told
};

/// Too many calls wait at the policy.
struct advice_busy {};

/// No answer came, or none that could be read.
struct advice_no_response {};

using advice_response =
    std::variant<advice_given, advice_busy, advice_no_response>;

}  // namespace parsleyledge::fleet
