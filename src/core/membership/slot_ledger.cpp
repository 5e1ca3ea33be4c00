#include "core/membership/slot_ledger.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace parsleyledge {

namespace {

// Of an endpoint's slots, one in this many is kept for entries that are idle,
// so that their first request need not wait for a slot to be given back.
constexpr std::uint32_t reserve_divisor = 8;

/// Orders entries differently for each endpoint, so that what is left after
/// an even division does not always go to the same entries.
auto rank_of(std::string_view endpoint, std::string_view entry) -> std::size_t {
  std::string both(endpoint);
  both += '\0';
  both += entry;
  return std::hash<std::string>()(both);
}

}  // namespace

void slot_ledger::begin_leadership(time_point now) {
  endpoints_.clear();
  contacts_.clear();
  grants_from_ = now + timing_.lease;
}

// An entry that fell silent uses no idle slot after its lease; what it was
// running may go on until the longest deadline.
void slot_ledger::expire(endpoint& e, time_point now) const {
  for (auto it = e.holders.begin(); it != e.holders.end();) {
    auto& h = it->second;
    auto heard = contacts_.find(it->first);
    auto silent = heard == contacts_.end() ? timing_.busy + timing_.lease
                                           : now - heard->second.received_at;
    if (silent > timing_.lease) {
      h.wanted = 0;
      h.held = std::min(h.held, h.busy);
      if (h.held == 0 || silent > timing_.busy) {
        it = e.holders.erase(it);
        continue;
      }
    }
    ++it;
  }
}

// Max-min fairness over what the entries want; idle ones share the reserve.
auto slot_ledger::fair_target(std::string_view name, const endpoint& e,
                              std::string_view entry) -> std::uint32_t {
  struct want {
    std::uint32_t slots;
    std::size_t rank;
    std::string_view entry;
  };
  std::vector<want> wants;
  std::vector<want> idle;
  for (const auto& [holder, h] : e.holders) {
    auto& list = h.wanted > 0 ? wants : idle;
    list.push_back(
        {std::max<std::uint32_t>(h.wanted, 1), rank_of(name, holder), holder});
  }
  auto by_size = [](const want& a, const want& b) {
    return std::tie(a.slots, a.rank) < std::tie(b.slots, b.rank);
  };
  std::ranges::sort(wants, by_size);
  std::ranges::sort(idle, by_size);
  auto reserve = std::min<std::uint32_t>(
      e.slots / reserve_divisor, static_cast<std::uint32_t>(idle.size()));
  auto rest = e.slots - reserve;
  auto parts = static_cast<std::uint32_t>(wants.size());
  for (const auto& w : wants) {
    auto part = std::min(w.slots, (rest + parts - 1) / parts);
    if (w.entry == entry) return part;
    rest -= part;
    --parts;
  }
  rest += reserve;
  for (const auto& w : idle) {
    if (rest == 0) return 0;
    if (w.entry == entry) return 1;
    --rest;
  }
  return 0;
}

auto slot_ledger::report(std::string_view entry, std::uint64_t sequence,
                         std::span<const slot_demand> demands, time_point now)
    -> std::vector<slot_grant> {
  std::vector<slot_grant> grants;
  auto& from = contacts_[std::string(entry)];
  if (sequence <= from.sequence) return grants;
  from = {sequence, now};
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
    auto& mine = e.holders[std::string(entry)];
    mine = {d.held, d.busy, d.wanted};
    std::uint32_t all = 0;
    for (const auto& [name, h] : e.holders) all += h.held;
    auto free = e.slots > all ? e.slots - all : 0;
    auto target = fair_target(d.endpoint, e, entry);
    auto granted = std::min(target, d.held + free);
    if (now < grants_from_) granted = std::min(granted, d.held);
    // A lower grant frees slots only once the entry reports that it holds
    // less; a higher one counts at once.
    mine.held = std::max(granted, d.held);
    grants.push_back({d.endpoint, d.incarnation, granted});
  }
  return grants;
}

auto slot_ledger::held(std::string_view name) const -> std::uint32_t {
  auto it = endpoints_.find(name);
  if (it == endpoints_.end()) return 0;
  std::uint32_t total = 0;
  for (const auto& [entry, h] : it->second.holders) total += h.held;
  return total;
}

}  // namespace parsleyledge
