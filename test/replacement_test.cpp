#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <string>

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
constexpr milliseconds down_time{1600};  // of a machine that loses its disk
// The platform's recovery time, for a group that has lost no more than it
// tolerates.
constexpr seconds recovery{12};
constexpr std::string_view config =
    R"({"version":7,"routes":[],"services":[],"tenants":[]})";

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

/// Starts machines 1 to 3 and stores a configuration, then starts the machine
/// that replaces one of them and waits until it has caught up.
void start_with_successor(process_site& site) {
  for (int i = 1; i <= 3; ++i) site.start_fleet_control(i, true);
  CPPUNIT_ASSERT(eventually([&] {
    http_request put{"PUT", "/api/config", {}, std::string(config)};
    return site.call_fleet_control(1, std::move(put)).status == 200;
  }));
  site.start_fleet_control(successor, false);
  pause_for(catch_up);
  CPPUNIT_ASSERT(eventually([&] { return votes(site, successor); }));
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
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the loss of the state: a replaced machine left, and its
  // replica stayed a voter, so that a lost disk left no quorum.
  void a_follower_that_is_replaced_stops_being_a_voter_as_it_leaves() {
    process_site site(23000);
    start_with_successor(site);
    auto leaves = leader(site) % 3 + 1;
    site.signal(name_of(leaves), SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, site.wait(name_of(leaves)));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }

  // Guards against the same loss where the machine that leaves has to hand the
  // leadership over first.
  void a_leader_that_is_replaced_stops_being_a_voter_as_it_leaves() {
    process_site site(23100);
    start_with_successor(site);
    auto leaves = leader(site);
    site.signal(name_of(leaves), SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, site.wait(name_of(leaves)));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }

  // Guards against the same loss where the replaced machine ends without notice
  // more than ten seconds after its successor was admitted.
  void a_replaced_machine_that_is_lost_late_stops_being_a_voter() {
    process_site site(23200);
    start_with_successor(site);
    pause_for(seconds(8));
    auto leaves = leader(site) % 3 + 1;
    site.kill(name_of(leaves));
    pause_for(seconds(5));
    check_a_lost_disk_is_tolerated(site, leaves % 3 + 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replacement_test);
