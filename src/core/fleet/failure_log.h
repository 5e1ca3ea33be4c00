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
  // A worker whose earlier failures are now attributed to the step, and their
  // number; empty if there is none.
  std::string cleared_worker;
  std::uint32_t cleared_failures = 0;
};

/// Records on which workers the latest failing steps failed, to distinguish a
/// worker that fails its tasks from a step that fails on every worker.
class failure_log {
 public:
  /// Records a failed run. It is attributed to the worker until the step has
  /// also failed on another worker.
  auto record(const step_ref& step, std::string_view worker)
      -> failure_attribution;

 private:
  struct entry {
    step_ref step;
    std::string first_worker;
    std::uint32_t failures = 0;  // on the first worker
    bool failed_elsewhere = false;
  };

  auto find_or_add(const step_ref& step, std::string_view worker) -> entry&;

  std::vector<entry> entries_;  // a ring buffer
  std::size_t next_ = 0;
};

}  // namespace parsleyledge::fleet
