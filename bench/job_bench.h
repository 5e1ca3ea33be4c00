#pragma once

#include <cstdint>
#include <string>

#include "job_mix.h"

namespace parsleyledge::bench {

/// Settings of `parsleyledge-bench jobs`.
struct job_bench_settings {
  site_kind site = site_kind::kaltwasser;
  double load = 0.9;
  std::size_t jobs = 4000;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 5;
  std::size_t threads = 5;
  std::string only;  // one policy; empty for all
  bool json = false;
};

/// Replays the same seeds with each policy and prints a table, or JSON lines.
void run_job_bench(const job_bench_settings& settings);

}  // namespace parsleyledge::bench
