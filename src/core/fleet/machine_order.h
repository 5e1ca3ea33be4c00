#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Begins the upkeep of a machine that a wave asks for. All that runs on the
/// machine ends with it.
struct begin_upkeep {
  std::string machine;
  std::uint64_t wave = 0;
};

/// Asks for the states of all machines.
struct list_machines {};

using machine_order = std::variant<begin_upkeep, list_machines>;

/// One order to the platform of the machines. `id` comes back with its answer.
/// A lower fence than the highest seen is refused.
struct send_machine_order {
  std::uint64_t id = 0;
  std::uint64_t fence = 0;
  machine_order what;
};

/// Carried out, now or before.
struct machine_accepted {};

enum class machine_state { up, moving, upkeep, down };

struct listed_machine {
  std::string name;
  machine_state state = machine_state::up;
};

struct machines_listed {
  std::vector<listed_machine> machines;
};

enum class machine_refusal {
  fence,    // a later leader gives the orders
  busy,     // it is not up, or leaves
  wave,     // it is not one of that wave
  unknown,  // there is no such machine
  later     // too many calls, or the platform cannot answer now
};

struct machine_refused {
  machine_refusal why = machine_refusal::later;
};

/// No answer: the order may have been carried out.
struct machine_silent {};

using machine_answer = std::variant<machine_accepted, machines_listed,
                                    machine_refused, machine_silent>;

}  // namespace parsleyledge::fleet
