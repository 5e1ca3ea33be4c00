#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyledge::bench {

/// The shapes of the operators' sites: workers, racks and mixes of jobs.
enum class fleet_shape { fridge, batch, fridge_grown, batch_grown };

struct fleet_bench_settings {
  fleet_shape shape = fleet_shape::batch_grown;
  double load = 1;  // times the arrivals of a heavy day
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  std::uint32_t seconds = 30;  // of simulated time
};

/// Lets the dispatcher serve seeded arrivals on simulated workers and prints
/// how long its decisions took and how much of the work was in time.
void run_fleet_bench(const fleet_bench_settings& settings);

/// Reads a shape's name into `shape`; false if there is no such shape.
auto parse_fleet_shape(std::string_view name, fleet_shape& shape) -> bool;

}  // namespace parsleyledge::bench
