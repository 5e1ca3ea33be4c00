#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "fakes/process_site.h"

using namespace parsleyledge;
using fakes::eventually;
using fakes::pause_for;
using fakes::process_site;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int successor = 4;
// The platform's catch-up time: a machine that is removed no longer counts as
// lost once its successor has run for as long.
constexpr seconds catch_up{4};
constexpr milliseconds after_catch_up{6000};
constexpr milliseconds down_time{1600};  // of a machine that loses its disk
// The platform's recovery time, for a group that has lost no more than it
// tolerates.
constexpr seconds recovery{12};
constexpr std::string_view config =
    R"({"version":7,"routes":[],"services":[],"tenants":[]})";
constexpr std::string_view next_config =
    R"({"version":8,"routes":[],"services":[],"tenants":[]})";

auto name_of(int number) -> std::string {
  return "fleet-control-" + std::to_string(number);
}

auto reads_config(process_site& site, int number) -> bool {
  auto response =
      site.call_fleet_control(number, {"GET", "/api/config", {}, {}});
  return response.status == 200 && response.body == config;
}

auto votes(process_site& site, int number) -> bool {
  auto role = site.fleet_role(number);
  return role == "follower" || role == "leader";
}

auto leader(process_site& site) -> int {
  for (int i = 1; i <= 3; ++i) {
    if (site.fleet_role(i) == "leader") return i;
  }
  CPPUNIT_FAIL("no leader");
  return 0;
}

/// Another of the first three machines.
auto follower(process_site& site) -> int {
  return leader(site) % 3 + 1;
}

/// Starts machines 1 to 3 and stores a configuration.
void start_group(process_site& site) {
  for (int i = 1; i <= 3; ++i) site.start_fleet_control(i, true);
  CPPUNIT_ASSERT(eventually([&] {
    http_request put{"PUT", "/api/config", {}, std::string(config)};
    return site.call_fleet_control(1, std::move(put)).status == 200;
  }));
}

/// Starts the machine that replaces another one, in the same data centre.
void start_successor(process_site& site, int replaced) {
  site.set_fleet_data_centre(successor, replaced);
  site.start_fleet_control(successor, false);
}

void start_and_await_successor(process_site& site, int replaced) {
  start_successor(site, replaced);
  pause_for(catch_up);
  CPPUNIT_ASSERT(eventually([&] { return votes(site, successor); }));
}

/// Machines that are lost at the same moment. All but one return.
struct losses {
  int gone = 0;  // permanently
  int lost_disk = 0;
  bool others_lose_power = false;
};

void lose(process_site& site, const losses& lost) {
  std::vector<int> down;
  for (int i = 1; i <= successor; ++i) {
    if (i == lost.gone || i == lost.lost_disk || lost.others_lose_power)
      down.push_back(i);
  }
  for (auto i : down) site.signal(name_of(i), SIGKILL);
  for (auto i : down) site.wait(name_of(i));
  site.erase_fleet_data(lost.lost_disk);
  pause_for(down_time);
  for (auto i : down) {
    if (i != lost.gone) site.start_fleet_control(i, false);
  }
}

/// Checks that what was confirmed is there and that the group serves: each
/// machine but one reads the configuration.
void check_nothing_is_lost(process_site& site, int gone) {
  for (int i = 1; i <= successor; ++i) {
    if (i == gone) continue;
    CPPUNIT_ASSERT_MESSAGE(
        "the configuration is lost",
        eventually([&] { return reads_config(site, i); }, recovery));
  }
  http_request put{"PUT", "/api/config", {}, std::string(next_config)};
  CPPUNIT_ASSERT_EQUAL(
      200, site.call_fleet_control(gone % 3 + 1, std::move(put)).status);
}

/// Kills a machine that returns with an empty disk. The group tolerates it.
void check_a_lost_disk_is_tolerated(process_site& site, int lost) {
  site.kill(name_of(lost));
  site.erase_fleet_data(lost);
  pause_for(down_time);
  site.start_fleet_control(lost, false);
  CPPUNIT_ASSERT_MESSAGE(
      "the configuration is lost",
      eventually([&] { return reads_config(site, successor); }, recovery));
  CPPUNIT_ASSERT_MESSAGE(
      "the machine that lost its disk does not vote again",
      eventually([&] { return votes(site, lost); }, recovery));
  CPPUNIT_ASSERT_MESSAGE("not three voters", eventually([&] {
                           return site.fleet_metric(successor,
                                                    "group_voters") == 3;
                         }));
  CPPUNIT_ASSERT_EQUAL(3L, site.fleet_metric(successor, "group_size"));
}

}  // namespace

