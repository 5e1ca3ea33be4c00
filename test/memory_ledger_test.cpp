#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "core/requests/memory_ledger.h"

using namespace parsleyledge;
using std::chrono::seconds;

namespace {

auto at(int second) -> time_point {
  return time_point{} + seconds(second);
}

/// Adds a holder that may be shed and began to send at `second`.
auto add_sender(memory_ledger& ledger, int second) -> memory_holder {
  auto id = ledger.add();
  ledger.begin(id, at(second));
  ledger.allow_shedding(id, true);
  return id;
}

auto is_granted(const memory_decision& decision) -> bool {
  return !std::holds_alternative<memory_refused>(decision);
}

auto shed_by(const memory_decision& decision) -> std::vector<memory_holder> {
  const auto* granted = std::get_if<memory_granted_by_shedding>(&decision);
  return granted == nullptr ? std::vector<memory_holder>{} : granted->shed;
}

}  // namespace

/// Clients that compete for the memory of unfinished requests.
class memory_ledger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(memory_ledger_test);
  CPPUNIT_TEST(a_slow_sender_is_shed_before_a_fast_one);
  CPPUNIT_TEST(a_small_request_is_served_beside_stalled_large_ones);
  CPPUNIT_TEST(a_request_that_is_handled_keeps_its_memory);
  CPPUNIT_TEST(the_largest_and_slowest_gives_way_itself);
  CPPUNIT_TEST(a_holder_that_was_shed_gets_nothing);
  CPPUNIT_TEST(the_sum_stays_within_the_capacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_slow_sender_is_shed_before_a_fast_one() {
    memory_ledger ledger(100);
    auto slow = add_sender(ledger, 0);
    auto fast = add_sender(ledger, 9);
    ledger.resize(slow, 50, at(10));
    ledger.resize(fast, 50, at(10));
    auto decision = ledger.resize(add_sender(ledger, 10), 20, at(10));
    CPPUNIT_ASSERT(std::vector{slow} == shed_by(decision));
    CPPUNIT_ASSERT_EQUAL(std::size_t{70}, ledger.used());
  }

  // Guards against ordinary callers that are refused while stalled clients
  // hold all the memory.
  void a_small_request_is_served_beside_stalled_large_ones() {
    memory_ledger ledger(1000);
    for (int i = 0; i < 10; ++i)
      ledger.resize(add_sender(ledger, 0), 100, at(1));
    auto caller = add_sender(ledger, 1);
    CPPUNIT_ASSERT(is_granted(ledger.resize(caller, 5, at(1))));
    CPPUNIT_ASSERT(is_granted(ledger.resize(caller, 10, at(2))));
  }

  // Guards against a connection that is closed while its request runs.
  void a_request_that_is_handled_keeps_its_memory() {
    memory_ledger ledger(100);
    auto handled = add_sender(ledger, 0);
    ledger.resize(handled, 90, at(0));
    CPPUNIT_ASSERT(ledger.allow_shedding(handled, false));
    CPPUNIT_ASSERT(
        !is_granted(ledger.resize(add_sender(ledger, 9), 20, at(10))));
    CPPUNIT_ASSERT(ledger.allow_shedding(handled, false));
  }

  void the_largest_and_slowest_gives_way_itself() {
    memory_ledger ledger(100);
    auto large = add_sender(ledger, 0);
    auto small = add_sender(ledger, 5);
    ledger.resize(large, 80, at(5));
    ledger.resize(small, 20, at(6));
    CPPUNIT_ASSERT(!is_granted(ledger.resize(large, 90, at(10))));
    CPPUNIT_ASSERT(ledger.allow_shedding(small, true));
  }

  void a_holder_that_was_shed_gets_nothing() {
    memory_ledger ledger(100);
    auto first = add_sender(ledger, 0);
    ledger.resize(first, 100, at(0));
    CPPUNIT_ASSERT(is_granted(ledger.resize(add_sender(ledger, 1), 50, at(2))));
    CPPUNIT_ASSERT(!is_granted(ledger.resize(first, 1, at(2))));
    CPPUNIT_ASSERT(!ledger.allow_shedding(first, false));
    ledger.remove(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, ledger.used());
  }

  void the_sum_stays_within_the_capacity() {
    bool passed = rc::check([] {
      constexpr std::size_t capacity = 1000;
      memory_ledger ledger(capacity);
      std::vector<memory_holder> holders;
      for (int i = 0; i < 200; ++i) {
        if (holders.empty() || *rc::gen::inRange(0, 4) == 0)
          holders.push_back(add_sender(ledger, i));
        auto id = holders[*rc::gen::inRange<std::size_t>(0, holders.size())];
        ledger.allow_shedding(id, *rc::gen::arbitrary<bool>());
        ledger.resize(id, *rc::gen::inRange<std::size_t>(0, 1200), at(i));
        RC_ASSERT(ledger.used() <= capacity);
      }
      for (auto id : holders) ledger.remove(id);
      RC_ASSERT(ledger.used() == 0);
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_ledger_test);
