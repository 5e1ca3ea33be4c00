#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// A worker's heartbeat: its address, attributes and state.
struct worker_report {
  worker_incarnation incarnation;
  std::string address;
  std::string machine;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  bool draining = false;
  milliseconds remaining{0};             // minimum time left while it drains
  std::optional<std::int64_t> clock_ms;  // the worker's steady clock
  std::uint64_t sequence = 0;
};

}  // namespace parsleyledge::fleet
