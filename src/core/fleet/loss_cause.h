#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/fleet/ids.h"

namespace parsleyledge::fleet {

enum class job_state;

/// The run was stopped because urgent work needed its capacity.
struct displaced {
  step_ref by;
};

/// Another member of its gang ended.
struct gang_member_ended {};

/// The members of its gang did not start in time.
struct gang_incomplete {};

/// The run failed, because of the task or of the worker.
struct task_failed {};

/// The worker crashed, restarted or left.
struct worker_ended {};

/// The worker drains and the run could not end in time.
struct worker_drains {};

/// The machine of the worker is to be maintained.
struct machine_maintenance {};

/// The data centre of the worker is under evacuation.
struct data_centre_evacuated {};

/// The lease expired, since the worker did not respond.
struct lease_over {};

/// The run made no progress.
struct run_stalled {};

/// The job was cancelled or has failed.
struct job_over {
  job_state state;
};

/// The run could not be started on its worker.
struct start_abandoned {
  std::string reason;
};

/// Why a run ended, or has to be stopped, before it was done.
using loss_cause =
    std::variant<displaced, gang_member_ended, gang_incomplete, task_failed,
                 worker_ended, worker_drains, machine_maintenance,
                 data_centre_evacuated, lease_over, run_stalled, job_over,
                 start_abandoned>;

/// The name of the cause in metrics and summaries.
auto to_string(const loss_cause& cause) -> std::string_view;

/// The cause in words, with what it refers to, for logs.
auto describe(const loss_cause& cause) -> std::string;

}  // namespace parsleyledge::fleet
