#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Begins the maintenance of a machine that a wave asks for. All that runs on
/// the machine ends with it.
struct begin_maintenance {
  std::string machine;
  std::uint64_t wave = 0;
};

/// Asks for the states of all machines.
struct list_machines {};

using machine_request = std::variant<begin_maintenance, list_machines>;

/// One request to the platform of the machines. `id` comes back with its
/// answer. A lower fence than the highest seen is refused.
struct send_machine_request {
  std::uint64_t id = 0;
  std::uint64_t fence = 0;
  machine_request what;
};

/// Carried out, now or before.
struct machine_accepted {};

enum class machine_state { up, moving, maintenance, down };

struct listed_machine {
  std::string name;
  machine_state state = machine_state::up;
};

struct machine_list {
  std::vector<listed_machine> machines;
};

enum class machine_rejection {
  fence,    // a later leader sends the requests
  busy,     // it is not up, or drains
  wave,     // it is not one of that wave
  unknown,  // there is no such machine
  later     // too many calls, or the platform cannot answer now
};

struct machine_rejected {
  machine_rejection why = machine_rejection::later;
};

/// No answer: the request may have been carried out.
struct machine_no_response {};

using machine_response = std::variant<machine_accepted, machine_list,
                                      machine_rejected, machine_no_response>;

}  // namespace parsleyledge::fleet
