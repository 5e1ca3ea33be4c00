#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/advice.h"

namespace parsleyledge::fleet {

/// What a worker's place is in the policy of a step.
enum class permission { unknown, allowed, denied };

/// Remembers which workers the policies of queues allow to run which steps.
/// Whether a worker may run a step does not change during its incarnation; the
/// ticket that proves it runs out and is asked for again.
class ticket_cache {
 public:
  /// Takes in an answer about the workers that were asked about.
  void store(const step_ref& step, std::span<const worker_incarnation> asked,
             const advice_given& answer, time_point until);

  /// Whether a worker may run the step with a ticket that is valid then.
  auto find(const step_ref& step, const worker_incarnation& worker,
            time_point when) const -> permission;

  /// The ticket of an allowed worker; empty if there is none.
  auto ticket(const step_ref& step, const worker_incarnation& worker,
              time_point when) const -> std::string_view;

  /// The worker refused the ticket.
  void erase(const step_ref& step, const worker_incarnation& worker);

  /// Forgets the steps of jobs that are not `wanted`.
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
