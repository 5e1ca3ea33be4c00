#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/advice.h"

namespace parsleyledge::fleet {

/// Whether the policy of a queue allows a worker to run a step, as far as
/// known.
enum class permission { unknown, allowed, denied };

/// Caches which workers the policies of queues allow to run which steps. The
/// permission does not change during an incarnation of a worker, but the ticket
/// that proves it expires and must be requested again.
class ticket_cache {
 public:
  /// Stores a response about the workers in `asked`, with tickets that are
  /// valid until a time.
  void store(const step_ref& step, std::span<const worker_incarnation> asked,
             const advice_given& advice, time_point until);

  /// Whether a worker may run the step. Unknown if it is allowed but its ticket
  /// is not valid at `when`.
  auto find(const step_ref& step, const worker_incarnation& worker,
            time_point when) const -> permission;

  /// The ticket of an allowed worker; empty if there is none valid at `when`.
  auto ticket(const step_ref& step, const worker_incarnation& worker,
              time_point when) const -> std::string_view;

  /// Erases the entry of a worker, after it rejected the ticket.
  void erase(const step_ref& step, const worker_incarnation& worker);

  /// Erases the steps of jobs for which `wanted(job)` is false.
  template <typename Wanted>
  void erase_unless(Wanted wanted) {
    std::erase_if(steps_,
                  [&](const auto& item) { return !wanted(item.first.job); });
  }

 private:
  struct entry {
    worker_incarnation incarnation;
    std::string ticket;  // empty if the worker may not run the step
    time_point until;
  };
  using entries = std::map<std::string, entry, std::less<>>;

  auto find_entry(const step_ref& step, const worker_incarnation& worker) const
      -> const entry*;

  std::map<step_ref, entries> steps_;
};

}  // namespace parsleyledge::fleet