/// Replacement of a machine of the fleet's control group, with the programs as
/// processes.
class replacement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replacement_test);
  CPPUNIT_TEST(a_follower_that_is_replaced_stops_being_a_voter_as_it_leaves);
  CPPUNIT_TEST(a_leader_that_is_replaced_stops_being_a_voter_as_it_leaves);
  CPPUNIT_TEST(a_replaced_machine_that_is_lost_late_stops_being_a_voter);
  CPPUNIT_TEST(a_replaced_follower_that_is_lost_with_a_disk_does_not_count);
  CPPUNIT_TEST(a_replaced_leader_that_is_lost_with_a_disk_does_not_count);
  CPPUNIT_TEST(a_replaced_machine_that_is_lost_at_its_end_does_not_count);
  CPPUNIT_TEST(a_replaced_machine_that_stays_does_not_count);
  CPPUNIT_TEST(a_successor_that_is_lost_at_once_does_not_count);
  CPPUNIT_TEST(a_successor_that_is_lost_while_it_catches_up_does_not_count);
  CPPUNIT_TEST(a_disk_may_be_lost_as_the_successor_of_a_lost_follower_counts);
  CPPUNIT_TEST(a_disk_may_be_lost_as_the_successor_of_a_lost_leader_counts);
  CPPUNIT_TEST(a_disk_may_be_lost_as_the_successor_of_a_stopped_machine_counts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the loss of the state: a replaced machine left, and its
  // replica stayed a voter, so that a lost disk left no quorum.
  void a_follower_that_is_replaced_stops_being_a_voter_as_it_leaves() {
    process_site site(23000);
    start_group(site);
    auto leaves = follower(site);
    start_and_await_successor(site, leaves);
    site.signal(name_of(leaves), SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, site.wait(name_of(leaves)));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }

  // Guards against the same loss where the machine that leaves has to hand the
  // leadership over first.
  void a_leader_that_is_replaced_stops_being_a_voter_as_it_leaves() {
    process_site site(23100);
    start_group(site);
    auto leaves = leader(site);
    start_and_await_successor(site, leaves);
    site.signal(name_of(leaves), SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, site.wait(name_of(leaves)));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }

  // Guards against the same loss where the replaced machine ends without notice
  // more than ten seconds after its successor was admitted.
  void a_replaced_machine_that_is_lost_late_stops_being_a_voter() {
    process_site site(23200);
    start_group(site);
    auto leaves = follower(site);
    start_and_await_successor(site, leaves);
    pause_for(seconds(8));
    site.kill(name_of(leaves));
    pause_for(seconds(5));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }

  // Guards against the loss of the state: a replaced machine and another disk
  // were lost at the same moment, and the quorum needed the vote of the first.
  void a_replaced_follower_that_is_lost_with_a_disk_does_not_count() {
    process_site site(23300);
    start_group(site);
    auto gone = follower(site);
    start_successor(site, gone);
    pause_for(after_catch_up);
    lose(site, {gone, gone % 3 + 1, false});
    check_nothing_is_lost(site, gone);
  }

  // Guards against the same loss where the leader was replaced and all others
  // lose power.
  void a_replaced_leader_that_is_lost_with_a_disk_does_not_count() {
    process_site site(23400);
    start_group(site);
    auto gone = leader(site);
    start_successor(site, gone);
    pause_for(after_catch_up);
    lose(site, {gone, gone % 3 + 1, true});
    check_nothing_is_lost(site, gone);
  }

  // Guards against the same loss where the replaced machine is asked to end at
  // the moment of the losses.
  void a_replaced_machine_that_is_lost_at_its_end_does_not_count() {
    process_site site(23500);
    start_group(site);
    auto gone = leader(site);
    start_successor(site, gone);
    pause_for(after_catch_up);
    site.signal(name_of(gone), SIGTERM);
    lose(site, {gone, gone % 3 + 1, true});
    check_nothing_is_lost(site, gone);
  }

  // Guards against a replaced machine that gets its vote back, since it returns
  // with its disk.
  void a_replaced_machine_that_stays_does_not_count() {
    process_site site(23600);
    start_group(site);
    auto replaced = follower(site);
    start_successor(site, replaced);
    pause_for(after_catch_up);
    lose(site, {0, replaced % 3 + 1, true});
    CPPUNIT_ASSERT(
        eventually([&] { return reads_config(site, successor); }, recovery));
    pause_for(after_catch_up);
    lose(site, {replaced, (replaced + 1) % 3 + 1, true});
    check_nothing_is_lost(site, replaced);
  }

  // Guards against the loss of the state: the quorum needed the vote of a
  // successor that had just started.
  void a_successor_that_is_lost_at_once_does_not_count() {
    process_site site(23700);
    start_group(site);
    auto replaced = leader(site);
    start_successor(site, replaced);
    pause_for(milliseconds(1500));
    lose(site, {successor, replaced % 3 + 1, true});
    check_nothing_is_lost(site, successor);
  }

  // Guards against the same loss later on and without a loss of power.
  void a_successor_that_is_lost_while_it_catches_up_does_not_count() {
    process_site site(23800);
    start_group(site);
    auto replaced = follower(site);
    start_successor(site, replaced);
    pause_for(seconds(3));
    lose(site, {successor, replaced % 3 + 1, false});
    check_nothing_is_lost(site, successor);
  }

  // Guards against the loss of the state: the exchange of a lost machine for
  // its successor began with the catch-up time at its end. A disk that was lost
  // at that moment left it without a quorum.
  void a_disk_may_be_lost_as_the_successor_of_a_lost_follower_counts() {
    process_site site(23900);
    start_group(site);
    lose_a_disk_as_the_successor_counts(site, follower(site));
  }

  // Guards against the same loss where the lost machine was the leader.
  void a_disk_may_be_lost_as_the_successor_of_a_lost_leader_counts() {
    process_site site(24000);
    start_group(site);
    lose_a_disk_as_the_successor_counts(site, leader(site));
  }

  // Guards against the same loss where the replaced machine was asked to end
  // before its successor counted.
  void a_disk_may_be_lost_as_the_successor_of_a_stopped_machine_counts() {
    process_site site(24100);
    start_group(site);
    auto gone = leader(site);
    start_successor(site, gone);
    pause_for(milliseconds(1000));
    site.signal(name_of(gone), SIGTERM);
    pause_for(catch_up - milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(0, site.wait(name_of(gone)));
    lose(site, {0, gone % 3 + 1, false});
    check_nothing_is_lost(site, gone);
  }

 private:
  static void lose_a_disk_as_the_successor_counts(process_site& site,
                                                  int gone) {
    site.kill(name_of(gone));
    pause_for(seconds(1));
    start_successor(site, gone);
    pause_for(catch_up);
    lose(site, {0, gone % 3 + 1, false});
    check_nothing_is_lost(site, gone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replacement_test);
