#include "core/jobs/cell_map.h"

#include <algorithm>
#include <bit>
#include <map>
#include <string>
#include <tuple>

namespace parsleyledge {

namespace {

// Costs for each accelerator of a placement.
constexpr double leftover_cost = 0.05;       // left free in the same domain
constexpr double home_cost = 2.0;            // in an idle home
constexpr double reclaim_cost = 1.0;         // occupied, to be reclaimed
constexpr double reserved_ahead_cost = 1.0;  // reserved in advance

auto count_bits(std::uint64_t mask) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::popcount(mask));
}

/// The part of the gang's total that one accelerator needs, rounded up.
template <typename T>
auto share_of(T total, std::uint32_t accelerators) -> std::int64_t {
  auto parts = std::max<std::uint32_t>(accelerators, 1);
  return static_cast<std::int64_t>((total + parts - 1) / parts);
}

/// How many of a domain's free accelerators are stranded: all of them if the
/// needed gang does not fit.
auto count_stranded(std::uint32_t free, std::uint32_t needed) -> double {
  return free < needed ? free : 0;
}

}  // namespace

struct cell_map::search {
  const gang_need& need;
  cell_scope scope;
  const placement_weights& weights;
  std::size_t limit;
  std::int64_t processors_each;  // for one accelerator
  std::int64_t memory_mb_each;   // for one accelerator
};

auto choose_buddies(std::uint64_t mask, std::uint32_t count) -> std::uint64_t {
  if (count == 0) return 0;
  auto block = std::bit_ceil(count);
  std::uint64_t best = 0;
  std::uint32_t best_free = 65;
  for (std::uint32_t at = 0; at + block <= 64; at += block) {
    auto bits = full_mask(block) << at;
    if ((mask & bits) != bits) continue;
    // Prefers the block whose parent block has the fewest free accelerators,
    // so that larger blocks stay whole.
    auto parent_block = full_mask(std::min<std::uint32_t>(block * 2, 64))
                        << (at / (block * 2) * (block * 2));
    auto free = count_bits(mask & parent_block);
    if (free < best_free) {
      best_free = free;
      best = bits;
    }
  }
  auto from = best != 0 ? best : mask;
  std::uint64_t chosen = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    auto lowest = from & (~from + 1);
    chosen |= lowest;
    from &= ~lowest;
  }
  return chosen;
}

cell_map::cell_map(std::span<const worker> workers)
    : workers_(workers.begin(), workers.end()) {
  std::map<std::tuple<std::string, std::string, std::string>, std::uint32_t>
      racks;
  std::map<std::pair<std::string, std::string>, std::uint32_t> centres;
  rows_.reserve(workers_.size());
  worker_index_.reserve(workers_.size());
  for (std::uint32_t i = 0; i < workers_.size(); ++i) {
    const auto& w = workers_[i];
    worker_index_.emplace(w.name, i);
    worker_row r;
    r.installed = full_mask(w.accelerators);
    r.in_service = w.condition == worker_condition::ready ? r.installed : 0;
    if (w.condition == worker_condition::ready) {
      r.processors = w.processors;
      r.memory_mb = static_cast<std::int64_t>(w.memory_mb);
    }
    auto rack = racks.try_emplace({w.data_centre, w.rack, w.accelerator_kind},
                                  static_cast<std::uint32_t>(racks.size()));
    auto centre =
        centres.try_emplace({w.data_centre, w.accelerator_kind},
                            static_cast<std::uint32_t>(centres.size()));
    r.rack = rack.first->second;
    r.data_centre = centre.first->second;
    racks_.resize(racks.size());
    data_centres_.resize(centres.size());
    racks_[r.rack].workers.push_back(i);
    racks_[r.rack].free += count_bits(r.in_service);
    data_centres_[r.data_centre].workers.push_back(i);
    data_centres_[r.data_centre].free += count_bits(r.in_service);
    rows_.push_back(r);
  }
}

auto cell_map::find_worker(std::string_view name) const
    -> std::optional<std::uint32_t> {
  auto it = worker_index_.find(name);
  if (it == worker_index_.end()) return {};
  return it->second;
}

void cell_map::update_free_counts(worker_row& r, std::uint64_t old_occupied) {
  auto after = count_bits(r.in_service & ~r.occupied);
  auto old = count_bits(r.in_service & ~old_occupied);
  racks_[r.rack].free += after - old;
  data_centres_[r.data_centre].free += after - old;
}

