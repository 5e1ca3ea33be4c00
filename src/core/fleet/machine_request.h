#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"

namespace parsleyledge::fleet {

/// Begins the maintenance of a machine of a wave. It ends everything that runs
/// on the machine.
struct begin_maintenance {
  std::string machine;
  std::uint64_t wave = 0;
};

/// Requests the states of all machines.
struct list_machines {};

using machine_request = std::variant<begin_maintenance, list_machines>;

/// A request to the platform of the machines. The response carries the same
/// `id`. The platform rejects a fence lower than the highest it has seen.
struct send_machine_request {
  std::uint64_t id = 0;
  std::uint64_t fence = 0;
  machine_request request;
};

/// The request was carried out, now or earlier.
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
  fence,    // a later leader has sent requests
  busy,     // the machine is not up, or it drains
  wave,     // the machine is not part of the wave
  unknown,  // there is no such machine
  later     // rate limited, or the platform is unavailable: try again
};

struct machine_rejected {
  machine_rejection reason = machine_rejection::later;
};

/// No response came in time; the request may have been carried out.
struct machine_no_response {};

using machine_response = std::variant<machine_accepted, machine_list,
                                      machine_rejected, machine_no_response>;

}  // namespace parsleyledge::fleet
