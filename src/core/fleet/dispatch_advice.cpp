#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

// The objective of a job allows for one call per step on this many workers.
constexpr std::size_t max_workers_per_call = 30;
// Added to the time that the policy needs to decide, by its configuration.
constexpr milliseconds advice_timeout{2000};
// The policy queues the calls that it cannot serve at once.
constexpr milliseconds advice_retry_delay{300};
// A ticket has to stay valid until its placement is committed and the start
// request has arrived.
constexpr milliseconds min_ticket_validity{700};

}  // namespace

auto dispatcher::permission_of(const backlog_item& item,
                               const worker_incarnation& worker,
                               clock_reading now) const -> permission {
  if (!item.job_queue->advice) return permission::allowed;
  return tickets_.find(item.step, worker, now.steady + min_ticket_validity);
}

// Asks the policy about the workers whose permission is unknown, those with the
// most available capacity first. Only one call is in flight: the policy serves
// calls in order, so a queue of them would delay the most urgent step.
void dispatcher::request_advice(const backlog_item& item,
                                std::span<const std::size_t> rows,
                                const planning_pass& pass, clock_reading now) {
  if (pending_advice_ || next_advice_at_ > now.steady) return;
  auto each = reserved_by(*item.spec);
  std::vector<std::size_t> candidates;
  for (auto i : rows) {
    const auto& row = pass.row(i);
    if (!fits(row.available, each)) continue;
    if (permission_of(item, row.record->incarnation, now) ==
        permission::unknown) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) return;
  auto count = std::min(candidates.size(), max_workers_per_call);
  std::ranges::partial_sort(candidates,
                            candidates.begin() + std::ptrdiff_t(count),
                            std::ranges::greater(), [&](std::size_t i) {
                              return count_fitting(pass.row(i).available, each);
                            });
  candidates.resize(count);
  const auto& terms = *item.job_queue->advice;
  ask_advice ask{next_id_++, item.step, {}, {}};
  for (auto i : candidates)
    ask.workers.push_back(pass.row(i).record->incarnation);
  ask.timeout = advice_timeout + terms.decide +
                terms.each * static_cast<std::int64_t>(count);
  pending_advice_ = pending_advice{ask, terms.validity, now.steady};
  log_decision("advice_asked", {{"step", fleet::to_string(item.step)},
                                {"workers", std::to_string(count)}});
  effects_.emplace_back(std::move(ask));
}

auto dispatcher::handle_advice(const fleet_tables& tables, std::uint64_t id,
                               const advice_response& response,
                               clock_reading now) -> std::vector<effect> {
  if (!pending_advice_ || pending_advice_->request.id != id) return {};
  auto pending = std::move(*pending_advice_);
  pending_advice_.reset();
  std::visit(
      overloaded{
          [&](const advice_given& given) {
            // The policy starts the validity after the call was sent, so
            // this end is no later than its own.
            auto valid =
                given.validity.count() > 0 ? given.validity : pending.validity;
            tickets_.store(pending.request.step, pending.request.workers, given,
                           pending.sent_at + valid);
            log_decision(
                "advice_given",
                {{"step", fleet::to_string(pending.request.step)},
                 {"workers", std::to_string(pending.request.workers.size())},
                 {"allowed", std::to_string(given.allowed.size())}});
          },
          [&](const advice_busy&) {
            next_advice_at_ = now.steady + advice_retry_delay;
            log_decision("advice_busy", {});
          },
          [&](const advice_no_response&) {
            next_advice_at_ = now.steady + advice_retry_delay;
            log_decision("advice_missing",
                         {{"step", fleet::to_string(pending.request.step)}});
          }},
      response);
  plan_placements(tables, now);
  dispatch_to_workers(tables, now);
  return take_effects();
}

}  // namespace parsleyledge::fleet
