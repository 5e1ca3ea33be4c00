#include "fleet_bench.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "fakes/fleet_site.h"

namespace parsleyledge::bench {

namespace {

/// One kind of job, as described in the operators' site files.
struct job_kind {
  std::string_view queue;
  double per_second = 0;
  double mean_tasks = 1;
  double max_tasks = 1;
  double mean_ms = 1000;
  double spread = 0.5;  // of the logarithm of the duration
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  bool gang = false;
  bool wide = false;  // tasks need 1 to 8 accelerators, otherwise 1
};

struct shape_plan {
  std::string_view name;
  int workers = 0;
  int workers_per_rack = 0;
  fleet::resources capacity;
  std::int64_t guaranteed = 0;  // accelerators of each customer
  std::array<job_kind, 3> kinds;
};

// Figures of the operators' sites: peak arrival rates, sizes, and durations on
// a healthy machine.
constexpr std::array plans = {
    shape_plan{"fridge",
               48,
               8,
               {128'000, 524'288, 8},
               60,
               {{{"q0", 2.9, 3.4, 21, 2500, .5, 15'000, 61'000, true, true},
                 {"q1", .6, 5, 30, 11'000, .3, 52'000, 210'000, true, true},
                 {"q2", .9, 21, 94, 6100, .3, 11'000, 59'000, false, false}}}},
    shape_plan{"batch",
               48,
               8,
               {64'000, 262'144, 8},
               60,
               {{{"q0", 2.9, 3, 18, 2500, .5, 7'500, 31'000, true, true},
                 {"q1", .8, 4, 24, 11'000, .3, 26'000, 140'000, true, true},
                 {"q2", 1.3, 16, 72, 6100, .3, 5'600, 23'000, false, false}}}},
    shape_plan{
        "fridge_grown",
        350,
        12,
        {128'000, 524'288, 8},
        400,
        {{{"q0", 8.2, 5.4, 32, 2500, .5, 15'000, 61'000, true, true},
          {"q1", 1.2, 13, 78, 11'000, .3, 52'000, 210'000, true, true},
          {"q2", 1.9, 50, 230, 6100, .3, 11'000, 59'000, false, false}}}},
    shape_plan{"batch_grown",
               350,
               20,
               {64'000, 262'144, 8},
               400,
               {{{"q0", 12, 4.7, 28, 2500, .5, 7'500, 31'000, true, true},
                 {"q1", 2.6, 10, 60, 11'000, .3, 26'000, 140'000, true, true},
                 {"q2", 4, 39, 180, 6100, .3, 5'600, 23'000, false, false}}}}};

constexpr std::array<std::int64_t, 5> accelerator_sizes = {1, 2, 4, 8, 8};
constexpr double same_rack_share = 0.7;
constexpr double checkpoint_share = 0.45;
constexpr double width_spread = 0.8;

using random_source = std::mt19937_64;

/// Draws from a log-normal distribution of this mean; `spread` is the standard
/// deviation of the logarithm.
auto draw(random_source& random, double mean, double spread) -> double {
  std::lognormal_distribution<double> d(std::log(mean) - spread * spread / 2,
                                        spread);
  return d(random);
}

auto draw_step(random_source& random, const job_kind& kind)
    -> fleet::step_spec {
  std::uniform_real_distribution<double> share(0, 1);
  fleet::step_spec step;
  auto tasks = std::clamp(draw(random, kind.mean_tasks, width_spread), 1.0,
                          kind.max_tasks);
  step.tasks = static_cast<std::uint32_t>(std::lround(tasks));
  auto size = std::uniform_int_distribution<std::size_t>(0, 4)(random);
  step.per_task = {kind.cpu_milli, kind.memory_mb,
                   kind.wide ? accelerator_sizes.at(size) : 1};
  auto ms = std::min(draw(random, kind.mean_ms, kind.spread), 11'000.0);
  step.estimate = milliseconds(static_cast<std::int64_t>(ms));
  step.gang = kind.gang && step.tasks > 1;
  step.same_rack = step.gang && share(random) < same_rack_share;
  step.checkpoints = share(random) < checkpoint_share;
  return step;
}

void print_times(std::string_view name, std::span<double> times) {
  if (times.empty()) return;
  std::ranges::sort(times);
  auto at = [&](double share) {
    return times[static_cast<std::size_t>(share * (times.size() - 1.0))];
  };
  double sum = 0;
  for (auto t : times) sum += t;
  std::printf("%-10.*s %8zu %9.1f %9.1f %9.1f %10.1f\n",
              static_cast<int>(name.size()), name.data(), times.size(), at(0.5),
              at(0.99), times.back(), sum / 1000);
}

void run_seed(const shape_plan& plan, const fleet_bench_settings& settings,
              std::uint64_t seed) {
  random_source random(seed);
  fakes::fleet_site site(plan.workers, plan.workers_per_rack, plan.capacity);
  site.configure(plan.guaranteed, plan.guaranteed);
  site.task_duration = milliseconds(0);
  site.records_history = false;
  constexpr milliseconds step_time{10};
  std::array<std::vector<fleet::job_id>, 3> jobs;
  auto ticks = settings.seconds * 1000 / step_time.count();
  for (std::int64_t t = 0; t < ticks; ++t) {
    for (std::size_t k = 0; k < plan.kinds.size(); ++k) {
      const auto& kind = plan.kinds.at(k);
      std::poisson_distribution<int> arrivals(
          kind.per_second * settings.load *
          static_cast<double>(step_time.count()) / 1000);
      for (int n = arrivals(random); n > 0; --n) {
        jobs.at(k).push_back(site.submit(std::string(kind.queue),
                                         draw_step(random, kind),
                                         random() % 2 == 0 ? "a" : "b"));
      }
    }
    site.run_for(step_time);
  }
  std::printf("%.*s, seed %llu\n", static_cast<int>(plan.name.size()),
              plan.name.data(), static_cast<unsigned long long>(seed));
  std::printf("%-10s %8s %9s %9s %9s %10s\n", "decision", "count", "p50 us",
              "p99 us", "most us", "all ms");
  print_times("answer", site.times.responses);
  print_times("change", site.times.changes);
  print_times("tick", site.times.ticks);
  for (std::size_t k = 0; k < jobs.size(); ++k) {
    std::size_t complete = 0;
    double stretch = 0;
    for (auto id : jobs.at(k)) {
      const auto& job = site.job(id);
      if (job.state != fleet::job_state::complete) continue;
      ++complete;
      stretch += static_cast<double>((job.ended_at - job.accepted_at).count()) /
                 static_cast<double>(job.spec.steps[0].estimate.count());
    }
    std::printf("q%zu: %zu of %zu complete, mean stretch %.2f\n", k, complete,
                jobs.at(k).size(),
                complete == 0 ? 0 : stretch / static_cast<double>(complete));
  }
}

}  // namespace

void run_fleet_bench(const fleet_bench_settings& settings) {
  const auto& plan = plans.at(static_cast<std::size_t>(settings.shape));
  for (std::size_t s = 0; s < settings.seeds; ++s) {
    run_seed(plan, settings, settings.first_seed + s);
  }
}

auto parse_fleet_shape(std::string_view name, fleet_shape& shape) -> bool {
  for (std::size_t i = 0; i < plans.size(); ++i) {
    if (plans.at(i).name != name) continue;
    shape = static_cast<fleet_shape>(i);
    return true;
  }
  return false;
}

}  // namespace parsleyledge::bench
