#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace parsleyledge {

/// What an entry says of one endpoint: the slots it holds there, and how many
/// it could use.
struct slot_demand {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 0;  // announced by the endpoint
  std::uint32_t held = 0;   // granted to this entry and not given back
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

/// Divides the slots of endpoints between entries, so that the sum of what
/// entries hold never exceeds what an endpoint announced. A slot moves only
/// once its holder has said that it gave it back, or once the holder's lease
/// has run out. Soft state of the leader: a new leader learns from the
/// entries what they hold and grants nothing more before every lease of its
/// predecessor has run out.
class slot_ledger {
 public:
  /// Delays of the leases.
  struct timing {
    milliseconds lease{3000};   // an entry uses no slot after this silence
    milliseconds busy{30'000};  // longest that a request may still run
  };

  slot_ledger() = default;
  explicit slot_ledger(timing delays) : timing_(delays) {}

  /// Starts anew as the leader.
  void begin_leadership(time_point now);

  /// Takes an entry's report on some endpoints and returns what it may hold
  /// from now on. `sequence` grows with each report of an entry, also over its
  /// restarts; the entry drops the answer to any but its latest. A report that
  /// was overtaken gets no answer. What was reported of other endpoints stands.
  auto report(std::string_view entry, std::uint64_t sequence,
              std::span<const slot_demand> demands, time_point now)
      -> std::vector<slot_grant>;

  /// The sum of slots of an endpoint that entries may be using.
  auto held(std::string_view endpoint) const -> std::uint32_t;

 private:
  struct holding {
    std::uint32_t held = 0;  // the most that the entry may be using
    std::uint32_t busy = 0;
    std::uint32_t wanted = 0;
  };
  struct contact {
    std::uint64_t sequence = 0;
    time_point received_at;
  };
  struct endpoint {
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::map<std::string, holding, std::less<>> holders;
  };

  void expire(endpoint& e, time_point now) const;
  static auto fair_target(std::string_view name, const endpoint& e,
                          std::string_view entry) -> std::uint32_t;

  timing timing_;
  time_point grants_from_;
  std::map<std::string, endpoint, std::less<>> endpoints_;
  std::map<std::string, contact, std::less<>> contacts_;
};

}  // namespace parsleyledge
