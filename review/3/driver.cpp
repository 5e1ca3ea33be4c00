// The machine that leads turns slow for five seconds, three times, with a
// pause in between. Afterwards all machines are well, and the system has to
// serve.

#include "../common/site.h"

using namespace review;

namespace {

/// Runs the machine's processes one fifth of the time.
void slow_down(machine& one, milliseconds length) {
  auto until = steady_now() + length;
  while (steady_now() < until) {
    one.control->signal(SIGSTOP);
    one.entry->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(320));
    one.control->signal(SIGCONT);
    one.entry->signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(80));
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  return run_case(argc, argv, [](site& s) {
    s.start();
    s.put_config(make_config(1, {make_route("r-a", "/a/")}));
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 1; i <= 3; ++i)
      workers.push_back(std::make_unique<worker>(s.options_of(i), s.log));
    json::object job{
        {"spec", "work"},
        {"steps",
         {{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"estMs", 1000}}}}};
    s.submit("/a/00000000000000e1", job);
    for (int round = 1; has_trouble() && round <= 3; ++round) {
      auto leader = s.leader();
      s.log.line(s.machines[leader].name + " leads and is slowed for 5 s");
      slow_down(s.machines[leader], std::chrono::seconds(5));
      s.log.line(s.machines[leader].name + " is well again");
      // Longer than a machine that was lost takes to catch up, 4 s.
      std::this_thread::sleep_for(std::chrono::seconds(6));
    }
    // The pages allow 12 s (recoveryS) once the machines are back.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    auto is_known = [&] { return !s.state("/a/00000000000000e1").empty(); };
    auto has_config = [&] {
      for (const auto& address : s.control_addresses()) {
        auto reply =
            http_call(address, "GET", "/api/config", "", milliseconds(1000));
        s.log.line("operator: GET /api/config at " + address + " -> " +
                   (reply ? std::to_string(reply->status) : "no answer"));
        if (reply && reply->status == 200) return true;
      }
      return false;
    };
    bool known = s.wait_until(std::chrono::seconds(20), is_known);
    bool configured = s.wait_until(std::chrono::seconds(5), has_config);
    if (!known) s.log.line("an accepted job has no answer");
    if (!configured) s.log.line("the acknowledged configuration does not come");
    for (auto& one : s.machines) {
      bool up = one.control->own_end().empty() && one.entry->own_end().empty();
      s.log.line(one.name + (up ? ": both processes run" : ": has ended"));
    }
    return !known || !configured;
  });
}
