#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>

#include "adapters/clock.h"
#include "adapters/control_client.h"
#include "adapters/fleet_client.h"
#include "adapters/fleet_codec.h"
#include "adapters/peer_socket.h"
#include "wire.pb.h"

using namespace parsleyledge;
namespace asio = boost::asio;
using fleet::reply_status;

namespace {

constexpr std::string_view leader_address = "127.0.0.1:18921";
constexpr milliseconds time_limit{5000};

/// A leader that answers pings, leaves a number of other calls without a
/// response and answers the next ones with a given status.
class scripted_leader {
 public:
  scripted_leader(int ignored_calls, reply_status status)
      : ignored_calls_(ignored_calls), status_(status) {
    CPPUNIT_ASSERT_EQUAL(std::string(), peers_.start(leader_address));
  }

 private:
  void receive(std::string_view from, const wire::envelope& message) {
    if (!message.has_request()) return;
    auto request = fleet::read(message.request().fleet());
    CPPUNIT_ASSERT(request.has_value());
    bool is_ping = std::holds_alternative<fleet::ping_request>(*request);
    if (!is_ping && ignored_calls_-- > 0) return;
    wire::envelope out;
    out.mutable_reply()->set_id(message.request().id());
    fleet::reply r{is_ping ? reply_status::done : status_, "scripted", 0, {}};
    write(r, *out.mutable_reply()->mutable_fleet());
    peers_.reply(from, std::move(out));
  }

  int ignored_calls_;  // used on the socket's thread only
  reply_status status_;
  peer_socket peers_{{"fleet", "leader"},
                     [this](std::string_view from, wire::envelope message) {
                       receive(from, message);
                     }};
};

/// Asks a scripted leader and returns the status that the caller sees.
auto ask(fleet::request request, int ignored_calls, reply_status status)
    -> reply_status {
  scripted_leader leader(ignored_calls, status);
  control_client* receiver = nullptr;
  peer_socket peers({"fleet", "entry"},
                    [&](std::string_view, wire::envelope message) {
                      receiver->receive(std::move(*message.mutable_reply()));
                    });
  control_client client(peers, {std::string(leader_address)});
  receiver = &client;
  CPPUNIT_ASSERT_EQUAL(std::string(), peers.start({}));
  asio::thread_pool pool(2);
  auto call = [&](fleet::request one) {
    auto deadline = steady_now() + time_limit;
    return asio::co_spawn(asio::make_strand(pool),
                          ask_leader(client, std::move(one), deadline),
                          asio::use_future)
        .get()
        .status;
  };
  // The first messages are dropped until the connection is established.
  CPPUNIT_ASSERT(reply_status::done == call(fleet::ping_request{}));
  auto seen = call(std::move(request));
  peers.stop();
  return seen;
}

auto submission() -> fleet::request {
  return fleet::submit_request{{"q.example", "/p/0123456789abcdef", {}}, {}};
}

}  // namespace

/// What callers are told of a change whose outcome is uncertain.
class fleet_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_client_test);
  CPPUNIT_TEST(a_refusal_after_an_attempt_without_response_is_undetermined);
  CPPUNIT_TEST(a_refused_configuration_that_may_be_in_force_is_undetermined);
  CPPUNIT_TEST(a_refusal_of_the_first_attempt_is_returned);
  CPPUNIT_TEST(replies_that_state_what_is_stored_are_returned);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against "not accepted, never runs" for a job that an earlier attempt
  // may have stored.
  void a_refusal_after_an_attempt_without_response_is_undetermined() {
    for (auto status :
         {reply_status::unavailable, reply_status::busy, reply_status::invalid,
          reply_status::unauthorized, reply_status::no_queue}) {
      CPPUNIT_ASSERT(reply_status::undetermined ==
                     ask(submission(), 2, status));
    }
  }

  // Guards against a rejected configuration that is in force.
  void a_refused_configuration_that_may_be_in_force_is_undetermined() {
    CPPUNIT_ASSERT(
        reply_status::undetermined ==
        ask(fleet::put_site_request{7, "{}"}, 2, reply_status::unavailable));
  }

  // Guards against an uncertain answer where the refusal is certain.
  void a_refusal_of_the_first_attempt_is_returned() {
    CPPUNIT_ASSERT(reply_status::unavailable ==
                   ask(submission(), 0, reply_status::unavailable));
    CPPUNIT_ASSERT(reply_status::no_queue ==
                   ask(submission(), 0, reply_status::no_queue));
  }

  // Guards against an uncertain answer to a read, and to a repeated command
  // whose result is known.
  void replies_that_state_what_is_stored_are_returned() {
    CPPUNIT_ASSERT(reply_status::done ==
                   ask(submission(), 2, reply_status::done));
    CPPUNIT_ASSERT(reply_status::not_found ==
                   ask(fleet::cancel_request{}, 2, reply_status::not_found));
    CPPUNIT_ASSERT(reply_status::no_queue ==
                   ask(fleet::read_request{}, 2, reply_status::no_queue));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_client_test);
