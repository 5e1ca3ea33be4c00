#include "core/membership/slot_ledger.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace parsleyledge {

namespace {

// One in this many slots of an endpoint is reserved for idle entries, so that
// their first request need not wait for another entry to release a slot.
constexpr std::uint32_t reserve_divisor = 8;

/// Orders the entries differently for each endpoint, so that the remainder of
/// an even division does not always go to the same entries.
auto tie_break_rank(std::string_view endpoint, std::string_view entry)
    -> std::size_t {
  std::string key(endpoint);
  key += '\0';
  key += entry;
  return std::hash<std::string>()(key);
}

}  // namespace

void slot_ledger::begin_leadership(time_point now) {
  endpoints_.clear();
  last_reports_.clear();
  grants_allowed_from_ = now + timing_.lease;
}

// An entry that stops reporting loses its idle slots when its lease expires.
// Its running requests keep their slots until the longest deadline has passed.
void slot_ledger::expire(endpoint& e, time_point now) const {
  for (auto it = e.allocations.begin(); it != e.allocations.end();) {
    auto& alloc = it->second;
    auto last = last_reports_.find(it->first);
    auto since_report = last == last_reports_.end()
                            ? timing_.max_request_time + timing_.lease
                            : now - last->second.received_at;
    if (since_report > timing_.lease) {
      alloc.wanted = 0;
      alloc.held = std::min(alloc.held, alloc.busy);
      if (alloc.held == 0 || since_report > timing_.max_request_time) {
        it = e.allocations.erase(it);
        continue;
      }
    }
    ++it;
  }
}

// Max-min fairness over the demands of the active entries. Idle entries get one
// slot each from the reserve and the slots left over.
auto slot_ledger::fair_target(std::string_view name, const endpoint& e,
                              std::string_view entry) -> std::uint32_t {
  struct entry_demand {
    std::uint32_t slots;
    std::size_t rank;
    std::string_view entry;
  };
  std::vector<entry_demand> active;
  std::vector<entry_demand> idle;
  for (const auto& [holder, alloc] : e.allocations) {
    auto& list = alloc.wanted > 0 ? active : idle;
    list.push_back({std::max<std::uint32_t>(alloc.wanted, 1),
                    tie_break_rank(name, holder), holder});
  }
  auto by_slots = [](const entry_demand& a, const entry_demand& b) {
    return std::tie(a.slots, a.rank) < std::tie(b.slots, b.rank);
  };
  std::ranges::sort(active, by_slots);
  std::ranges::sort(idle, by_slots);
  auto reserve = std::min<std::uint32_t>(
      e.slots / reserve_divisor, static_cast<std::uint32_t>(idle.size()));
  auto unassigned = e.slots - reserve;
  auto active_entries = static_cast<std::uint32_t>(active.size());
  for (const auto& demand : active) {
    auto share = std::min(demand.slots,
                          (unassigned + active_entries - 1) / active_entries);
    if (demand.entry == entry) return share;
    unassigned -= share;
    --active_entries;
  }
  unassigned += reserve;
  for (const auto& demand : idle) {
    if (unassigned == 0) return 0;
    if (demand.entry == entry) return 1;
    --unassigned;
  }
  return 0;
}

auto slot_ledger::report(std::string_view entry, std::uint64_t sequence,
                         std::span<const slot_demand> demands, time_point now)
    -> std::vector<slot_grant> {
  std::vector<slot_grant> grants;
  auto& last = last_reports_[std::string(entry)];
  if (sequence <= last.sequence) return grants;
  last = {sequence, now};
  grants.reserve(demands.size());
  for (const auto& d : demands) {
    auto& e = endpoints_[d.endpoint];
    if (d.incarnation < e.incarnation) continue;
    if (d.incarnation > e.incarnation) {
      e = {};
      e.incarnation = d.incarnation;
    }
    e.slots = d.slots;
    expire(e, now);
    auto& own = e.allocations[std::string(entry)];
    own = {d.held, d.busy, d.wanted};
    std::uint32_t total_held = 0;
    for (const auto& [name, alloc] : e.allocations) total_held += alloc.held;
    auto unheld = e.slots > total_held ? e.slots - total_held : 0;
    auto target = fair_target(d.endpoint, e, entry);
    auto granted = std::min(target, d.held + unheld);
    if (now < grants_allowed_from_) granted = std::min(granted, d.held);
    // A lower grant frees slots only after the entry has reported that it
    // holds fewer; a higher grant counts at once.
    own.held = std::max(granted, d.held);
    grants.push_back({d.endpoint, d.incarnation, granted});
  }
  return grants;
}

auto slot_ledger::held_slots(std::string_view name) const -> std::uint32_t {
  auto it = endpoints_.find(name);
  if (it == endpoints_.end()) return 0;
  std::uint32_t total = 0;
  for (const auto& [entry, alloc] : it->second.allocations) total += alloc.held;
  return total;
}

}  // namespace parsleyledge
