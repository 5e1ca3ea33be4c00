#include "core/fleet/tracked_run.h"

namespace parsleyledge::fleet {

auto time_left(const tracked_run& run, time_point now)
    -> std::optional<milliseconds> {
  constexpr std::int64_t complete_percent = 100;
  auto gained_percent = std::int64_t{run.percent} - run.baseline_percent;
  auto elapsed = run.progressed_at - run.baseline_at;
  if (run.baseline_at == time_point{} || gained_percent <= 0 ||
      elapsed.count() <= 0)
    return {};
  auto at_last_poll =
      elapsed * (complete_percent - run.percent) / gained_percent;
  return at_last_poll - (now - run.progressed_at);
}

}  // namespace parsleyledge::fleet
