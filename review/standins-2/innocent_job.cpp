// Twice a runner is cut off, crashes behind the cut and starts again. Both
// times it has just begun the only work unit of one job. The job isn't the
// cause, and no run of it ends `failed`, so it may not be shown as `failed`.

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "deployment.h"

using namespace review;

namespace {

constexpr milliseconds unit_length{6000};
constexpr milliseconds crash_after{700};    // the start of the work unit
constexpr milliseconds reborn_after{2000};  // reuseAfterS
constexpr milliseconds cut_length{3000};    // sites: 6 s at most
constexpr milliseconds end_limit{40'000};

auto run(const std::string& programs, event_record& record, bool trouble)
    -> int {
  deployment site(programs, record);
  site.start();
  site.add_runners(6, "a", [](const std::string&) { return unit_length; });
  pause_for(milliseconds(2000));
  std::string job = "00000000000000d1";
  std::string unit = job + ".0.0.0";
  site.consumer_call("POST", job,
                     R"({"spec":"scan","steps":[{"count":1,"cpu":5600,)"
                     R"("memMb":1024,"gpu":1,"estMs":6000}]})");
  for (int crash = 0; crash < 2; ++crash) {
    runner* host = nullptr;
    bool runs = eventually(
        [&] {
          for (auto& one : site.runners()) {
            if (one->is_at_work(unit)) host = one.get();
          }
          return host != nullptr;
        },
        milliseconds(15'000));
    if (!runs) throw std::runtime_error("the work unit does not start");
    if (!trouble) break;
    pause_for(crash_after);
    host->set_cut(true);
    host->crash();
    pause_for(reborn_after);
    host->start();
    pause_for(cut_length - reborn_after);
    host->set_cut(false);
  }
  std::string state;
  bool ended = eventually(
      [&] {
        pause_for(milliseconds(500));
        state = site.consumer_call("GET", job, "").body;
        return state.find("complete") != std::string::npos ||
               state.find("failed") != std::string::npos;
      },
      end_limit);
  if (!ended) throw std::runtime_error("the job does not end");
  bool broken = state.find("failed") != std::string::npos;
  record.add(broken ? "shown as failed, though no run has ended as failed"
                    : "the rule held");
  return broken ? 1 : 0;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3) return 2;
  event_record record(argv[2]);
  const auto* trouble = std::getenv("TROUBLE");
  try {
    return run(argv[1], record,
               trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    record.add(std::string("the case could not run: ") + error.what());
    std::cerr << error.what() << "\n";
    return 2;
  }
}
