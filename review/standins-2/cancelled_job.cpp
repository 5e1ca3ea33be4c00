// A job is cancelled while a runner of it is cut off, and the control process
// that leads is killed during the cut. Afterwards no work unit of the job may
// run.

#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "deployment.h"

using namespace review;

namespace {

constexpr int units = 4;
constexpr milliseconds unit_length{30'000};
constexpr milliseconds cut_length{4000};     // sites: 6 s at most
constexpr milliseconds restart_delay{1000};  // of the killed process
// contactMs, then cancel_ms and stopMs, without a disturbance.
constexpr milliseconds calm_before_check{3000 + 3000 + 200};

auto run(const std::string& programs, event_record& record, bool trouble)
    -> int {
  deployment site(programs, record);
  site.start();
  site.add_runners(6, "a", [](const std::string&) { return unit_length; });
  pause_for(milliseconds(2000));
  std::string job = "00000000000000a1";
  site.consumer_call("POST", job,
                     R"({"spec":"scan","steps":[{"count":4,"cpu":5600,)"
                     R"("memMb":1024,"gpu":1,"estMs":20000,)"
                     R"("maxPerServer":1}]})");
  auto count = [&] {
    int all = 0;
    for (int i = 0; i < units; ++i)
      all += site.count_running(job + ".0.0." + std::to_string(i));
    return all;
  };
  if (!eventually([&] { return count() == units; }, milliseconds(10'000)))
    throw std::runtime_error("the job does not start");
  pause_for(milliseconds(1000));
  runner* cut = nullptr;
  for (auto& one : site.runners()) {
    if (cut == nullptr && !one->running().empty()) cut = one.get();
  }
  if (trouble) cut->set_cut(true);
  auto cancelled = site.consumer_call("DELETE", job, "");
  if (cancelled.status != 200) throw std::runtime_error("not cancelled");
  pause_for(milliseconds(500));
  int leader = trouble ? site.leader() : 0;
  if (trouble && leader == 0) throw std::runtime_error("no leader");
  if (trouble) site.kill_control(leader, SIGKILL);
  pause_for(restart_delay);
  if (trouble) site.start_control(leader, false);
  pause_for(cut_length - milliseconds(500) - restart_delay);
  if (trouble) cut->set_cut(false);
  pause_for(calm_before_check);
  auto left = count();
  record.add("work units of the cancelled job that run: " +
             std::to_string(left));
  return left > 0 ? 1 : 0;
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
