#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>

#include "adapters/clock.h"
#include "adapters/peer_socket.h"
#include "fakes/process_site.h"
#include "wire.pb.h"

using namespace parsleyledge;

namespace {

constexpr std::string_view server_address = "127.0.0.1:22301";
constexpr std::chrono::seconds call_limit{5};
// Until the caller's thread has taken the call while nothing listens.
constexpr milliseconds connection_delay{200};

}  // namespace

/// Messages that are sent before their connection is established.
class peer_socket_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_socket_test);
  CPPUNIT_TEST(delivers_a_call_sent_before_the_connection);
  CPPUNIT_TEST(delivers_a_vote_sent_before_the_connection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a call to a new leader that is dropped because there is no
  // connection to it yet, so that the caller waits for a timeout.
  void delivers_a_call_sent_before_the_connection() {
    std::promise<std::uint64_t> received;
    auto first_id = received.get_future();
    peer_socket server({"g", "server"},
                       [&](std::string_view, wire::envelope message) {
                         received.set_value(message.request().id());
                       });
    peer_socket caller({"g", "caller"}, [](std::string_view, auto) {});
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.start({}));
    wire::envelope call;
    call.mutable_request()->set_id(7);
    call.set_deadline(to_ms(wall_now() + call_limit));
    caller.send(server_address, std::move(call));
    fakes::pause_for(connection_delay);
    CPPUNIT_ASSERT_EQUAL(std::string(), server.start(server_address));
    CPPUNIT_ASSERT(first_id.wait_for(call_limit) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, first_id.get());
    caller.stop();
    server.stop();
  }

  // Guards against an election that fails because the request for a vote is
  // dropped: a candidate may have no connection to the other replicas yet.
  void delivers_a_vote_sent_before_the_connection() {
    std::promise<void> received;
    auto is_received = received.get_future();
    peer_socket server(
        {"g", "server"},
        [&](std::string_view, const wire::envelope&) { received.set_value(); });
    CPPUNIT_ASSERT_EQUAL(std::string(), server.start(server_address));
    peer_socket caller({"g", "caller"}, [](std::string_view, auto) {});
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.start({}));
    wire::envelope vote;
    vote.mutable_agreement();
    caller.send(server_address, std::move(vote));
    CPPUNIT_ASSERT(is_received.wait_for(call_limit) ==
                   std::future_status::ready);
    caller.stop();
    server.stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_socket_test);