void cell_map::occupy(const assignment& part) {
  auto index = find_worker(part.worker);
  if (!index) return;
  auto& r = rows_[*index];
  auto old_occupied = r.occupied;
  r.occupied |= part.accelerators;
  r.processors -= part.processors;
  r.memory_mb -= static_cast<std::int64_t>(part.memory_mb);
  update_free_counts(r, old_occupied);
}

void cell_map::release(const assignment& part) {
  auto index = find_worker(part.worker);
  if (!index) return;
  auto& r = rows_[*index];
  auto old_occupied = r.occupied;
  if ((r.reclaimable & part.accelerators) != 0 ||
      (part.accelerators == 0 && r.reclaimable_processors > 0)) {
    r.reclaimable_processors -= part.processors;
    r.reclaimable_memory_mb -= static_cast<std::int64_t>(part.memory_mb);
  }
  r.occupied &= ~part.accelerators;
  r.reclaimable &= ~part.accelerators;
  r.processors += part.processors;
  r.memory_mb += static_cast<std::int64_t>(part.memory_mb);
  update_free_counts(r, old_occupied);
}

void cell_map::mark_reclaimable(const assignment& part) {
  auto index = find_worker(part.worker);
  if (!index) return;
  auto& r = rows_[*index];
  r.reclaimable |= part.accelerators;
  r.reclaimable_processors += part.processors;
  r.reclaimable_memory_mb += static_cast<std::int64_t>(part.memory_mb);
}

void cell_map::clear_reclaimable() {
  for (auto& r : rows_) {
    r.reclaimable = 0;
    r.reclaimable_processors = 0;
    r.reclaimable_memory_mb = 0;
  }
}

void cell_map::add_home(const assignment& part, bool idle) {
  auto index = find_worker(part.worker);
  if (!index) return;
  rows_[*index].home |= part.accelerators;
  if (idle) rows_[*index].idle_home |= part.accelerators;
}

void cell_map::remove_home(const assignment& part) {
  auto index = find_worker(part.worker);
  if (!index) return;
  rows_[*index].home &= ~part.accelerators;
  rows_[*index].idle_home &= ~part.accelerators;
}

void cell_map::reserve(const assignment& part) {
  auto index = find_worker(part.worker);
  if (index) rows_[*index].reserved |= part.accelerators;
}

void cell_map::reserve_ahead(const assignment& part) {
  auto index = find_worker(part.worker);
  if (index) rows_[*index].reserved_ahead |= part.accelerators;
}

auto cell_map::available(const worker_row& r, cell_scope scope,
                         bool reserved_ahead) const -> std::uint64_t {
  auto excluded = r.reserved | (reserved_ahead ? 0 : r.reserved_ahead);
  switch (scope) {
    case cell_scope::outside_homes:
      return r.in_service & ~r.occupied & ~excluded & ~r.home;
    case cell_scope::free:
      return r.in_service & ~r.occupied & ~excluded;
    case cell_scope::reclaimable:
      return r.in_service & (~r.occupied | r.reclaimable) & ~excluded;
    case cell_scope::new_home:
      return r.in_service & ~r.home & (~r.occupied | r.reclaimable);
    case cell_scope::all:
      return r.installed;
  }
  return 0;
}

/// How many of the gang's accelerators fit on the worker, given its available
/// accelerators, processors and memory.
auto cell_map::capacity(const worker_row& r, const search& s) const
    -> std::uint32_t {
  auto count = count_bits(available(r, s.scope, s.weights.reserved_ahead));
  if (s.scope == cell_scope::new_home || count == 0) return count;
  auto processors = r.processors;
  auto memory = r.memory_mb;
  if (s.scope == cell_scope::reclaimable) {
    processors += r.reclaimable_processors;
    memory += r.reclaimable_memory_mb;
  } else if (s.scope == cell_scope::all) {
    const auto& w = workers_[static_cast<std::size_t>(&r - rows_.data())];
    processors = w.processors;
    memory = static_cast<std::int64_t>(w.memory_mb);
  }
  auto limit = [&](std::int64_t amount, std::int64_t each) {
    if (each <= 0) return;
    count = std::min(count, static_cast<std::uint32_t>(
                                std::max<std::int64_t>(amount, 0) / each));
  };
  limit(processors, s.processors_each);
  limit(memory, s.memory_mb_each);
  return count;
}

