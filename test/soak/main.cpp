#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>

#include "adapters/settings.h"
#include "soak_run.h"

using namespace parsleyledge;

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the plan of faults");
ABSL_FLAG(std::string, seeds, "", "A..B: play these seeds one after the other");
ABSL_FLAG(int, rounds, 3, "rounds of faults for each seed, 1 to 1000");
ABSL_FLAG(int, machines, 3, "machines at the start: 3, 5 or 6");
ABSL_FLAG(
    std::string, folder, "",
    "folder for the folders of the runs; in the temporary folder if empty");

namespace {

constexpr std::string_view usage =
    "parsleyledge-soak: plays random faults on control processes of a fleet\n"
    "and checks what clients see. PARSLEYLEDGE_BIN names the folder of the\n"
    "programs. Ends with 0 if all promises were kept, with 1 if one was not.";
constexpr int most_rounds = 1000;

struct seed_range {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

auto parse_seeds() -> seed_range {
  auto text = absl::GetFlag(FLAGS_seeds);
  if (text.empty())
    return {absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_seed)};
  seed_range range;
  auto dots = text.find("..");
  if (dots == std::string::npos ||
      !absl::SimpleAtoi(text.substr(0, dots), &range.first) ||
      !absl::SimpleAtoi(text.substr(dots + 2), &range.last) ||
      range.last < range.first) {
    exit_with_flag_error("seeds", "expected A..B");
  }
  return range;
}

auto is_valid(const soak::plan_arguments& arguments) -> bool {
  bool known_size = arguments.machines == 3 || arguments.machines == 5 ||
                    arguments.machines == 6;
  return known_size && arguments.rounds >= 1 && arguments.rounds <= most_rounds;
}

auto runs_folder() -> std::string {
  auto folder = absl::GetFlag(FLAGS_folder);
  if (!folder.empty()) return folder;
  return (std::filesystem::temp_directory_path() / "parsleyledge-soak")
      .string();
}

/// Plays a plan. Returns whether all promises were kept.
auto play(const soak::plan_arguments& arguments, const std::string& folder)
    -> bool {
  std::filesystem::create_directories(folder);
  std::filesystem::remove(folder + "/first-page.txt");
  auto started = std::chrono::steady_clock::now();
  auto plan = soak::draw_plan(arguments);
  soak::soak_run run(plan, folder);
  auto kept = run.play();
  std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - started;
  std::cout << absl::StrCat("seed ", arguments.seed, " machines ",
                            arguments.machines, ": ", kept ? "kept" : "BROKEN",
                            " in ", static_cast<int>(took.count()), " s, ",
                            run.call_count(), " calls, ", folder)
            << std::endl;
  if (!kept) std::cout << std::ifstream(folder + "/first-page.txt").rdbuf();
  return kept;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto positional = parse_command_line(argc, argv, usage);
  if (!positional.empty()) exit_with_flag_error("seed", "unexpected argument");
  soak::plan_arguments arguments{absl::GetFlag(FLAGS_seed),
                                 absl::GetFlag(FLAGS_rounds),
                                 absl::GetFlag(FLAGS_machines)};
  if (!is_valid(arguments)) {
    exit_with_flag_error("machines",
                         "expected 3, 5 or 6 machines and 1 to 1000 rounds");
  }
  auto seeds = parse_seeds();
  bool all_kept = true;
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    arguments.seed = seed;
    auto folder = absl::StrCat(runs_folder(), "/seed-", seed, "-machines-",
                               arguments.machines);
    all_kept = play(arguments, folder) && all_kept;
  }
  return all_kept ? 0 : 1;
}
