#include "core/fleet/command.h"

namespace parsleyledge::fleet {

auto to_string(run_end outcome) -> std::string_view {
  switch (outcome) {
    case run_end::done:
      return "done";
    case run_end::failed:
      return "failed";
    case run_end::stopped:
      return "stopped";
    case run_end::lease_expired:
      return "lapsed";
    case run_end::gang_broken:
      return "broken";
    case run_end::gang_incomplete:
      return "alone";
    case run_end::lost:
      return "lost";
  }
  return "unknown";
}

auto to_string(start_evidence evidence) -> std::string_view {
  switch (evidence) {
    case start_evidence::none:
      return "unknown";
    case start_evidence::sent:
      return "sent";
    case start_evidence::confirmed:
      return "confirmed";
  }
  return "unknown";
}

}  // namespace parsleyledge::fleet