auto cell_map::stranded_change(std::uint32_t worker, std::uint32_t taken,
                               const gang_shape& largest) const -> double {
  const auto& r = rows_[worker];
  std::uint32_t free = 0;
  switch (largest.within) {
    case adjacency::worker:
      free = count_bits(r.in_service & ~r.occupied);
      break;
    case adjacency::rack:
      free = racks_[r.rack].free;
      break;
    case adjacency::data_centre:
      free = data_centres_[r.data_centre].free;
      break;
  }
  auto left = free > taken ? free - taken : 0;
  return count_stranded(left, largest.accelerators) -
         count_stranded(free, largest.accelerators);
}

void cell_map::find_in_workers(const search& s,
                               std::vector<placement>& found) const {
  auto n = s.need.shape.accelerators;
  for (std::uint32_t i = 0; i < rows_.size(); ++i) {
    const auto& r = rows_[i];
    auto mask = available(r, s.scope, s.weights.reserved_ahead);
    if (count_bits(mask) < n || capacity(r, s) < n) continue;
    auto from = mask;
    if (s.scope == cell_scope::reclaimable &&
        count_bits(mask & ~r.occupied) >= n) {
      from = mask & ~r.occupied;
    }
    auto chosen = choose_buddies(from, n);
    double cost = leftover_cost * (count_bits(mask) - n);
    cost += home_cost * count_bits(chosen & r.idle_home);
    cost += reclaim_cost * count_bits(chosen & r.occupied);
    cost += reserved_ahead_cost * count_bits(chosen & r.reserved_ahead);
    if (s.weights.fragmentation > 0) {
      cost += s.weights.fragmentation *
              stranded_change(i, n, s.weights.largest) / n;
    }
    if (found.size() == s.limit && cost >= found.back().cost) continue;
    found.push_back({{{i, chosen}}, cost});
    std::ranges::sort(found, {}, &placement::cost);
    if (found.size() > s.limit) found.pop_back();
    if (s.weights.first_fit) return;
  }
}

/// Chooses accelerators on as few workers as possible: the worker with the
/// fewest available that fits the rest, else the one with the most. Empty if
/// the workers together have too few.
auto cell_map::choose_cells(std::span<const std::uint32_t> workers,
                            const search& s) const -> std::vector<cell> {
  struct candidate {
    std::uint32_t worker;
    std::uint32_t count;
  };
  std::vector<candidate> candidates;
  std::uint32_t total = 0;
  for (auto i : workers) {
    auto count = capacity(rows_[i], s);
    if (count == 0) continue;
    total += count;
    candidates.push_back({i, count});
  }
  auto rest = s.need.shape.accelerators;
  if (total < rest) return {};
  if (!s.weights.first_fit) {
    std::ranges::stable_sort(candidates, std::greater<>(), &candidate::count);
  }
  std::vector<cell> cells;
  for (std::size_t i = 0; i < candidates.size() && rest > 0; ++i) {
    auto chosen = candidates[i];
    if (chosen.count >= rest && !s.weights.first_fit) {
      for (auto j = i; j < candidates.size() && candidates[j].count >= rest;
           ++j) {
        chosen = candidates[j];
      }
    }
    auto n = std::min(rest, chosen.count);
    const auto& r = rows_[chosen.worker];
    auto mask = available(r, s.scope, s.weights.reserved_ahead);
    auto preferred = mask & ~r.occupied & ~r.idle_home;
    if (count_bits(preferred) < n) preferred = mask & ~r.occupied;
    if (count_bits(preferred) < n) preferred = mask;
    cells.push_back({chosen.worker, choose_buddies(preferred, n)});
    rest -= n;
  }
  return cells;
}

void cell_map::find_in_domains(std::span<const domain> domains, const search& s,
                               std::vector<placement>& found) const {
  auto n = s.need.shape.accelerators;
  bool only_free =
      s.scope == cell_scope::outside_homes || s.scope == cell_scope::free;
  for (const auto& d : domains) {
    if (only_free && d.free < n) continue;
    auto cells = choose_cells(d.workers, s);
    if (cells.empty()) continue;
    double cost = leftover_cost * (d.free > n ? d.free - n : 0);
    for (const auto& c : cells) {
      const auto& r = rows_[c.worker];
      cost += home_cost * count_bits(c.accelerators & r.idle_home);
      cost += reclaim_cost * count_bits(c.accelerators & r.occupied);
      cost +=
          reserved_ahead_cost * count_bits(c.accelerators & r.reserved_ahead);
      cost += leftover_cost;  // prefers fewer workers
    }
    if (s.weights.fragmentation > 0) {
      cost += s.weights.fragmentation *
              stranded_change(cells.front().worker, n, s.weights.largest) / n;
    }
    if (found.size() == s.limit && cost >= found.back().cost) continue;
    found.push_back({std::move(cells), cost});
    std::ranges::sort(found, {}, &placement::cost);
    if (found.size() > s.limit) found.pop_back();
    if (s.weights.first_fit) return;
  }
}

