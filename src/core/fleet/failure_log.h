#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/ids.h"

namespace parsleyledge::fleet {

/// Whether a failed run is attributed to its worker.
struct failure_attribution {
  bool worker_suspected = false;
  // A worker whose failures turned out to be of the step, and their number.
  std::string cleared_worker;
  std::uint32_t cleared_failures = 0;
};

/// Remembers on which workers the latest failing steps failed, to tell a
/// worker that fails its tasks from a step that fails everywhere.
class failure_log {
 public:
  /// Records a failed run. It is attributed to the worker until the step fails
  /// on another one, too.
  auto record(const step_ref& step, std::string_view worker)
      -> failure_attribution;

 private:
  struct entry {
    step_ref step;
    std::string first_worker;
    std::uint32_t failures = 0;  // on the first worker
    bool everywhere = false;
  };

  auto find_or_add(const step_ref& step, std::string_view worker) -> entry&;

  std::vector<entry> entries_;  // a ring
  std::size_t next_ = 0;
};

}  // namespace parsleyledge::fleet
