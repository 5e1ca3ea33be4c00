#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/ids.h"
#include "core/fleet/resources.h"
#include "core/time.h"

namespace parsleyledge::fleet {

/// What a worker reports of itself, about once a heartbeat.
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
  milliseconds remaining{0};             // least time left while it drains
  std::optional<std::int64_t> clock_ms;  // its steady clock
  std::uint64_t sequence = 0;
};

}  // namespace parsleyledge::fleet
