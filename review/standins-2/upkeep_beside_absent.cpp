// A job has two work units that last, of which one may be away. The runner of
// one is cut off and crashes behind the cut. Five seconds later the operator
// starts a wave with the machine of the other. That one may not be ended while
// the first isn't back at work.

#include <cstdlib>
#include <iostream>

#include "platform.h"

using namespace review;

namespace {

constexpr milliseconds notice{4500};         // noticeMs
constexpr milliseconds cut_length{6000};     // sites: 6 s at most
constexpr milliseconds restart_after{2000};  // reuseAfterS
constexpr milliseconds wave_after{5000};
constexpr milliseconds observed{20'000};

auto run(const std::string& programs, event_record& record, bool trouble)
    -> int {
  deployment site(programs, record);
  site.start();
  site.add_runners(
      5, "a", [](const std::string&) { return std::optional<milliseconds>(); });
  platform machines(site, record);
  pause_for(milliseconds(2000));
  std::string job = "00000000000000b1";
  site.consumer_call("POST", job,
                     R"({"spec":"serve","steps":[{"count":2,"cpu":5600,)"
                     R"("memMb":1024,"gpu":1,"estMs":1000,"daemon":true,)"
                     R"("mayMiss":1,"maxPerServer":1}]})");
  std::string first = job + ".0.0.0";
  std::string second = job + ".0.0.1";
  auto host_of = [&](const std::string& task) -> runner* {
    for (auto& one : site.runners()) {
      if (one->is_at_work(task)) return one.get();
    }
    return nullptr;
  };
  bool works = eventually(
      [&] { return host_of(first) != nullptr && host_of(second) != nullptr; },
      milliseconds(10'000));
  if (!works) throw std::runtime_error("the job is not at work");
  pause_for(milliseconds(2000));
  auto* lost = host_of(first);
  auto* kept = host_of(second);
  using clock = std::chrono::steady_clock;
  auto start = clock::now();
  auto first_at_work = start;
  bool was_stopped = false;
  bool wave_sent = false;
  bool restarted = false;
  bool healed = false;
  bool broken = false;
  if (trouble) {
    lost->set_cut(true);
    lost->crash();
  }
  std::thread wave;
  while (clock::now() - start < observed) {
    auto since = clock::now() - start;
    if (!restarted && since >= restart_after) {
      restarted = true;
      if (trouble) lost->start();
    }
    if (!wave_sent && since >= wave_after) {
      wave_sent = true;
      machines.add_wave(1, {kept->machine()});
      wave = std::thread([&] {
        site.operator_call("POST", "/api/wave-start",
                           R"({"wave":1,"machines":[")" + kept->machine() +
                               R"("],"durationS":20,"maxCount":1})");
      });
    }
    if (!healed && since >= cut_length) {
      healed = true;
      if (trouble) lost->set_cut(false);
    }
    if (host_of(first) != nullptr) first_at_work = clock::now();
    // The unit may run elsewhere within a millisecond, so its runner tells.
    auto stopped = kept->stopped_at(second);
    if (stopped && !was_stopped) {
      was_stopped = true;
      auto away =
          std::chrono::duration_cast<milliseconds>(*stopped - first_at_work);
      record.add(second + " was ended; the other one has been away for " +
                 std::to_string(away.count()) + " ms");
      broken = away >= notice;
    }
    pause_for(milliseconds(5));
  }
  wave.join();
  auto state = site.operator_call("GET", "/api/wave-get/1", "");
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
