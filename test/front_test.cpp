#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <ctime>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "adapters/app.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "platform/front.h"

using namespace parsleyledge;
namespace asio = boost::asio;
using fleet::reply;
using fleet::reply_status;

namespace {

constexpr std::string_view valid_job =
    R"({"spec":"x","steps":[{"count":2,"cpu":500,"memMb":64,"estMs":900}]})";
constexpr std::string_view valid_report =
    R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":8,)"
    R"("state":"ready","seq":4,"born":17,"clockMs":5,)"
    R"("capacity":{"cpu":1000,"memMb":64,"gpu":1},"labels":["a","r1"]})";
constexpr std::string_view valid_config =
    R"({"version":7,"routes":[],"services":[],"tenants":[]})";
constexpr std::string_view valid_wave =
    R"({"wave":1,"machines":["m-1"],"durationS":20,"maxCount":1})";

/// Stands in for the scheduler behind the HTTP front: records the requests and
/// returns a preset reply.
struct fake_scheduler {
  reply response{reply_status::done, {}, 0, {}};
  std::vector<fleet::request> requests;
  milliseconds time_limit{0};

  auto server() -> platform::request_handler {
    return [this](fleet::request request,
                  milliseconds timeout) -> asio::awaitable<reply> {
      requests.push_back(std::move(request));
      time_limit = timeout;
      co_return response;
    };
  }
};

auto make_request(std::string_view method, std::string_view target,
                  std::string_view body = {},
                  std::vector<http_header> headers = {}) -> http_request {
  headers.emplace_back("Host", "q.example:8521");
  return {std::string(method), std::string(target), std::move(headers),
          std::string(body)};
}

auto run(asio::awaitable<http_response> work) -> http_response {
  asio::io_context context;
  std::optional<http_response> result;
  asio::co_spawn(context, std::move(work),
                 [&](std::exception_ptr error, http_response response) {
                   CPPUNIT_ASSERT(error == nullptr);
                   result = std::move(response);
                 });
  context.run();
  return *result;
}

auto send_to_entry(fake_scheduler& scheduler, http_request request)
    -> http_response {
  return run(platform::serve_caller(std::move(request), scheduler.server()));
}

auto send_to_control(fake_scheduler& scheduler, http_request request,
                     std::string heartbeat_address = {}) -> http_response {
  return run(platform::serve_control(std::move(request), scheduler.server(),
                                     std::move(heartbeat_address)));
}

/// A call that must be rejected with `status` and not reach the scheduler.
struct rejected_call {
  std::string_view method;
  std::string_view target;
  std::string_view body;
  int status;
};

}  // namespace

