#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyledge::bench {

/// Models of the operators' sites: workers, racks and mixes of jobs.
enum class fleet_shape { fridge, batch, fridge_grown, batch_grown };

struct fleet_bench_settings {
  fleet_shape shape = fleet_shape::batch_grown;
  double load = 1;  // multiple of the peak arrival rates
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;       // number of runs
  std::uint32_t seconds = 30;  // of simulated time
};

/// Runs the dispatcher with seeded arrivals on simulated workers. Prints how
/// long its decisions took, and for each queue how many jobs completed and
/// their mean stretch (completion time over estimate).
void run_fleet_bench(const fleet_bench_settings& settings);

/// Reads a shape's name into `shape`; false if there is no such shape.
auto parse_fleet_shape(std::string_view name, fleet_shape& shape) -> bool;

}  // namespace parsleyledge::bench
