#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

// The objective of a job counts one call on so many workers a step.
constexpr std::size_t workers_a_call = 30;
constexpr milliseconds advice_timeout{2000};  // on top of the policy's work
constexpr milliseconds busy_pause{300};       // calls wait at the policy
// A ticket has to outlast the commit of its placement and the request.
constexpr milliseconds ticket_slack{700};

}  // namespace

auto dispatcher::permission_of(const backlog_item& item,
                               const worker_incarnation& worker,
                               clock_reading now) const -> permission {
  if (!item.where->advice) return permission::allowed;
  return tickets_.find(item.step, worker, now.steady + ticket_slack);
}

// Asks about the workers with the most room that nothing is known of yet. One
// call is out at a time, for the policy serves them in turn: so the most urgent
// step goes first.
void dispatcher::ask_for_advice(const backlog_item& item,
                                std::span<const std::size_t> rows,
                                const planning_pass& pass, clock_reading now) {
  if (asked_ || advice_after_ > now.steady) return;
  auto each = reserved_by(*item.spec);
  std::vector<std::size_t> open;
  for (auto i : rows) {
    const auto& row = pass.row(i);
    if (!fits(row.available, each)) continue;
    if (permission_of(item, row.record->incarnation, now) ==
        permission::unknown) {
      open.push_back(i);
    }
  }
  if (open.empty()) return;
  auto count = std::min(open.size(), workers_a_call);
  std::ranges::partial_sort(open, open.begin() + std::ptrdiff_t(count),
                            std::ranges::greater(), [&](std::size_t i) {
                              return count_fitting(pass.row(i).available, each);
                            });
  open.resize(count);
  const auto& terms = *item.where->advice;
  ask_advice ask{next_id_++, item.step, {}, {}};
  for (auto i : open) ask.workers.push_back(pass.row(i).record->incarnation);
  ask.timeout = advice_timeout + terms.decide +
                terms.each * static_cast<std::int64_t>(count);
  asked_ = asked_advice{ask, terms.validity, now.steady};
  note("advice_asked", {{"step", fleet::to_string(item.step)},
                        {"workers", std::to_string(count)}});
  effects_.emplace_back(std::move(ask));
}

auto dispatcher::handle_advice(const fleet_tables& tables, std::uint64_t id,
                               const advice_response& answer, clock_reading now)
    -> std::vector<effect> {
  if (!asked_ || asked_->what.id != id) return {};
  auto asked = std::move(*asked_);
  asked_.reset();
  std::visit(
      overloaded{[&](const advice_given& given) {
                   // Counted from the call, the ticket ends no later than the
                   // policy's own count.
                   auto valid = given.validity.count() > 0 ? given.validity
                                                           : asked.validity;
                   tickets_.store(asked.what.step, asked.what.workers, given,
                                  asked.sent_at + valid);
                   note("advice_given",
                        {{"step", fleet::to_string(asked.what.step)},
                         {"workers", std::to_string(asked.what.workers.size())},
                         {"allowed", std::to_string(given.allowed.size())}});
                 },
                 [&](const advice_busy&) {
                   advice_after_ = now.steady + busy_pause;
                   note("advice_busy", {});
                 },
                 [&](const advice_no_response&) {
                   advice_after_ = now.steady + busy_pause;
                   note("advice_missing",
                        {{"step", fleet::to_string(asked.what.step)}});
                 }},
      answer);
  plan(tables, now);
  act(tables, now);
  return take_effects();
}

}  // namespace parsleyledge::fleet
