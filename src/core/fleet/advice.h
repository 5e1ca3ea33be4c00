#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/fleet/ids.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// Asks a queue's policy which of these workers may run a step. The response
/// carries the same `id`.
struct ask_advice {
  std::uint64_t id = 0;
  step_ref step;
  std::vector<worker_incarnation> workers;
  milliseconds timeout{0};
};

/// A worker that may run the step, and the ticket that its start requests carry
/// as proof.
struct allowed_worker {
  std::string name;
  std::string ticket;
};

/// Workers that were asked about and are not in `allowed` may not run the step.
struct advice_given {
  std::vector<allowed_worker> allowed;
  milliseconds validity{0};  // of the tickets; 0 if not given
};

/// Too many calls are pending at the policy.
struct advice_busy {};

/// No response came in time, or it could not be parsed.
struct advice_no_response {};

using advice_response =
    std::variant<advice_given, advice_busy, advice_no_response>;

}  // namespace parsleyledge::fleet
