#include "core/fleet/wait_cause.h"

#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

auto total_free(std::span<const candidate> workers) -> resources {
  resources total;
  for (const auto& w : workers) {
    total += component_max(w.free, {});
  }
  return total;
}

auto fits_on(std::span<const candidate> workers, const placement_need& need)
    -> bool {
  return !choose_workers(workers, need).empty();
}

}  // namespace

auto to_string(const wait_cause& cause) -> std::string_view {
  using std::string_view;
  return std::visit(
      overloaded{
          [](const no_capacity&) -> string_view { return "no_capacity"; },
          [](const fragmented_capacity&) -> string_view {
            return "fragmented_capacity";
          },
          [](const rack_full&) -> string_view { return "rack_full"; },
          [](const workers_quarantined&) -> string_view {
            return "workers_quarantined";
          },
          [](const capacity_reserved&) -> string_view {
            return "capacity_reserved";
          },
          [](const stops_pending&) -> string_view { return "stops_pending"; },
          [](const advice_pending&) -> string_view {
            return "advice_pending";
          }},
      cause);
}

auto find_wait_cause(std::span<const candidate> workers,
                     std::span<const candidate> with_reserved,
                     std::span<const candidate> with_quarantined,
                     const placement_need& need) -> wait_cause {
  auto in_any_rack = need;
  in_any_rack.any_rack = true;
  if (!need.any_rack && fits_on(workers, in_any_rack)) return rack_full{};
  if (fits_on(with_reserved, in_any_rack)) return capacity_reserved{};
  if (fits_on(with_quarantined, in_any_rack)) return workers_quarantined{};
  auto tasks = need.all_or_nothing ? need.tasks : 1;
  bool fits_in_total = fits(total_free(workers), need.per_task * tasks);
  if (fits_in_total) return fragmented_capacity{};
  return no_capacity{};
}

}  // namespace parsleyledge::fleet
