#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <future>
#include <iterator>
#include <string>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/http_server.h"

using namespace parsleyledge;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

auto open_descriptors() -> long {
  std::filesystem::directory_iterator files("/proc/self/fd");
  return std::distance(begin(files), end(files));
}

template <typename Condition>
auto eventually(Condition condition) -> bool {
  constexpr int attempts = 500;
  for (int i = 0; i < attempts; ++i) {
    if (condition()) return true;
    asio::io_context waiting;
    asio::steady_timer(waiting, milliseconds(10)).wait();
  }
  return false;
}

/// A server on a port of its own that responds to each request.
struct local_server {
  explicit local_server(int port)
      : address("127.0.0.1:" + std::to_string(port)) {
    auto error = server.listen(
        address, [](http_request) -> asio::awaitable<http_response> {
          co_return make_response(200, "text/plain", "x");
        });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
  }
  std::string address;
  asio::thread_pool pool{1};
  http_server server{pool, http_limits{}};
};

}  // namespace

class http_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_client_test);
  CPPUNIT_TEST(reuses_a_connection);
  CPPUNIT_TEST(a_client_may_retain_no_connection);
  CPPUNIT_TEST(idle_connections_close_with_their_server);
  CPPUNIT_TEST(connections_that_are_idle_for_too_long_are_closed);
  CPPUNIT_TEST(a_closed_connection_differs_from_silence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reuses_a_connection() {
    local_server server(21841);
    http_client client;
    call(client, server.address);
    auto before = open_descriptors();
    for (int i = 0; i < 20; ++i) call(client, server.address);
    CPPUNIT_ASSERT_EQUAL(before, open_descriptors());
  }

  // Guards against a crash of the second request to a server of which no
  // connection is retained.
  void a_client_may_retain_no_connection() {
    local_server server(21855);
    http_client client;
    exchange_limits limits;
    limits.idle_connections = 0;
    call(client, server.address, limits);
    call(client, server.address, limits);
  }

  // Guards against a leader without descriptors: connections to servers that
  // were replaced by others stayed open in the client.
  void idle_connections_close_with_their_server() {
    http_client client;
    local_server stays(21854);
    call(client, stays.address);
    auto before = open_descriptors();
    for (int port = 21842; port < 21852; ++port) {
      local_server server(port);
      call(client, server.address);
    }
    CPPUNIT_ASSERT_MESSAGE("connections are left", eventually([&] {
                             call(client, stays.address);
                             return open_descriptors() <= before;
                           }));
  }

  // Guards against the same shortage where the servers were lost without
  // closing their connections.
  void connections_that_are_idle_for_too_long_are_closed() {
    local_server lost(21852);
    local_server other(21853);
    http_client client(milliseconds(50));
    call(client, other.address);
    auto before = open_descriptors();
    call(client, lost.address);
    CPPUNIT_ASSERT(open_descriptors() > before);
    CPPUNIT_ASSERT_MESSAGE("an idle connection is left", eventually([&] {
                             call(client, other.address);
                             return open_descriptors() <= before;
                           }));
  }

  // Guards against a job that fails because its worker was cut off: only a
  // crashed process closes its connections.
  void a_closed_connection_differs_from_silence() {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    auto address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client;
    exchange_limits limits;
    limits.timeout = milliseconds(300);
    auto unanswered = exchange(client, address, limits);
    const auto* silent = std::get_if<exchange_incomplete>(&unanswered);
    CPPUNIT_ASSERT(silent != nullptr && silent->timed_out && !silent->closed);

    acceptor.accept();  // of the call before
    auto closing = start_exchange(client, address, {});
    auto accepted = acceptor.accept();
    char first = 0;
    asio::read(accepted, asio::buffer(&first, 1));
    accepted.close();
    auto ended = closing.get();
    const auto* closed = std::get_if<exchange_incomplete>(&ended);
    CPPUNIT_ASSERT(closed != nullptr && !closed->timed_out && closed->closed);

    acceptor.close();
    auto refused = exchange(client, address, {});
    const auto* not_sent = std::get_if<exchange_not_sent>(&refused);
    CPPUNIT_ASSERT(not_sent != nullptr && not_sent->closed);
  }

 private:
  void call(http_client& client, std::string_view address,
            exchange_limits limits = {}) {
    CPPUNIT_ASSERT(std::holds_alternative<exchange_completed>(
        exchange(client, address, limits)));
  }

  auto exchange(http_client& client, std::string_view address,
                exchange_limits limits) -> exchange_result {
    return start_exchange(client, address, limits).get();
  }

  auto start_exchange(http_client& client, std::string_view address,
                      exchange_limits limits) -> std::future<exchange_result> {
    return asio::co_spawn(
        callers_,
        [this, &client, address, limits]() -> asio::awaitable<exchange_result> {
          co_return co_await client.exchange(address, request_, limits);
        },
        asio::use_future);
  }

  http_request request_{"GET", "/", {}, {}};
  asio::thread_pool callers_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
