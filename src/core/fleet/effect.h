#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/fleet/advice.h"
#include "core/fleet/machine_order.h"
#include "core/fleet/order.h"

namespace parsleyledge::fleet {

/// Commit a command. `token` comes back with its outcome.
struct propose {
  std::uint64_t token = 0;
  command what;
};

/// Send an order to a worker. `id` comes back with its answer.
struct send_order {
  std::uint64_t id = 0;
  worker_incarnation worker;
  std::string address;
  std::uint64_t fence = 0;
  order what;
  milliseconds timeout{0};
};

/// A decision to be logged: what was decided, and the inputs that decided it.
struct decision {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using effect =
    std::variant<propose, send_order, ask_advice, send_machine_order, decision>;

}  // namespace parsleyledge::fleet
