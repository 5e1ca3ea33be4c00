#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace parsleyledge {

/// The report of an entry on one endpoint: the slots that it holds and the
/// number that it could use.
struct slot_demand {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 0;  // announced by the endpoint
  std::uint32_t held = 0;   // granted to this entry and not released
  std::uint32_t busy = 0;   // in use now
  std::uint32_t wanted = 0;
};

/// Slots of one endpoint that an entry may use.
struct slot_grant {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 0;

  auto operator==(const slot_grant&) const -> bool = default;
};

/// Divides the slots of each endpoint between the entries, so that the entries
/// never hold more slots than the endpoint announced. A slot moves to another
/// entry only after its holder has reported its release or the holder's lease
/// has expired. Soft state of the leader: a new leader learns from the reports
/// of the entries what they hold, and grants no further slots before all leases
/// granted by the previous leader have expired.
class slot_ledger {
 public:
  /// Durations of the leases.
  struct timing {
    // From the last report of an entry; afterwards it uses no idle slot.
    milliseconds lease{3000};
    // From the last report; the longest time that a request may still run.
    milliseconds max_request_time{30'000};
  };

  slot_ledger() = default;
  explicit slot_ledger(timing delays) : timing_(delays) {}

  /// Clears the ledger. Until the leases of the previous leader have expired,
  /// reports get no more slots than the entry holds.
  void begin_leadership(time_point now);

  /// Handles a report of an entry on some endpoints and returns the slots that
  /// it may hold from now on. Earlier reports on other endpoints stay valid.
  /// `sequence` increases with each report of an entry, also across restarts.
  /// For a report with an outdated sequence the result is empty; the entry
  /// ignores every response but the one to its latest report.
  auto report(std::string_view entry, std::uint64_t sequence,
              std::span<const slot_demand> demands, time_point now)
      -> std::vector<slot_grant>;

  /// The number of slots of an endpoint that entries may be using.
  auto held_slots(std::string_view endpoint) const -> std::uint32_t;

 private:
  struct allocation {
    std::uint32_t held = 0;  // upper bound on the slots that the entry uses
    std::uint32_t busy = 0;
    std::uint32_t wanted = 0;
  };
  struct last_report {
    std::uint64_t sequence = 0;
    time_point received_at;
  };
  struct endpoint {
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::map<std::string, allocation, std::less<>> allocations;
  };

  void expire(endpoint& e, time_point now) const;
  static auto fair_target(std::string_view name, const endpoint& e,
                          std::string_view entry) -> std::uint32_t;

  timing timing_;
  time_point grants_allowed_from_;
  std::map<std::string, endpoint, std::less<>> endpoints_;
  std::map<std::string, last_report, std::less<>> last_reports_;
};

}  // namespace parsleyledge
