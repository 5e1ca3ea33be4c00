#pragma once

#include "core/time.h"

namespace parsleyledge::fleet {

/// Delays of the dispatcher. Those that the site's settings bound are set
/// from them at start.
struct dispatch_limits {
  // Of a renewal. The longer, the more work outlives a cut; the sooner it
  // ends, the sooner work that is lost starts elsewhere.
  milliseconds lease{9000};
  // The longest that a worker grants, by the site's settings.
  milliseconds longest_lease{10'000};
  // A worker answers a request within a round trip; the rest is for queues.
  milliseconds request_timeout{500};
  // A poll waits so long for an end, so that an idle poll costs little.
  milliseconds poll_wait{1800};
  // The same where backfill tasks may disturb serving ones: several polls
  // within the time that a serving task may be over its target.
  milliseconds throttled_poll_wait{500};
  // Three heartbeats, by the site's settings.
  milliseconds report_silence{4500};
  // The members of a gang wait so long for each other.
  milliseconds gang_wait{3000};
  // Until a reclaimed place that did not become free is given up.
  milliseconds reservation{2000};
  // Capacity that urgent work left is retained for the next urgent work. The
  // longer, the less work that stops, and the more capacity stays idle.
  milliseconds urgent_retention{1000};
  // Between two notes of what was learned of machines' speeds, so that they
  // cost one small command.
  milliseconds speed_record_interval{1000};
  // A gang that waits longer has capacity reserved for it, so that small tasks
  // do not take every place that becomes free.
  milliseconds gang_reservation_delay{4000};
  // Until reserved capacity that did not become free is chosen anew: the usual
  // task of the least urgent queue has ended by then.
  milliseconds gang_reservation_timeout{6000};
  // A run without progress for this time counts as stalled.
  milliseconds stall_timeout{1500};
  // First quarantine of a worker that fails; doubled while it goes on.
  milliseconds quarantine{4000};
};

}  // namespace parsleyledge::fleet
