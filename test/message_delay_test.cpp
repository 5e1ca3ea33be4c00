#include <cppunit/extensions/HelperMacros.h>

#include "core/membership/message_delay.h"

using namespace parsleyledge;

/// Delays of messages between processes whose clocks differ.
class message_delay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_delay_test);
  CPPUNIT_TEST(the_offset_of_the_clocks_is_no_delay);
  CPPUNIT_TEST(a_queued_message_is_delayed);
  CPPUNIT_TEST(messages_queued_during_a_pause_are_delayed);
  CPPUNIT_TEST(a_restarted_clock_is_accepted_after_a_while);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_offset_of_the_clocks_is_no_delay() {
    for (std::int64_t offset : {-3'600'000, -4'000, 0, 4'000, 3'600'000}) {
      message_delay delay;
      for (std::int64_t at = 10'000; at < 20'000; at += 100) {
        CPPUNIT_ASSERT(milliseconds(0) ==
                       delay.record(at_ms(at + offset), at_ms(at + 3)));
      }
    }
  }

  void a_queued_message_is_delayed() {
    message_delay delay;
    for (std::int64_t at = 10'000; at < 15'000; at += 100) {
      delay.record(at_ms(at), at_ms(at + 3));
    }
    // The queue is stopped for two seconds.
    for (std::int64_t at = 15'000; at < 17'000; at += 100) {
      CPPUNIT_ASSERT(milliseconds(17'000 - at) ==
                     delay.record(at_ms(at), at_ms(17'003)));
    }
    CPPUNIT_ASSERT(milliseconds(0) ==
                   delay.record(at_ms(17'100), at_ms(17'103)));
  }

  // Guards against a backlog that is taken for new after the receiver was
  // stopped for longer than a window.
  void messages_queued_during_a_pause_are_delayed() {
    message_delay delay;
    for (std::int64_t at = 10'000; at < 15'000; at += 100) {
      delay.record(at_ms(at), at_ms(at + 3));
    }
    for (std::int64_t at = 15'000; at < 24'000; at += 100) {
      CPPUNIT_ASSERT(milliseconds(24'000 - at) ==
                     delay.record(at_ms(at), at_ms(24'003)));
    }
    CPPUNIT_ASSERT(milliseconds(0) ==
                   delay.record(at_ms(24'100), at_ms(24'103)));
  }

  void a_restarted_clock_is_accepted_after_a_while() {
    message_delay delay;
    delay.record(at_ms(10'000), at_ms(10'003));
    CPPUNIT_ASSERT(milliseconds(9'000) ==
                   delay.record(at_ms(1'100), at_ms(10'103)));
    std::int64_t at = 1'200;
    while (delay.record(at_ms(at), at_ms(at + 9'003)) > milliseconds(0)) {
      at += 100;
    }
    CPPUNIT_ASSERT(at <= 5'200);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_delay_test);