/// Decoding and rejection of the HTTP calls of callers, workers and operators.
class front_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(front_test);
  CPPUNIT_TEST(maps_reply_statuses_to_http);
  CPPUNIT_TEST(sends_retry_after_with_unavailable);
  CPPUNIT_TEST(decodes_calls_to_entry);
  CPPUNIT_TEST(rejects_invalid_calls_to_entry);
  CPPUNIT_TEST(decodes_calls_to_control);
  CPPUNIT_TEST(rejects_invalid_calls_to_control);
  CPPUNIT_TEST(an_odd_report_is_rejected_through_the_server);
  CPPUNIT_TEST(sends_heartbeat_address_to_workers);
  CPPUNIT_TEST(matches_out_of_order_responses);
  CPPUNIT_TEST(rejects_body_over_limit);
  CPPUNIT_TEST(rejects_truncated_body);
  CPPUNIT_TEST(a_drain_answers_requests_that_already_arrived);
  CPPUNIT_TEST(a_stopping_server_answers_a_request_under_way);
  CPPUNIT_TEST(a_failing_handler_still_answers);
  CPPUNIT_TEST(a_request_that_was_sent_once_does_not_count_as_not_sent);
  CPPUNIT_TEST(a_lack_of_descriptors_occupies_no_thread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void maps_reply_statuses_to_http() {
    constexpr std::pair<reply_status, int> table[] = {
        {reply_status::done, 200},         {reply_status::invalid, 400},
        {reply_status::unauthorized, 401}, {reply_status::no_queue, 404},
        {reply_status::not_found, 410},    {reply_status::busy, 429},
        {reply_status::unavailable, 503},  {reply_status::undetermined, 504}};
    for (auto [status, number] : table) {
      fake_scheduler scheduler;
      scheduler.response.status = status;
      CPPUNIT_ASSERT_EQUAL(
          number,
          send_to_entry(scheduler, make_request("GET", "/p/00ff")).status);
    }
    fake_scheduler scheduler;
    scheduler.response.text = "running";
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"state":"running"})"),
        send_to_entry(scheduler, make_request("GET", "/p/00ff")).body);
    scheduler.response = {reply_status::done, {}, 12, {}};
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"pending":12})"),
        send_to_entry(scheduler, make_request("GET", "/p/")).body);
  }

  void sends_retry_after_with_unavailable() {
    fake_scheduler scheduler;
    scheduler.response = {reply_status::unavailable, "no leader", 0,
                          milliseconds(1200)};
    auto response =
        send_to_entry(scheduler, make_request("POST", "/p/00ff", valid_job));
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         std::string(response.header("Retry-After")));
    CPPUNIT_ASSERT(response.body.find("no leader") != std::string::npos);
  }

  void decodes_calls_to_entry() {
    fake_scheduler scheduler;
    std::vector<http_header> headers = {{"authorization", "Token k1"},
                                        {"X-Deadline-Ms", "700"}};
    send_to_entry(scheduler,
                  make_request("POST", "/p/00ff?x=1", valid_job, headers));
    const auto& submit =
        std::get<fleet::submit_request>(scheduler.requests.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("q.example"), submit.address.host);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/00ff"), submit.address.path);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), submit.address.key);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, submit.spec.steps.at(0).tasks);
    CPPUNIT_ASSERT(scheduler.time_limit == milliseconds(700));
    send_to_entry(scheduler, make_request("GET", "/p/00ff"));
    CPPUNIT_ASSERT(
        std::holds_alternative<fleet::read_request>(scheduler.requests.at(1)));
    CPPUNIT_ASSERT(scheduler.time_limit > milliseconds(0));
    send_to_entry(scheduler, make_request("DELETE", "/p/00ff", {},
                                          {{"X-Deadline-Ms", "-5"}}));
    CPPUNIT_ASSERT(std::holds_alternative<fleet::cancel_request>(
        scheduler.requests.at(2)));
    CPPUNIT_ASSERT(scheduler.time_limit > milliseconds(0));
  }

  void rejects_invalid_calls_to_entry() {
    constexpr rejected_call table[] = {
        {"POST", "/p/00ff", "", 400},
        {"POST", "/p/00ff", "{\"spec\":\"x\",\"steps\":[{\"cou", 400},
        {"POST", "/p/00ff", "[1]", 400},
        {"POST", "/p/00ff", R"({"spec":"x"})", 400},
        {"POST", "/p/00ff", R"({"spec":"x","steps":[]})", 400},
        {"POST", "/p/00ff", R"({"spec":"x","steps":[{"count":0}]})", 400},
        {"POST", "/p/00ff", R"({"spec":7,"steps":[{"count":1}]})", 400},
        {"POST", "/p/00ff", R"({"spec":"x","steps":[{"count":"2"}]})", 400},
        {"POST", "/p/\xff", valid_job, 400},
        {"GET", "/p/\xff", "", 400},
        {"DELETE", "/p/\xff", "", 400},
        {"PUT", "/p/00ff", valid_job, 405},
        {"PATCH", "/p/00ff", valid_job, 405}};
    for (const auto& test_case : table) {
      fake_scheduler scheduler;
      auto response = send_to_entry(
          scheduler,
          make_request(test_case.method, test_case.target, test_case.body));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(test_case.body),
                                   test_case.status, response.status);
      CPPUNIT_ASSERT(scheduler.requests.empty());
      CPPUNIT_ASSERT(response.body.find("error") != std::string::npos);
    }
  }

  void decodes_calls_to_control() {
    fake_scheduler scheduler;
    auto send = [&](std::string_view method, std::string_view target,
                    std::string_view body) -> const fleet::request& {
      auto response =
          send_to_control(scheduler, make_request(method, target, body));
      CPPUNIT_ASSERT_EQUAL(200, response.status);
      return scheduler.requests.back();
    };
    const auto& put = send("PUT", "/api/config", valid_config);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         std::get<fleet::put_site_request>(put).version);
    CPPUNIT_ASSERT(std::holds_alternative<fleet::read_site_request>(
        send("GET", "/api/config", "")));
    const auto& put_report = send("PUT", "/api/instances/i-1", valid_report);
    const auto& report = std::get<fleet::report_request>(put_report).report;
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), report.incarnation.name);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, report.incarnation.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, report.sequence);
    const auto& removal =
        send("DELETE", "/api/instances/i-1", R"({"born":17})");
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{17},
        std::get<fleet::leave_request>(removal).incarnation.started_at_ms);
    CPPUNIT_ASSERT(std::holds_alternative<fleet::start_wave_request>(
        send("POST", "/api/wave-start", valid_wave)));
    for (bool withdraw : {false, true}) {
      auto order = std::get<fleet::evacuate_request>(
          send(withdraw ? "DELETE" : "POST", "/api/evacuate/dc-1", ""));
      CPPUNIT_ASSERT_EQUAL(std::string("dc-1"), order.data_centre);
      CPPUNIT_ASSERT_EQUAL(withdraw, order.withdraw);
    }
    const auto& wave = send("GET", "/api/wave-get/3", "");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         std::get<fleet::read_wave_request>(wave).number);
  }

  void rejects_invalid_calls_to_control() {
    constexpr rejected_call table[] = {
        {"PUT", "/api/config", "", 400},
        {"PUT", "/api/config", R"({"version":7,"routes":[)", 400},
        {"PUT", "/api/config", R"({"version":"7","routes":[],"services":[]})",
         400},
        {"PUT", "/api/config",
         R"({"version":7,"services":[],"routes":[{"name":"r","host":"h",)"
         R"("prefix":"/p/","timeoutMs":3000,"service":"none"}]})",
         400},
        {"PUT", "/api/config",
         R"({"version":7,"services":[{"name":"s"}],"routes":[{"name":"r",)"
         R"("host":"h","prefix":"/p/","timeoutMs":0,"service":"s"}]})",
         400},
        {"DELETE", "/api/config", "", 405},
        {"PUT", "/api/instances/i-1", "", 400},
        {"PUT", "/api/instances/i-1", "\xff\xfe", 400},
        {"PUT", "/api/instances/i-1", R"({"service":"s","addr":"a"})", 400},
        {"PUT", "/api/instances/i-1",
         R"({"service":"s","addr":"a","state":"asleep","seq":1})", 400},
        {"PUT", "/api/instances/i-1",
         R"({"service":4,"addr":"a","state":"ready","seq":1})", 400},
        {"PUT", "/api/instances/", valid_report, 400},
        {"PUT", "/api/instances/i-\xff", valid_report, 400},
        {"DELETE", "/api/instances/i-\xff", "", 400},
        {"DELETE", "/api/instances/i-1", "{", 400},
        {"DELETE", "/api/instances/i-1", "[]", 400},
        {"DELETE", "/api/instances/i-1", R"({"born":"17"})", 400},
        {"DELETE", "/api/instances/i-1", R"({"born":1e300})", 400},
        {"DELETE", "/api/instances/i-1", R"({"born":-1})", 400},
        {"GET", "/api/wave-get/x", "", 410},
        {"GET", "/api/wave-get/", "", 410},
        {"GET", "/api/wave-get/18446744073709551616", "", 410},
        {"GET", "/api/wave-get/1x", "", 410},
        {"GET", "/api/instances/i-1", "", 405},
        {"POST", "/api/wave-start", "{}", 400},
        {"POST", "/api/evacuate/", "", 400},
        {"GET", "/api/evacuate/z", "", 405},
        {"PUT", "/api/wave-start", valid_wave, 404},
        {"GET", "/api/other", "", 404}};
    for (const auto& test_case : table) {
      fake_scheduler scheduler;
      auto response = send_to_control(
          scheduler,
          make_request(test_case.method, test_case.target, test_case.body));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::string(test_case.target) + " " + std::string(test_case.body),
          test_case.status, response.status);
      CPPUNIT_ASSERT(scheduler.requests.empty());
    }
  }

  // The server passes any bytes of a path on.
  void an_odd_report_is_rejected_through_the_server() {
    asio::thread_pool pool(2);
    fake_scheduler scheduler;
    http_server server(pool, {});
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_control(std::move(request), scheduler.server(),
                                     {});
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    http_client client;
    std::string nested(1'000'000, '[');
    const std::pair<std::string, std::string> cases[] = {
        {"/api/instances/i-\xff", std::string(valid_report)},
        {"/api/instances/i-1", nested},
        {"/api/instances/i-1", R"({"service":)" + nested}};
    for (const auto& [target, body] : cases) {
      auto request = make_request("PUT", target, body);
      auto result = asio::co_spawn(asio::make_strand(pool),
                                   client.exchange(address, request, {}),
                                   asio::use_future)
                        .get();
      const auto* answered = std::get_if<exchange_completed>(&result);
      CPPUNIT_ASSERT(answered != nullptr);
      CPPUNIT_ASSERT_EQUAL(400, answered->response.status);
      CPPUNIT_ASSERT(answered->response.body.starts_with(R"({"error":)"));
    }
    CPPUNIT_ASSERT(scheduler.requests.empty());
    server.close_idle();
    CPPUNIT_ASSERT(wait_until_idle(server, milliseconds(5000)));
    pool.stop();
    pool.join();
  }

  void sends_heartbeat_address_to_workers() {
    fake_scheduler scheduler;
    auto report = make_request("PUT", "/api/instances/i-1", valid_report);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"),
                         send_to_control(scheduler, report).body);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"beatAddr":"10.0.0.4:8526"})"),
        send_to_control(scheduler, report, "10.0.0.4:8526").body);
    scheduler.response.status = reply_status::unavailable;
    CPPUNIT_ASSERT_EQUAL(
        503, send_to_control(scheduler, report, "10.0.0.4:8526").status);
  }

  // The first call gets its response last. Guards against a response going to
  // the caller of another concurrent request.
  void matches_out_of_order_responses() {
    asio::thread_pool pool(2);
    http_server server(pool, {});
    auto delay_first_call = [&](fleet::request request,
                                milliseconds) -> asio::awaitable<reply> {
      auto path = std::get<fleet::read_request>(request).address.path;
      bool is_first = path.ends_with("1");
      asio::steady_timer timer(pool, milliseconds(is_first ? 300 : 1));
      co_await timer.async_wait(asio::use_awaitable);
      co_return reply{reply_status::done, path, 0, {}};
    };
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), delay_first_call);
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    http_client client;
    std::vector<std::future<exchange_result>> results;
    std::vector<http_request> requests;
    for (int i = 1; i <= 4; ++i) {
      requests.push_back(make_request("GET", "/p/" + std::to_string(i)));
    }
    for (const auto& request : requests) {
      results.push_back(asio::co_spawn(asio::make_strand(pool),
                                       client.exchange(address, request, {}),
                                       asio::use_future));
    }
    for (std::size_t i = 0; i < results.size(); ++i) {
      auto result = results[i].get();
      const auto& answered = std::get<exchange_completed>(result);
      CPPUNIT_ASSERT_EQUAL("{\"state\":\"" + requests[i].target + "\"}",
                           answered.response.body);
    }
    server.close_idle();
    pool.stop();
    pool.join();
  }

  void rejects_body_over_limit() {
    asio::thread_pool pool(2);
    fake_scheduler scheduler;
    http_limits limits;
    limits.body_bytes = 1000;
    http_server server(pool, limits);
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), scheduler.server());
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    http_client client;
    auto request = make_request("POST", "/p/00ff", std::string(5000, 'x'));
    auto result =
        asio::co_spawn(asio::make_strand(pool),
                       client.exchange(address, request, {}), asio::use_future)
            .get();
    CPPUNIT_ASSERT_EQUAL(413,
                         std::get<exchange_completed>(result).response.status);
    CPPUNIT_ASSERT(scheduler.requests.empty());
    server.close_idle();
    pool.stop();
    pool.join();
  }

  void rejects_truncated_body() {
    asio::thread_pool pool(2);
    fake_scheduler scheduler;
    http_server server(pool, {});
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), scheduler.server());
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    using asio::ip::tcp;
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(std::string(
                            "POST /p/00ff HTTP/1.1\r\nHost: q.example\r\n"
                            "Content-Length: 500\r\n\r\n{\"spec\":")));
    socket.shutdown(tcp::socket::shutdown_send);
    boost::system::error_code ec;
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT(scheduler.requests.empty());
    server.close_idle();
    pool.stop();
    pool.join();
  }

  // Guards against a drain that closes a connection on which the next request
  // has already arrived.
  void a_drain_answers_requests_that_already_arrived() {
    asio::thread_pool pool(2);
    http_server server(pool, {});
    auto delay = [&](fleet::request, milliseconds) -> asio::awaitable<reply> {
      asio::steady_timer timer(pool, milliseconds(400));
      co_await timer.async_wait(asio::use_awaitable);
      co_return reply{reply_status::done, "running", 0, {}};
    };
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), delay);
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    using asio::ip::tcp;
    const std::string request = "GET /p/1 HTTP/1.1\r\nHost: q.example\r\n\r\n";
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(request + request));
    asio::steady_timer arrival(pool, milliseconds(100));
    arrival.wait();
    server.drain();
    asio::write(socket, asio::buffer(request));
    boost::system::error_code ec;
    std::string responses;
    asio::read(socket, asio::dynamic_buffer(responses), ec);
    int answered = 0;
    for (auto at = responses.find("HTTP/1.1 200 "); at != responses.npos;
         at = responses.find("HTTP/1.1 200 ", at + 1)) {
      ++answered;
    }
    CPPUNIT_ASSERT_EQUAL(3, answered);
    server.close_idle();
    pool.stop();
    pool.join();
  }

  // Guards against a server that closes a connection, new or kept, on which the
  // request is under way.
  void a_stopping_server_answers_a_request_under_way() {
    asio::thread_pool pool(1);
    fake_scheduler scheduler;
    http_server server(pool, {});
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), scheduler.server());
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    using asio::ip::tcp;
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::steady_timer timer(context);
    while (server.connections() == 0) {
      timer.expires_after(milliseconds(5));
      timer.wait();
    }
    server.close_idle();
    timer.expires_after(milliseconds(20));  // the request arrives after that
    timer.wait();
    asio::write(socket, asio::buffer(std::string(
                            "GET /p/1 HTTP/1.1\r\nHost: q.example\r\n\r\n")));
    std::string response;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(wait_until_idle(server, milliseconds(5000)));
    pool.stop();
    pool.join();
  }

  // Guards against a connection that closes without a response and counts as
  // open permanently, after an exception in the handler.
  void a_failing_handler_still_answers() {
    asio::thread_pool pool(2);
    http_server server(pool, {});
    auto error = server.listen(
        address, [](http_request) -> asio::awaitable<http_response> {
          throw std::runtime_error("a handler that fails");
          co_return http_response{};
        });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    http_client client;
    auto request = make_request("GET", "/p/1");
    auto result =
        asio::co_spawn(asio::make_strand(pool),
                       client.exchange(address, request, {}), asio::use_future)
            .get();
    const auto* answered = std::get_if<exchange_completed>(&result);
    CPPUNIT_ASSERT(answered != nullptr);
    CPPUNIT_ASSERT_EQUAL(500, answered->response.status);
    server.close_idle();
    CPPUNIT_ASSERT(wait_until_idle(server, milliseconds(5000)));
    pool.stop();
    pool.join();
  }

  // Guards against two runs of one task: a start whose persistent connection
  // broke counted as not sent when no new connection could be opened, although
  // the worker may have carried it out.
  void a_request_that_was_sent_once_does_not_count_as_not_sent() {
    using asio::ip::tcp;
    asio::io_context context;
    tcp::acceptor acceptor(context,
                           {asio::ip::make_address("127.0.0.1"), port});
    std::thread server([&] {
      tcp::socket socket(context);
      acceptor.accept(socket);
      std::string received;
      asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
      asio::write(socket, asio::buffer(std::string(
                              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
      received.clear();
      asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
      acceptor.close();
    });
    asio::thread_pool pool(1);
    http_client client;
    auto request = make_request("GET", "/p/1");
    exchange_limits limits;
    limits.idempotent = true;
    auto exchange = [&] {
      return asio::co_spawn(asio::make_strand(pool),
                            client.exchange(address, request, limits),
                            asio::use_future)
          .get();
    };
    auto first = exchange();
    auto second = exchange();
    server.join();
    pool.join();
    CPPUNIT_ASSERT(std::holds_alternative<exchange_completed>(first));
    CPPUNIT_ASSERT(std::holds_alternative<exchange_incomplete>(second));
  }

  // Guards against a server that retries a failing accept without a pause and
  // so takes the processor from the requests in progress.
  void a_lack_of_descriptors_occupies_no_thread() {
    asio::thread_pool pool(1);
    fake_scheduler scheduler;
    http_server server(pool, {});
    auto error = server.listen(address, [&](http_request request) {
      return platform::serve_caller(std::move(request), scheduler.server());
    });
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
    using asio::ip::tcp;
    asio::io_context context;
    tcp::socket socket(context);
    socket.open(tcp::v4());
    asio::steady_timer measurement(context);
    rlimit before{};
    ::getrlimit(RLIMIT_NOFILE, &before);
    auto lowest_free = ::dup(STDERR_FILENO);
    ::close(lowest_free);
    rlimit none_left{static_cast<rlim_t>(lowest_free), before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &none_left);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    auto cpu_before = std::clock();
    measurement.expires_after(milliseconds(500));
    measurement.wait();
    auto cpu_used = std::clock() - cpu_before;
    ::setrlimit(RLIMIT_NOFILE, &before);
    asio::write(socket, asio::buffer(std::string(
                            "GET /p/1 HTTP/1.1\r\nHost: q.example\r\n\r\n")));
    std::string response;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(response), "}", ec);
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(cpu_used < CLOCKS_PER_SEC / 10);
    server.close_idle();
    pool.stop();
    pool.join();
  }

 private:
  static constexpr std::uint16_t port = 18'911;
  static constexpr std::string_view address = "127.0.0.1:18911";
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_test);
