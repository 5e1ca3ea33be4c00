// A wave of two machines, one at a time. The platform answers slowly, and the
// control process that leads is restarted while its call for the first machine
// has no answer yet. The second machine may not go down meanwhile.

#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "platform.h"

using namespace review;

namespace {

constexpr milliseconds usual_answer{20};
constexpr milliseconds slow_answer{50 * 20};  // cloud_slow: 50 times as long
constexpr milliseconds signal_after{200};     // the call
constexpr milliseconds observed{25'000};

auto run(const std::string& programs, event_record& record, bool trouble)
    -> int {
  deployment site(programs, record);
  site.start();
  auto length = [](const std::string& task) -> std::optional<milliseconds> {
    return milliseconds(task.starts_with("00000000000000c1") ? 4000 : 6000);
  };
  site.add_runners(1, "a", length);
  site.add_runners(1, "b", length);
  site.add_runners(2, "c", length);
  platform machines(site, record);
  machines.set_answer_delay(trouble ? slow_answer : usual_answer);
  machines.add_wave(1, {"m-1", "m-2"});
  pause_for(milliseconds(2000));
  auto body = [](int count, const char* kind) {
    return R"({"spec":"scan","steps":[{"count":)" + std::to_string(count) +
           R"(,"cpu":5600,"memMb":1024,"gpu":1,"estMs":5000,"requires":")" +
           kind + R"("}]})";
  };
  site.consumer_call("POST", "00000000000000c1", body(2, "a"));
  site.consumer_call("POST", "00000000000000c2", body(1, "b"));
  bool runs = eventually(
      [&] {
        return site.runners()[0]->running().size() == 2 &&
               site.runners()[1]->running().size() == 1;
      },
      milliseconds(10'000));
  if (!runs) throw std::runtime_error("the jobs do not start");
  site.operator_call("POST", "/api/wave-start",
                     R"({"wave":1,"machines":["m-1","m-2"],"durationS":22,)"
                     R"("maxCount":1})");
  bool begun =
      eventually([&] { return machines.begun() > 0; }, milliseconds(15'000));
  if (!begun) throw std::runtime_error("no upkeep begins");
  pause_for(signal_after);
  int leader = site.leader();
  if (leader == 0) throw std::runtime_error("no leader");
  if (trouble) {
    site.kill_control(leader, SIGTERM);
    site.wait_for_exit(leader);
    site.start_control(leader, false);
  }
  eventually([&] { return machines.begun() == 2; }, observed);
  pause_for(milliseconds(2500));
  site.operator_call("GET", "/api/wave-get/1", "");
  bool broken = machines.most_down() > 1;
  record.add(broken ? "the rule was broken" : "the rule held");
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
