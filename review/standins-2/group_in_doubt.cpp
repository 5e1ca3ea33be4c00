// Six machines serve control, two in each of three zones; two may be lost. In
// two zones a machine is to be replaced: its successor runs for longer than
// catchupS, and the replaced machines run on. Then one of the replaced machines
// is removed for good, and two machines that count lose their disks. What was
// acknowledged must be there within recoveryS.

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "deployment.h"

using namespace review;

namespace {

constexpr milliseconds down{1600};        // of the machines that lose disks
constexpr milliseconds recovery{15'000};  // recoveryS
constexpr milliseconds watched{10'000};   // beyond that

auto run(const std::string& programs, event_record& record, bool trouble)
    -> int {
  // Machines 1 to 6, in zones 1, 2, 3, 1, 2, 3; 7 and 8 come to zones 1 and 2.
  deployment site(programs, record, {3, 6, 2, 6});
  site.start();
  pause_for(milliseconds(3000));
  int leader = site.leader();
  if (leader == 0) throw std::runtime_error("no leader");
  // The machine that is to be replaced leads, so that the zone of the leader
  // is one of the two. The other one is in the next zone.
  int removed = leader;
  int zone = (leader - 1) % 3;
  int other_zone = (zone + 1) % 3;
  auto successor_in = [](int wanted, int first) {
    while ((first - 1) % 3 != wanted) ++first;
    return first;
  };
  int first = successor_in(zone, 7);
  int second = successor_in(other_zone, 7);
  record.add("to be replaced: control-" + std::to_string(removed) +
             ", and later one in zone-" + std::to_string(other_zone + 1));
  site.start_control(first, false);
  site.start_control(second, false);
  std::vector<int> all{1, 2, 3, 4, 5, 6, first, second};
  site.set_control_list(all);
  // catchupS is 6 s.
  pause_for(milliseconds(15'000));
  for (int i : {first, second}) {
    if (site.state_of(i).empty()) throw std::runtime_error("no successor");
  }
  record.add("state before: " + site.state_of(site.leader()));
  site.operator_call("PUT", "/api/config",
                     R"({"version":2,"routes":[],"services":[],"tenants":[]})");
  if (trouble) {
    // Those of the third zone, which has no replacement.
    int third_zone = (zone + 2) % 3;
    std::vector<int> lost{third_zone + 1, third_zone + 4};
    site.kill_control(removed, SIGKILL);
    for (int i : lost) site.kill_control(i, SIGKILL);
    for (int i : lost) site.erase_disk(i);
    pause_for(down);
    for (int i : lost) site.start_control(i, false);
    std::erase(all, removed);
    site.set_control_list(all);
  }
  bool recovered = eventually(
      [&] {
        auto read = site.operator_call("GET", "/api/config", "");
        return read.status == 200 &&
               read.body.find("\"version\":2") != std::string::npos;
      },
      recovery + watched);
  if (!recovered) {
    for (int i : all) record.add("state after: " + site.state_of(i));
  }
  record.add(recovered ? "the config was read" : "the config is gone");
  return recovered ? 0 : 1;
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
