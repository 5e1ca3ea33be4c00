#include "job_mix.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

namespace parsleyledge::bench {

namespace {

using std::chrono::seconds;

/// A kind of job: its gang, its weight in the mix and its run time.
struct job_kind {
  gang_shape gang;
  double weight;
  double median_s;
  double sigma;  // of the logarithm of the run time
};

/// The parameters of a site.
struct site_shape {
  std::uint32_t workers;
  std::uint32_t workers_per_rack;
  std::uint32_t accelerators;
  std::uint32_t processors;
  std::uint64_t memory_mb;
  std::uint32_t data_centres;
  std::uint32_t customers;
  double completion_weight;
  std::vector<job_kind> kinds;
};

constexpr auto on_worker = adjacency::worker;
constexpr auto in_rack = adjacency::rack;
constexpr auto in_centre = adjacency::data_centre;

auto shape_of(site_kind kind) -> site_shape {
  switch (kind) {
    case site_kind::kaltwasser:
      return {50,
              8,
              8,
              128,
              512'000,
              3,
              4,
              0.7,
              {{{1, on_worker}, 0.40, 240, 1.0},
               {{2, on_worker}, 0.20, 400, 1.0},
               {{4, on_worker}, 0.15, 600, 1.0},
               {{8, on_worker}, 0.13, 900, 1.0},
               {{16, in_rack}, 0.09, 1200, 0.8},
               {{32, in_rack}, 0.03, 1800, 0.6}}};
    case site_kind::cista:
      return {50,
              8,
              8,
              64,
              256'000,
              3,
              4,
              0.3,
              {{{1, on_worker}, 0.30, 400, 1.0},
               {{2, on_worker}, 0.16, 600, 1.0},
               {{4, on_worker}, 0.16, 900, 1.0},
               {{8, on_worker}, 0.16, 1500, 0.8},
               {{16, in_rack}, 0.14, 2400, 0.7},
               {{32, in_rack}, 0.08, 3600, 0.5}}};
    case site_kind::large:
      return {4000,
              40,
              1,
              32,
              128'000,
              4,
              73,
              0.5,
              {{{1, on_worker}, 0.50, 5400, 1.0},
               {{4, in_rack}, 0.25, 7200, 0.8},
               {{16, in_rack}, 0.17, 9000, 0.7},
               {{64, in_centre}, 0.06, 10'800, 0.6},
               {{256, in_centre}, 0.02, 14'400, 0.4}}};
  }
  return {};
}

auto make_workers(const site_shape& shape) -> std::vector<worker> {
  std::vector<worker> workers;
  for (std::uint32_t i = 0; i < shape.workers; ++i) {
    auto rack = i / shape.workers_per_rack;
    worker w;
    w.name = "worker-" + std::to_string(i);
    w.rack = "rack-" + std::to_string(rack);
    w.data_centre = "dc-" + std::to_string(rack % shape.data_centres);
    w.processors = shape.processors;
    w.memory_mb = shape.memory_mb;
    w.accelerators = shape.accelerators;
    // The large site has 5,000 accelerators on 4,000 workers.
    if (shape.workers == 4000 && i % 8 == 0) w.accelerators = 3;
    workers.push_back(w);
  }
  return workers;
}

auto make_site(const site_shape& shape) -> site_config {
  site_config site;
  site.policy.completion_time_weight = shape.completion_weight;
  site.policy.fragmentation_weight = 1 - shape.completion_weight;
  site.policy.large_job_wait = seconds(600);
  site.policy.checkpoint_grace = seconds(5);
  for (std::uint32_t i = 0; i < shape.customers; ++i) {
    auto& customer = site.customers["customer-" + std::to_string(i)];
    customer.share = i == 0 ? 2 : 1;
    if (shape.customers == 4) {
      if (i == 0) {
        customer.guarantees["large"] = {{32, in_rack}, 2};
        customer.guarantees["middle"] = {{16, in_rack}, 2};
      } else {
        customer.guarantees["middle"] = {{16, in_rack}, 1};
        customer.guarantees["small"] = {{8, on_worker}, 3};
      }
    } else {
      customer.guarantees["middle"] = {{16, in_rack}, 1};
      if (i < 4) customer.guarantees["large"] = {{256, in_centre}, 1};
    }
  }
  return site;
}

/// The kind at a position from 0 to 1 of the cumulated weights.
auto pick_kind(const site_shape& shape, double position) -> const job_kind& {
  for (const auto& kind : shape.kinds) {
    position -= kind.weight;
    if (position <= 0) return kind;
  }
  return shape.kinds.front();
}

/// Scales the arrival times so that the jobs offer a load of exactly this many
/// accelerators.
void scale_to_load(job_mix& mix, double accelerators) {
  double work = 0;
  for (const auto& a : mix.arrivals) {
    work += a.spec.gang.accelerators *
            static_cast<double>(a.actual_run_time.count());
  }
  auto first = mix.arrivals.front().at;
  auto span = static_cast<double>((mix.arrivals.back().at - first).count());
  auto factor = work / accelerators / span;
  for (auto& a : mix.arrivals) {
    auto offset = static_cast<double>((a.at - first).count()) * factor;
    a.at = first + milliseconds(static_cast<std::int64_t>(offset));
  }
}

}  // namespace

auto make_mix(site_kind kind, double load, std::uint64_t seed, std::size_t jobs)
    -> job_mix {
  auto shape = shape_of(kind);
  job_mix mix{make_workers(shape), make_site(shape), {}};
  double capacity = 0;
  for (const auto& w : mix.workers) capacity += w.accelerators;
  double work = 0;  // mean accelerator seconds of a job
  for (const auto& k : shape.kinds) {
    work += k.weight * k.gang.accelerators * k.median_s *
            std::exp(k.sigma * k.sigma / 2);
  }
  double rate = load * capacity / work;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::normal_distribution<double> normal;
  std::exponential_distribution<double> interarrival_s(rate);
  std::vector<double> bias(shape.customers);
  for (auto& b : bias) b = std::pow(10.0, uniform(random) * 1.6 - 0.8);
  double at_s = 0;
  while (mix.arrivals.size() < jobs) {
    at_s += interarrival_s(random);
    // One arrival in fifty is a burst of small or of large jobs.
    std::size_t count = 1;
    const auto& drawn = pick_kind(shape, uniform(random));
    if (uniform(random) < 0.02) {
      count = drawn.gang.accelerators >= 16 ? 3 : 20;
      at_s += static_cast<double>(count - 1) / rate;
    }
    auto customer = static_cast<std::size_t>(uniform(random) * uniform(random) *
                                             shape.customers);
    for (std::size_t i = 0; i < count && mix.arrivals.size() < jobs; ++i) {
      arrival a;
      a.at = at_ms(1'000'000'000 + static_cast<std::int64_t>(at_s * 1000));
      auto run_time_s = drawn.median_s * std::exp(drawn.sigma * normal(random));
      a.actual_run_time =
          milliseconds(static_cast<std::int64_t>(run_time_s * 1000));
      // Declared run times are off by a factor of up to ten, most of it a
      // constant bias of the customer.
      auto declared_s = run_time_s * bias[customer] *
                        std::pow(10.0, (uniform(random) - 0.5) * 0.4);
      auto& spec = a.spec;
      spec.customer = "customer-" + std::to_string(customer);
      spec.key = std::to_string(mix.arrivals.size());
      spec.gang = drawn.gang;
      auto each = shape.processors / std::max(shape.accelerators, 1u);
      spec.processors = std::max(each * drawn.gang.accelerators / 2, 1u);
      spec.memory_mb = spec.processors * 1000;
      spec.run_time =
          milliseconds(static_cast<std::int64_t>(declared_s * 1000));
      spec.checkpoint = uniform(random) < 0.6;
      if (uniform(random) < 0.03) spec.urgency = job_urgency::urgent;
      mix.arrivals.push_back(std::move(a));
    }
  }
  scale_to_load(mix, load * capacity);
  return mix;
}

auto parse_site(std::string_view name, site_kind& kind) -> bool {
  for (auto k : {site_kind::kaltwasser, site_kind::cista, site_kind::large}) {
    if (name != to_string(k)) continue;
    kind = k;
    return true;
  }
  return false;
}

auto to_string(site_kind kind) -> std::string_view {
  switch (kind) {
    case site_kind::kaltwasser:
      return "kaltwasser";
    case site_kind::cista:
      return "cista";
    case site_kind::large:
      return "large";
  }
  return "unknown";
}

}  // namespace parsleyledge::bench
