#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <future>

#include "adapters/fleet_codec.h"
#include "adapters/fleet_entry_node.h"
#include "adapters/peer_socket.h"
#include "wire.pb.h"

using namespace parsleyledge;
namespace asio = boost::asio;
using fleet::reply_status;
using std::chrono::seconds;

namespace {

constexpr std::string_view leader_address = "127.0.0.1:18931";
// A caller who would wait for the deadline waits for longer than a test does.
constexpr milliseconds long_deadline{120'000};
constexpr seconds test_limit{30};
// A ping that fails, and the outage after which requests are rejected.
constexpr milliseconds outage{3000};

/// An entry node with its own threads.
class running_entry {
 public:
  running_entry() { CPPUNIT_ASSERT_EQUAL(std::string(), node_.start()); }
  running_entry(const running_entry&) = delete;
  auto operator=(const running_entry&) -> running_entry& = delete;
  ~running_entry() {
    node_.stop();
    pool_.stop();
    pool_.join();
  }

  auto serve(fleet::request request) -> std::future<fleet::reply> {
    return asio::co_spawn(asio::make_strand(pool_),
                          node_.serve(std::move(request), long_deadline),
                          asio::use_future);
  }

  /// Lets the entry run for a while.
  void run_for(milliseconds time) {
    asio::steady_timer timer(pool_, time);
    timer.wait();
  }

 private:
  asio::thread_pool pool_{2};
  fleet_entry_node node_{pool_,
                         {"fleet", "entry", {std::string(leader_address)}}};
};

auto submission() -> fleet::request {
  return fleet::submit_request{{"q.example", "/p/0123456789abcdef", {}}, {}};
}

}  // namespace

/// What an entry does while it reaches no leader.
class fleet_entry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_entry_test);
  CPPUNIT_TEST(a_request_in_an_outage_is_rejected_at_once);
  CPPUNIT_TEST(a_request_at_the_start_waits_for_a_leader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A core that is cut in two halves for long: callers were held until their
  // deadline, although the entry knew that there is no leader.
  void a_request_in_an_outage_is_rejected_at_once() {
    running_entry entry;
    entry.run_for(outage);
    auto reply = entry.serve(submission());
    CPPUNIT_ASSERT(reply.wait_for(test_limit) == std::future_status::ready);
    auto seen = reply.get();
    CPPUNIT_ASSERT(seen.status == reply_status::unavailable);
    CPPUNIT_ASSERT(seen.retry_after.count() > 0);
  }

  // Guards against rejections by an entry that has just started, and by one
  // whose leader is back.
  void a_request_at_the_start_waits_for_a_leader() {
    running_entry entry;
    auto early = entry.serve(submission());
    entry.run_for(outage);
    peer_socket* sender = nullptr;
    peer_socket leader({"fleet", "leader"}, [&](std::string_view from,
                                                const wire::envelope& message) {
      if (!message.has_request()) return;
      wire::envelope out;
      out.mutable_reply()->set_id(message.request().id());
      fleet::reply done{reply_status::done, "", 0, {}};
      write(done, *out.mutable_reply()->mutable_fleet());
      sender->reply(from, std::move(out));
    });
    sender = &leader;
    CPPUNIT_ASSERT_EQUAL(std::string(), leader.start(leader_address));
    CPPUNIT_ASSERT(early.wait_for(test_limit) == std::future_status::ready);
    CPPUNIT_ASSERT(early.get().status == reply_status::done);
    auto late = entry.serve(submission());
    CPPUNIT_ASSERT(late.wait_for(test_limit) == std::future_status::ready);
    CPPUNIT_ASSERT(late.get().status == reply_status::done);
    leader.stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_entry_test);
