#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>
#include <csignal>
#include <string>

#include "fakes/process_site.h"

using namespace parsleyledge;
using fakes::eventually;
using fakes::process_site;
using std::chrono::seconds;

namespace {

// The platform's recovery time.
constexpr seconds recovery{12};

auto name_of(int number) -> std::string {
  return "fleet-control-" + std::to_string(number);
}

auto order(process_site& site, int number, std::string_view method,
           std::string_view data_centre) -> int {
  http_request request{
      std::string(method), "/api/evacuate/" + std::string(data_centre), {}, {}};
  return site.call_fleet_control(number, std::move(request)).status;
}

/// The data centres that a control process lists; "?" if it lists none.
auto evacuations(process_site& site, int number) -> std::string {
  auto response = site.call_fleet_metrics(number, "/v1/evacuations");
  if (response.status != 200) return "?";
  std::string names;
  auto rows = boost::json::parse(response.body).at("evacuations").as_array();
  for (const auto& row : rows) names += row.at("data_centre").as_string();
  return names;
}

void start_group(process_site& site) {
  for (int i = 1; i <= 3; ++i) site.start_fleet_control(i, true);
  CPPUNIT_ASSERT(
      eventually([&] { return order(site, 1, "DELETE", "dc1") == 200; }));
}

auto leader(process_site& site) -> int {
  for (int i = 1; i <= 3; ++i) {
    if (site.fleet_role(i) == "leader") return i;
  }
  CPPUNIT_FAIL("no leader");
  return 0;
}

auto lists(process_site& site, int number, std::string_view expected) -> bool {
  return eventually([&] { return evacuations(site, number) == expected; },
                    recovery);
}

}  // namespace

/// Orders of operators to evacuate data centres, with the programs as
/// processes. Guards against an order that is confirmed and then lost.
class evacuation_order_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_order_test);
  CPPUNIT_TEST(an_order_outlives_its_leader);
  CPPUNIT_TEST(an_order_outlives_the_loss_of_all_processes);
  CPPUNIT_TEST(repeated_and_unknown_orders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_order_outlives_its_leader() {
    process_site site(25200);
    start_group(site);
    auto first = leader(site);
    auto other = first % 3 + 1;
    CPPUNIT_ASSERT_EQUAL(200, order(site, other, "POST", "dc2"));
    site.kill(name_of(first));
    CPPUNIT_ASSERT(lists(site, other, "dc2"));
    CPPUNIT_ASSERT_EQUAL(200, order(site, other, "DELETE", "dc2"));
    CPPUNIT_ASSERT(lists(site, other, ""));
  }

  void an_order_outlives_the_loss_of_all_processes() {
    process_site site(25300);
    start_group(site);
    CPPUNIT_ASSERT_EQUAL(200, order(site, 2, "POST", "dc3"));
    for (int i = 1; i <= 3; ++i) site.signal(name_of(i), SIGKILL);
    for (int i = 1; i <= 3; ++i) site.wait(name_of(i));
    for (int i = 1; i <= 3; ++i) site.start_fleet_control(i, false);
    CPPUNIT_ASSERT(lists(site, 1, "dc3"));
  }

  // A repetition is confirmed again; an unknown data centre ends the
  // operator's call at once and changes nothing.
  void repeated_and_unknown_orders() {
    process_site site(25400);
    start_group(site);
    for (int i = 1; i <= 3; ++i)
      CPPUNIT_ASSERT_EQUAL(200, order(site, i, "POST", "dc1"));
    CPPUNIT_ASSERT_EQUAL(400, order(site, 1, "POST", "dc9"));
    CPPUNIT_ASSERT_EQUAL(400, order(site, 2, "DELETE", "dc9"));
    CPPUNIT_ASSERT(lists(site, 3, "dc1"));
    for (int i = 1; i <= 3; ++i)
      CPPUNIT_ASSERT_EQUAL(200, order(site, i, "DELETE", "dc1"));
    CPPUNIT_ASSERT(lists(site, 2, ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_order_test);
