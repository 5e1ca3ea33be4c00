#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "adapters/clock.h"
#include "adapters/fleet_state_machine.h"
#include "adapters/replica_node.h"

using namespace parsleyledge;
namespace ag = agreement;

namespace {

constexpr std::uint64_t jobs_in_the_log = 20'000;

/// The disk of a single replica with a long log of jobs.
auto long_log() -> ag::recovered_state {
  ag::recovered_state recovered;
  recovered.hard = {{1}, {1}};
  ag::log_entry first{{{1}, {1}}, ag::entry_kind::membership, {}, {}};
  first.members = {{{1}, {7}, "127.0.0.1:1", true}};
  recovered.entries.push_back(first);
  for (std::uint64_t i = 0; i < jobs_in_the_log; ++i) {
    fleet::job_spec spec;
    spec.id = {i + 1};
    spec.steps.emplace_back();
    recovered.entries.push_back({{{1}, {i + 2}},
                                 ag::entry_kind::command,
                                 fleet::encode(fleet::add_job{spec, at_ms(1)}),
                                 {}});
  }
  return recovered;
}

}  // namespace

class replica_node_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_node_test);
  CPPUNIT_TEST(serves_only_after_applying_the_whole_log);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Regression: after a restart of all replicas, a leader placed work before it
  // had applied its whole log to the tables.
  void serves_only_after_applying_the_whole_log() {
    boost::asio::thread_pool pool(2);
    metrics counters;
    journal disk{file_store(memory_files())};
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_CHECK(disk.open({"fleet", {1}}));
          return {};
        },
        [] { CPPUNIT_FAIL("the journal cannot be opened"); });
    ag::replica_settings settings;
    settings.id = {1};
    settings.incarnation = {7};
    settings.peers = {{{1}, {7}, "127.0.0.1:1", true}};
    basic_replica_node<fleet_state_machine> node(
        pool, settings, std::move(disk), long_log(), counters,
        {[](std::string_view, ag::message) {}, [] {},
         [](std::string_view detail) { CPPUNIT_FAIL(std::string(detail)); }});
    node.start();
    boost::asio::steady_timer timer(pool);
    bool serves = false;
    for (int i = 0; i < 100'000 && !serves; ++i) {
      serves = node.may_serve();
      if (serves) break;
      timer.expires_after(std::chrono::microseconds(100));
      timer.wait();
    }
    auto applied_jobs = node.read_state([](const fleet::fleet_state& state) {
      return state.tables().jobs.size();
    });
    node.stop();
    pool.stop();
    pool.join();
    CPPUNIT_ASSERT(serves);
    CPPUNIT_ASSERT_EQUAL(std::size_t{jobs_in_the_log}, applied_jobs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_node_test);
