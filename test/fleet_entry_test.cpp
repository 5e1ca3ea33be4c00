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
// Longer than until a ping fails, and the outage after which requests are
// rejected.
constexpr milliseconds outage{5000};

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

/// A leader that answers every call.
class answering_leader {
 public:
  answering_leader() {
    CPPUNIT_ASSERT_EQUAL(std::string(), peers_.start(leader_address));
  }
  answering_leader(const answering_leader&) = delete;
  auto operator=(const answering_leader&) -> answering_leader& = delete;
  ~answering_leader() { peers_.stop(); }

 private:
  void receive(std::string_view from, const wire::envelope& message) {
    if (!message.has_request()) return;
    wire::envelope out;
    out.mutable_reply()->set_id(message.request().id());
    fleet::reply done{reply_status::done, "", 0, {}};
    write(done, *out.mutable_reply()->mutable_fleet());
    peers_.reply(from, std::move(out));
  }

  peer_socket peers_{{"fleet", "leader"},
                     [this](std::string_view from, wire::envelope message) {
                       receive(from, message);
                     }};
};

auto submission() -> fleet::request {
  return fleet::submit_request{{"q.example", "/p/0123456789abcdef", {}}, {}};
}

auto status_of(std::future<fleet::reply> reply) -> reply_status {
  CPPUNIT_ASSERT(reply.wait_for(test_limit) == std::future_status::ready);
  return reply.get().status;
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
    {
      answering_leader leader;
      CPPUNIT_ASSERT(status_of(entry.serve(submission())) ==
                     reply_status::done);
    }
    entry.run_for(outage);
    auto reply = entry.serve(submission());
    CPPUNIT_ASSERT(reply.wait_for(test_limit) == std::future_status::ready);
    auto seen = reply.get();
    CPPUNIT_ASSERT(seen.status == reply_status::unavailable);
    CPPUNIT_ASSERT(seen.retry_after.count() > 0);
    answering_leader leader;
    entry.run_for(outage);
    CPPUNIT_ASSERT(status_of(entry.serve(submission())) == reply_status::done);
  }

  // Guards against rejections by an entry that has just started.
  void a_request_at_the_start_waits_for_a_leader() {
    running_entry entry;
    entry.run_for(outage);
    auto early = entry.serve(submission());
    entry.run_for(milliseconds(300));
    answering_leader leader;
    CPPUNIT_ASSERT(status_of(std::move(early)) == reply_status::done);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_entry_test);
