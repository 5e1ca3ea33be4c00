#pragma once

#include <string>
#include <vector>

#include "core/jobs/worker.h"
#include "core/time.h"

namespace parsleyledge {

/// What a leader knows of the workers of its site. Workers are not replicated:
/// a new leader learns of them from their announcements.
struct worker_roster {
  std::vector<worker> workers;  // known, in any condition, sorted by name
  std::size_t reported = 0;     // of them, since the leadership began
  // Workers of the replicated jobs and homes that are not known, sorted.
  std::vector<std::string> awaited;
  milliseconds leading{0};   // since the leadership began
  bool is_complete = false;  // whether no further worker is expected
};

}  // namespace parsleyledge
