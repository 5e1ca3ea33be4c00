#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes/process_site.h"

using namespace parsleyledge;
using fakes::eventually;
using fakes::pause_for;
using fakes::process_site;
using std::chrono::milliseconds;

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds grace{6};
// An entry closes idle connections 1.5 s before the end of the grace period, so
// a request sent by now has arrived before that on a busy machine, too.
constexpr milliseconds last_request_at{2800};
constexpr milliseconds request_interval{200};

/// Reads a job with a time limit that exceeds the grace period.
auto read_job(process_site& site) -> http_response {
  http_request request{"GET",
                       "/lists/0123456789abcdef",
                       {{"Host", "q.example"}, {"X-Deadline-Ms", "10000"}},
                       {}};
  return site.call(1, std::move(request));
}

/// Starts an entry without a leader and waits until it serves callers.
void start_entry(process_site& site) {
  site.start_fleet_entry(1, grace);
  http_request request{"PATCH", "/", {{"Host", "q.example"}}, {}};
  CPPUNIT_ASSERT(
      eventually([&] { return site.call(1, request).status == 405; }));
}

/// A connection to an entry that has had one response and is kept open.
struct kept_connection {
  asio::io_context context;
  asio::ip::tcp::socket socket{context};

  explicit kept_connection(int port) {
    socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(port)});
    send("PATCH");
    std::string response;
    asio::read_until(socket, asio::dynamic_buffer(response), "here\"}");
  }

  void send(std::string_view method) {
    asio::write(socket, asio::buffer(std::string(method) +
                                     " /lists/0123456789abcdef HTTP/1.1\r\n"
                                     "Host: q.example\r\n"
                                     "X-Deadline-Ms: 10000\r\n\r\n"));
  }

  /// All that is received until the entry closes the connection.
  auto receive() -> std::string {
    std::string response;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }
};

}  // namespace

/// Graceful shutdown of the fleet's entry, as its callers see it.
class fleet_shutdown_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_shutdown_test);
  CPPUNIT_TEST(a_stopping_entry_answers_requests_in_progress);
  CPPUNIT_TEST(a_stopping_entry_answers_requests_received_while_draining);
  CPPUNIT_TEST(a_stopping_entry_answers_on_kept_connections);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an exit that aborts a request which still waits for the
  // leader.
  void a_stopping_entry_answers_requests_in_progress() {
    process_site site(22000);
    start_entry(site);
    http_response response;
    std::thread caller([&] { response = read_job(site); });
    pause_for(milliseconds(300));  // until the entry has read the request
    auto stopped_at = std::chrono::steady_clock::now();
    site.signal("fleet-entry-1", SIGTERM);
    caller.join();
    CPPUNIT_ASSERT_EQUAL(504, response.status);
    CPPUNIT_ASSERT_EQUAL(0, site.wait("fleet-entry-1"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stopped_at < grace);
  }

  // Guards against an exit that aborts a request which arrived late in the
  // drain, from a caller that does not follow the readiness of the entry.
  void a_stopping_entry_answers_requests_received_while_draining() {
    process_site site(22100);
    start_entry(site);
    auto stopped_at = std::chrono::steady_clock::now();
    site.signal("fleet-entry-1", SIGTERM);
    pause_for(last_request_at);
    CPPUNIT_ASSERT_EQUAL(504, read_job(site).status);
    CPPUNIT_ASSERT_EQUAL(0, site.wait("fleet-entry-1"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stopped_at < grace);
  }

  // Guards against an exit that aborts a request on a kept connection, at any
  // point of the drain.
  void a_stopping_entry_answers_on_kept_connections() {
    process_site site(22200);
    start_entry(site);
    std::vector<std::unique_ptr<kept_connection>> connections;
    for (auto at = milliseconds(0); at < last_request_at;
         at += request_interval) {
      connections.push_back(
          std::make_unique<kept_connection>(site.entry_port(1)));
    }
    auto stopped_at = std::chrono::steady_clock::now();
    site.signal("fleet-entry-1", SIGTERM);
    std::vector<std::string> sent_after;
    for (auto& connection : connections) {
      auto since = std::chrono::steady_clock::now() - stopped_at;
      sent_after.push_back(
          std::to_string(std::chrono::floor<milliseconds>(since).count()) +
          " ms after SIGTERM");
      connection->send("GET");
      pause_for(request_interval);
    }
    for (std::size_t i = 0; i < connections.size(); ++i) {
      auto response = connections[i]->receive();
      CPPUNIT_ASSERT_MESSAGE(sent_after[i],
                             response.starts_with("HTTP/1.1 50"));
    }
    CPPUNIT_ASSERT_EQUAL(0, site.wait("fleet-entry-1"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - stopped_at < grace);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_shutdown_test);
