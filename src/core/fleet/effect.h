#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/fleet/advice.h"
#include "core/fleet/loss_cause.h"
#include "core/fleet/machine_request.h"
#include "core/fleet/wait_ledger.h"
#include "core/fleet/worker_request.h"

namespace parsleyledge::fleet {

/// Propose a command to the replicated log. `token` identifies it when its
/// outcome is reported.
struct propose {
  std::uint64_t token = 0;
  command proposed;
};

/// Send a request to a worker. The response carries the same `id`.
struct send_worker_request {
  std::uint64_t id = 0;
  worker_incarnation worker;
  std::string address;
  std::uint64_t fence = 0;
  worker_request request;
  milliseconds timeout{0};
};

/// A decision to be logged, with the inputs that it was based on.
struct decision {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

/// A run has ended before it was done. Its work since it started is lost, but
/// for what a checkpoint saved.
struct work_discarded {
  task_ref task;
  std::uint32_t run = 0;
  std::string worker;
  std::string queue;
  loss_cause cause;
  bool through_gang = false;  // the cause ended another member of its gang
  std::int64_t core_ms = 0;   // an accelerator counts as eight cores
};

/// A step that could not be placed at once is placed now.
struct wait_ended {
  step_ref step;
  std::string queue;
  std::vector<wait_share> shares;
};

using effect =
    std::variant<propose, send_worker_request, ask_advice, send_machine_request,
                 decision, work_discarded, wait_ended>;

}  // namespace parsleyledge::fleet
