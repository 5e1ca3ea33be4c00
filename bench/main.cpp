#include <absl/flags/flag.h>

#include <iostream>

#include "adapters/operator_client.h"
#include "adapters/settings.h"
#include "fleet_bench.h"
#include "job_bench.h"
#include "state_bench.h"

using namespace parsleyledge;

ABSL_FLAG(std::string, site, "kaltwasser", "jobs: kaltwasser, cista or large");
ABSL_FLAG(double, load, 0.9, "jobs: offered load of the accelerators");
ABSL_FLAG(int, jobs, 4000, "jobs: number of arrivals");
ABSL_FLAG(int, seed, 1, "first seed");
ABSL_FLAG(int, seeds, 5, "number of seeds");
ABSL_FLAG(int, threads, 5, "number of concurrent replays");
ABSL_FLAG(std::string, policy, "", "jobs: run only this policy");
ABSL_FLAG(std::string, shape, "batch_grown",
          "fleet: fridge, batch, fridge_grown or batch_grown");
ABSL_FLAG(int, seconds, 30, "fleet: simulated time");
ABSL_FLAG(std::string, folder, "/tmp", "state: folder on the disk to measure");
ABSL_FLAG(int, records, 1000000, "state: maximum number of records to recover");
ABSL_FLAG(bool, json, false, "print JSON lines instead of a table");

namespace {

constexpr std::string_view usage =
    "parsleyledge-bench jobs: replays seeded arrivals with the decision code\n"
    "parsleyledge-bench fleet: times the dispatcher on simulated workers\n"
    "parsleyledge-bench state: measures the journal and its recovery";

void run_jobs() {
  bench::job_bench_settings settings;
  if (!bench::parse_site(absl::GetFlag(FLAGS_site), settings.site)) {
    exit_with_flag_error("site", "expected kaltwasser, cista or large");
  }
  settings.load = absl::GetFlag(FLAGS_load);
  settings.jobs = static_cast<std::size_t>(absl::GetFlag(FLAGS_jobs));
  settings.first_seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
  settings.seeds = static_cast<std::size_t>(absl::GetFlag(FLAGS_seeds));
  settings.threads = static_cast<std::size_t>(absl::GetFlag(FLAGS_threads));
  settings.only = absl::GetFlag(FLAGS_policy);
  settings.json = absl::GetFlag(FLAGS_json);
  bench::run_job_bench(settings);
}

void run_fleet() {
  bench::fleet_bench_settings settings;
  if (!bench::parse_fleet_shape(absl::GetFlag(FLAGS_shape), settings.shape)) {
    exit_with_flag_error("shape",
                         "expected fridge, batch, fridge_grown or batch_grown");
  }
  settings.load = absl::GetFlag(FLAGS_load);
  settings.first_seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
  settings.seeds = static_cast<std::size_t>(absl::GetFlag(FLAGS_seeds));
  settings.seconds = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_seconds));
  bench::run_fleet_bench(settings);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto arguments = parse_command_line(argc, argv, usage);
  if (arguments.size() == 1 && arguments[0] == "jobs") {
    run_jobs();
    return 0;
  }
  if (arguments.size() == 1 && arguments[0] == "fleet") {
    run_fleet();
    return 0;
  }
  if (arguments.size() == 1 && arguments[0] == "state") {
    bench::run_state_bench(
        absl::GetFlag(FLAGS_folder),
        static_cast<std::size_t>(absl::GetFlag(FLAGS_records)));
    return 0;
  }
  exit_with_message(exit_code::bad_usage, usage);
}
