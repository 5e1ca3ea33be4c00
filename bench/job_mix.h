#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/job.h"
#include "core/jobs/worker.h"

namespace parsleyledge::bench {

/// The arrival of a job, with its actual run time.
struct arrival {
  time_point at;
  job_spec spec;
  milliseconds actual_run_time{0};
};

/// A site and a list of arrivals drawn from a seed.
struct job_mix {
  std::vector<worker> workers;
  site_config site;
  std::vector<arrival> arrivals;
};

enum class site_kind { kaltwasser, cista, large };

/// Draws a list of `jobs` arrivals that offers a load of `load` times the
/// accelerators of the site.
auto make_mix(site_kind kind, double load, std::uint64_t seed, std::size_t jobs)
    -> job_mix;

/// Reads a site's name into `kind`; false if there is no such site.
auto parse_site(std::string_view name, site_kind& kind) -> bool;

auto to_string(site_kind kind) -> std::string_view;

}  // namespace parsleyledge::bench
