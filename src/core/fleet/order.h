#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Start a run. It lives until the worker's clock reaches `lease_end`, unless
/// a later order moves that on.
struct start_order {
  task_ref task;
  std::uint32_t run = 0;
  std::string text;
  std::int64_t lease_end = 0;
  std::string snapshot;  // progress to resume from, if any
  std::string ticket;    // the advice under which it may run there, if any
};

/// Stop a run. A worker that does not know it refuses it from now on.
struct stop_order {
  task_ref task;
  std::uint32_t run = 0;
};

/// Renew the lease of all that runs on a worker, and list what runs and what
/// has ended. Ends up to `acknowledged` need not be listed again.
struct look_order {
  std::int64_t lease_end = 0;  // 0 leaves the lease as it is
  std::uint64_t acknowledged = 0;
  milliseconds wait{0};  // the answer may wait so long for an end
};

/// Let a run use only a share of its processors.
struct pace_order {
  task_ref task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

using order = std::variant<start_order, stop_order, look_order, pace_order>;

/// A run that a worker has.
struct running_task {
  task_ref task;
  std::uint32_t run = 0;
  std::string snapshot;
  std::uint32_t percent = 0;
  std::int64_t load = 0;  // tail in ms of a serving task, else cpu in use
};

/// An end that a worker lists.
struct listed_end {
  std::uint64_t sequence = 0;
  task_ref task;
  std::uint32_t run = 0;
  run_end how = run_end::failed;
  std::string snapshot;
};

struct order_accepted {
  std::int64_t clock_ms = 0;
};

struct order_looked {
  std::int64_t clock_ms = 0;
  std::int64_t started_at_ms =
      0;  // of the incarnation that answers; 0 if it was not told
  std::vector<running_task> running;
  std::vector<listed_end> ended;
};

enum class rejection { fence, old_run, late, no_room, no_ticket, invalid };

struct order_rejected {
  rejection why = rejection::invalid;
  std::int64_t clock_ms = 0;  // 0 if it was not told
};

/// Another incarnation answers at the worker's address.
struct order_misdirected {};

/// The worker is unwell and did nothing.
struct order_refused {};

/// No answer: the order may have been carried out, or may be later.
struct order_unanswered {
  bool sent = true;  // false if no byte can have reached the worker
};

using order_answer =
    std::variant<order_accepted, order_looked, order_rejected,
                 order_misdirected, order_refused, order_unanswered>;

}  // namespace parsleyledge::fleet
