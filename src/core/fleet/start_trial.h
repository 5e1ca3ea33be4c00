#pragma once

#include <optional>

#include "core/fleet/ids.h"

namespace parsleyledge::fleet {

/// The jobs of which a worker has runs that may still crash it as they start.
/// Work that was running when a worker crashed is tried apart from other jobs,
/// so that a further crash shows its cause.
class start_trial {
 public:
  /// Adds a run; `suspected` if its task was running when a worker crashed.
  constexpr void add(job_id job, bool suspected) {
    shared_ = shared_ || (job_ && *job_ != job);
    suspected_ = suspected_ || suspected;
    job_ = job;
  }

  /// Whether a task of the job may start on the worker now.
  constexpr auto allows(job_id job, bool suspected) const -> bool {
    bool others = shared_ || (job_ && *job_ != job);
    return !others || !(suspected || suspected_);
  }

 private:
  std::optional<job_id> job_;
  bool shared_ = false;     // by several jobs
  bool suspected_ = false;  // one of them
};

}  // namespace parsleyledge::fleet