auto cell_map::find(const gang_need& need, cell_scope scope,
                    const placement_weights& weights, std::size_t limit) const
    -> std::vector<placement> {
  auto n = need.shape.accelerators;
  search s{need,
           scope,
           weights,
           limit,
           share_of(need.processors, n),
           share_of(need.memory_mb, n)};
  std::vector<placement> found;
  if (n == 0) {
    // Work without accelerators goes to the worker with the fewest free
    // accelerators, which keeps emptier workers for gangs.
    for (std::uint32_t i = 0; i < rows_.size(); ++i) {
      const auto& r = rows_[i];
      const auto& w = workers_[i];
      bool empty_site = scope == cell_scope::all;
      if (!empty_site && w.condition != worker_condition::ready) continue;
      auto processors = empty_site ? w.processors : r.processors;
      auto memory =
          empty_site ? static_cast<std::int64_t>(w.memory_mb) : r.memory_mb;
      if (processors < s.processors_each || memory < s.memory_mb_each) continue;
      double cost = count_bits(r.in_service & ~r.occupied);
      if (found.empty() || cost < found.front().cost) {
        found.assign(1, {{{i, 0}}, cost});
      }
      if (weights.first_fit) break;
    }
    return found;
  }
  switch (need.shape.within) {
    case adjacency::worker:
      find_in_workers(s, found);
      break;
    case adjacency::rack:
      find_in_domains(racks_, s, found);
      break;
    case adjacency::data_centre:
      find_in_domains(data_centres_, s, found);
      break;
  }
  return found;
}

auto cell_map::assignments(std::span<const cell> cells,
                           const gang_need& need) const
    -> std::vector<assignment> {
  auto n = need.shape.accelerators;
  std::vector<assignment> result;
  result.reserve(cells.size());
  for (const auto& c : cells) {
    auto count = n == 0 ? 1 : count_bits(c.accelerators);
    result.push_back(
        {workers_[c.worker].name, c.accelerators,
         static_cast<std::uint32_t>(share_of(need.processors, n) * count),
         static_cast<std::uint64_t>(share_of(need.memory_mb, n) * count)});
  }
  return result;
}

auto cell_map::is_free(const assignment& part) const -> bool {
  auto index = find_worker(part.worker);
  if (!index) return false;
  auto free = available(rows_[*index], cell_scope::free, true);
  return (free & part.accelerators) == part.accelerators;
}

auto cell_map::is_borrowable(std::span<const assignment> cells) const -> bool {
  return std::ranges::all_of(cells, [&](const assignment& a) {
    auto index = find_worker(a.worker);
    if (!index) return false;
    const auto& r = rows_[*index];
    auto usable = r.in_service & (~r.occupied | r.reclaimable) & ~r.reserved;
    return (usable & a.accelerators) == a.accelerators;
  });
}

auto cell_map::has_capacity(const assignment& part) const -> bool {
  auto index = find_worker(part.worker);
  if (!index) return false;
  const auto& r = rows_[*index];
  return r.processors >= part.processors &&
         r.memory_mb >= static_cast<std::int64_t>(part.memory_mb);
}

auto cell_map::fits_proportional_share(const assignment& part) const -> bool {
  auto index = find_worker(part.worker);
  if (!index) return false;
  const auto& w = workers_[*index];
  std::uint64_t count = count_bits(part.accelerators);
  return part.processors * std::uint64_t{w.accelerators} <=
             w.processors * count &&
         part.memory_mb * w.accelerators <= w.memory_mb * count;
}

auto cell_map::free_count() const -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto& d : data_centres_) total += d.free;
  return total;
}

auto cell_map::stranded_count(const gang_shape& largest) const
    -> std::uint32_t {
  auto needed = largest.accelerators;
  std::uint32_t total = 0;
  auto add = [&](std::uint32_t free) {
    if (free < needed) total += free;
  };
  switch (largest.within) {
    case adjacency::worker:
      for (const auto& r : rows_) add(count_bits(r.in_service & ~r.occupied));
      break;
    case adjacency::rack:
      for (const auto& d : racks_) add(d.free);
      break;
    case adjacency::data_centre:
      for (const auto& d : data_centres_) add(d.free);
      break;
  }
  return total;
}

}  // namespace parsleyledge
