#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "adapters/fleet_codec.h"
#include "adapters/settings.h"
#include "platform/bodies.h"
#include "platform/node_settings.h"
#include "platform/platform_http_client.h"
#include "platform/services.h"
#include "platform/settings_watcher.h"

using namespace parsleyledge;
using platform::body_error;

namespace {

const std::string valid_site = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "prefix": "/one/", "kind": "unsafe",
     "timeoutMs": 3000, "sloMs": 1000, "prio": 1, "service": "s",
     "attempts": 2, "stretch": 3.0, "public": false},
    {"name": "r2", "host": "a.example", "prefix": "/one/two/",
     "timeoutMs": 3000, "service": "s", "public": true,
     "advice": {"decideMs": 20, "periodMs": 2, "validMs": 3000}}],
  "services": [{"name": "s", "enforcesCapacity": true, "later": 1}],
  "limits": {"bodyBytes": 262144},
  "tenants": [
    {"name": "t1", "apiKeys": ["k1", "k2"], "guaranteed": {"gpu": 72}},
    {"name": "t2", "apiKeys": ["k3"]}]})";

const std::string valid_report = R"({"service": "s", "addr": "10.0.0.1:80",
  "zone": "z", "version": "v1", "slots": 8, "state": "ready",
  "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 8},
  "labels": ["a", "r1-3"], "clockMs": 482113, "seq": 4, "born": 1700000000123,
  "machine": "m-1"})";

/// Replaces the first `from` in the text by `to`.
auto replace_first(std::string text, const std::string& from,
                   const std::string& to) -> std::string {
  auto at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE("no " + from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/// Numbers, and what may stand in their place, that no field allows.
auto odd_numbers() -> std::vector<std::string> {
  return {"1e300",
          "1e19",
          "-1",
          "9223372036854775807",
          "9.223372036854775807e18",
          "18446744073709551615",
          "18446744073709551616",
          "1" + std::string(400, '0'),
          "0.5",
          "\"5\"",
          "true",
          "[]",
          "{}"};
}

/// A value inside this many levels of brackets.
auto nest(const std::string& open, const std::string& close, int levels,
          const std::string& value = "") -> std::string {
  std::string text;
  for (int i = 0; i < levels; ++i) text += open;
  text += value;
  for (int i = 0; i < levels; ++i) text += close;
  return text;
}

/// The body after a few random changes.
auto mutate(std::string body) -> std::string {
  auto changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !body.empty(); ++i) {
    auto at = *rc::gen::inRange<std::size_t>(0, body.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        body.erase(at);
        break;
      case 1:
        body.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        break;
      case 2:
        body.insert(at, *rc::gen::elementOf(odd_numbers()));
        break;
      default:
        body[at] = *rc::gen::arbitrary<char>();
    }
  }
  return body;
}

/// Addresses that no call may go to.
auto invalid_addresses() -> std::vector<std::string> {
  return {"",
          ":",
          ":80",
          "127.0.0.1",
          "127.0.0.1:",
          "127.0.0.1:0",
          "127.0.0.1:65536",
          "127.0.0.1:99999",
          "127.0.0.1:-1",
          "127.0.0.1:+80",
          "127.0.0.1: 80",
          "127.0.0.1:80 ",
          "127.0.0.1:abc",
          "127.0.0.1:18446744073709551615",
          "host:80",
          "127.0.0.256:80",
          "127.1:80",
          "[::1]:80",
          "::1:80",
          "[",
          "127.0.0.1:80:80",
          "127.0.0.1:1e2",
          std::string(100'000, '1') + ":80",
          std::string(100'000, '1')};
}

template <typename T>
auto is_rejected(const std::variant<T, body_error>& result) -> bool {
  return std::holds_alternative<body_error>(result);
}

template <typename T>
auto is(const fleet::worker_response& response) -> bool {
  return std::holds_alternative<T>(response);
}

}  // namespace

class platform_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_test);
  CPPUNIT_TEST(reads_a_configuration);
  CPPUNIT_TEST(rejects_invalid_configurations);
  CPPUNIT_TEST(reads_a_job);
  CPPUNIT_TEST(rejects_invalid_jobs);
  CPPUNIT_TEST(rejects_jobs_with_odd_numbers);
  CPPUNIT_TEST(rejects_jobs_of_too_many_tasks);
  CPPUNIT_TEST(reads_a_report);
  CPPUNIT_TEST(reads_a_capacity_that_is_left_out_as_none);
  CPPUNIT_TEST(rejects_invalid_reports);
  CPPUNIT_TEST(rejects_reports_with_invalid_ids);
  CPPUNIT_TEST(rejects_reports_with_invalid_addresses);
  CPPUNIT_TEST(a_call_to_an_invalid_address_gets_no_response);
  CPPUNIT_TEST(a_start_without_a_response_is_not_repeated_by_the_client);
  CPPUNIT_TEST(rejects_reports_with_odd_fields);
  CPPUNIT_TEST(deep_nesting_is_an_error);
  CPPUNIT_TEST(any_mutation_of_a_report_is_read_or_rejected);
  CPPUNIT_TEST(any_mutation_of_another_body_is_read_or_rejected);
  CPPUNIT_TEST(writes_and_parses_task_names);
  CPPUNIT_TEST(writes_worker_requests);
  CPPUNIT_TEST(reads_worker_responses);
  CPPUNIT_TEST(odd_poll_responses_count_as_no_response);
  CPPUNIT_TEST(odd_rows_of_a_poll_response_are_bounded_or_skipped);
  CPPUNIT_TEST(reads_settings);
  CPPUNIT_TEST(rejects_invalid_settings);
  CPPUNIT_TEST(reads_waves);
  CPPUNIT_TEST(rejects_waves_with_odd_fields);
  CPPUNIT_TEST(rejects_configurations_with_odd_numbers);
  CPPUNIT_TEST(rejects_settings_with_odd_values);
  CPPUNIT_TEST(odd_advice_counts_as_no_response);
  CPPUNIT_TEST(odd_entries_of_the_list_of_machines_are_skipped);
  CPPUNIT_TEST(applies_changes_of_a_settings_file);
  CPPUNIT_TEST(writes_advice_calls_and_reads_responses);
  CPPUNIT_TEST(writes_maintenance_calls_and_reads_responses);
  CPPUNIT_TEST(reads_pages_of_the_list_of_machines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reads_a_configuration() {
    auto result = platform::parse_site(valid_site);
    CPPUNIT_ASSERT(!is_rejected(result));
    const auto& site = std::get<fleet::site>(result);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, site.version);
    const auto* one = find_queue(site, "a.example", "/one/x");
    const auto* two = find_queue(site, "a.example", "/one/two/x");
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), one->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), two->name);
    CPPUNIT_ASSERT(find_queue(site, "b.example", "/one/x") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, one->attempts);
    CPPUNIT_ASSERT(two->allows_anonymous && two->advice.has_value());
    CPPUNIT_ASSERT(site.services.at("s").enforces_capacity);
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), site.customer_by_key.at("k3"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{72},
                         site.customers.at("t1").guaranteed_accelerators);
  }

  void rejects_invalid_configurations() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"truncated", valid_site.substr(0, valid_site.size() / 2)},
        {"not an object", "[]"},
        {"empty", ""},
        {"unknown service",
         replace_first(valid_site, R"("service": "s",)", R"("service": "x",)")},
        {"the same host and prefix twice",
         replace_first(valid_site, "/one/two/", "/one/")},
        {"a zero timeout",
         replace_first(valid_site, "\"timeoutMs\": 3000", "\"timeoutMs\": 0")},
        {"an API key of two customers", replace_first(valid_site, "k3", "k1")},
        {"no version", replace_first(valid_site, "\"version\": 7,", "")},
        {"a version as text", replace_first(valid_site, ": 7,", ": \"7\",")},
        {"a route without a host",
         replace_first(valid_site, "\"host\": \"a.example\",", "")},
        {"routes of another type",
         replace_first(valid_site, "\"routes\": [", "\"routes\": [1,")},
        {"a key of another type", replace_first(valid_site, "\"k1\"", "5")}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name, is_rejected(platform::parse_site(body)));
    }
  }

  void reads_a_job() {
    auto result = platform::parse_job(
        R"({"spec": "x", "times": 3, "offsetMs": 1700000000000,
            "intervalMs": 2000, "unknown": {},
            "steps": [{"count": 4, "cpu": 500, "memMb": 256, "estMs": 900,
                       "gang": true, "dataRack": "r1-3"},
                      {"count": 20, "gpu": 2, "after": [0],
                       "checkpoint": true, "requires": "a",
                       "maxPerServer": 2}]})");
    CPPUNIT_ASSERT(!is_rejected(result));
    const auto& job = std::get<fleet::job_spec>(result);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, job.occurrences);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job.steps.size());
    CPPUNIT_ASSERT(job.steps[0].gang);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job.steps[0].data_rack);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.steps[1].after.at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, job.steps[1].max_per_worker);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000002000}, to_ms(due_at(job, 1)));
  }

  void rejects_invalid_jobs() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"no steps", R"({"spec": "x"})"},
        {"an empty list of steps", R"({"steps": []})"},
        {"a step that depends on itself",
         R"({"steps": [{"count": 1, "after": [0]}]})"},
        {"a step without tasks", R"({"steps": [{"count": 0}]})"},
        {"a count as text", R"({"steps": [{"count": "4"}]})"},
        {"a negative demand", R"({"steps": [{"count": 1, "cpu": -5}]})"},
        {"a step of another type", R"({"steps": [4]})"},
        {"a spec over 4000 bytes", R"({"spec": ")" + std::string(4001, 'x') +
                                       R"(", "steps": [{"count": 1}]})"},
        {"truncated", R"({"steps": [{"count": 1)"}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name, is_rejected(platform::parse_job(body)));
    }
  }

  void rejects_jobs_with_odd_numbers() {
    auto values = odd_numbers();
    values.emplace_back("4294967296");  // 0 in 32 bits
    for (const auto& value : values) {
      for (const std::string name : {"times", "offsetMs", "intervalMs"}) {
        if (name == "offsetMs" && value == "4294967296") continue;
        if (name == "intervalMs" && value == "4294967296") continue;
        auto body = "{\"" + name + "\":" + value + R"(,"steps":[{"count":1}]})";
        CPPUNIT_ASSERT_MESSAGE(body, is_rejected(platform::parse_job(body)));
      }
      for (const std::string name : {"cpu", "memMb", "gpu", "estMs", "targetMs",
                                     "maxPerServer", "mayMiss", "after"}) {
        bool is_in_range = value == "4294967296" && name != "maxPerServer" &&
                           name != "mayMiss" && name != "after";
        if (is_in_range || (name == "after" && value == "[]")) continue;
        auto body = R"({"steps":[{"count":1,")" + name + "\":" + value + "}]}";
        CPPUNIT_ASSERT_MESSAGE(body, is_rejected(platform::parse_job(body)));
        body = R"({"steps":[{"count":1},{"count":1,"after":[)" + value + "]}]}";
        CPPUNIT_ASSERT_MESSAGE(body, is_rejected(platform::parse_job(body)));
      }
      auto body = R"({"steps":[{"count":)" + value + "}]}";
      CPPUNIT_ASSERT_MESSAGE(body, is_rejected(platform::parse_job(body)));
    }
    for (const std::string name : {"spec", "requires", "dataRack", "image"}) {
      auto body = R"({"steps":[{"count":1,")" + name + "\":\"" +
                  std::string(100'000, 'x') + "\"}],\"spec\":\"" +
                  std::string(name == "spec" ? 100'000 : 1, 'x') + "\"}";
      CPPUNIT_ASSERT_MESSAGE(name, is_rejected(platform::parse_job(body)));
    }
  }

  // Each replica allocates a record per task when an occurrence starts.
  void rejects_jobs_of_too_many_tasks() {
    auto job_of = [](int steps, const std::string& count,
                     const std::string& after = "") {
      std::string body = R"({"steps":[)";
      for (int i = 0; i < steps; ++i) {
        body += std::string(i == 0 ? "" : ",") + R"({"count":)" + count +
                (i + 1 < steps ? "" : after) + "}";
      }
      return body + "]}";
    };
    CPPUNIT_ASSERT(!is_rejected(platform::parse_job(job_of(1, "100000"))));
    CPPUNIT_ASSERT(!is_rejected(platform::parse_job(job_of(4, "25000"))));
    CPPUNIT_ASSERT(is_rejected(platform::parse_job(job_of(1, "100001"))));
    CPPUNIT_ASSERT(is_rejected(platform::parse_job(job_of(2, "50001"))));
    CPPUNIT_ASSERT(is_rejected(platform::parse_job(job_of(15'000, "100000"))));
    CPPUNIT_ASSERT(is_rejected(platform::parse_job(job_of(20'000, "1"))));
    CPPUNIT_ASSERT(
        is_rejected(platform::parse_job(job_of(2, "1", ",\"after\":[0,0]"))));
  }

  void reads_a_report() {
    auto result = platform::parse_report("i-1", valid_report);
    CPPUNIT_ASSERT(!is_rejected(result));
    const auto& report = std::get<fleet::worker_report>(result);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), report.rack);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123},
                         report.incarnation.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, report.capacity.accelerators);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{482113}, *report.clock_ms);
  }

  // A worker that reports no capacity gets no work, rather than work that may
  // exceed it.
  void reads_a_capacity_that_is_left_out_as_none() {
    auto capacity_in = [](const std::string& body) {
      auto result = platform::parse_report("i-1", body);
      CPPUNIT_ASSERT(!is_rejected(result));
      return std::get<fleet::worker_report>(result).capacity;
    };
    const std::string text =
        R"("capacity": {"cpu": 16000, "memMb": 32768, "gpu": 8},)";
    CPPUNIT_ASSERT(capacity_in(replace_first(valid_report, text, "")) ==
                   fleet::resources{});
    CPPUNIT_ASSERT(
        capacity_in(replace_first(valid_report, text, R"("capacity": {},)")) ==
        fleet::resources{});
    CPPUNIT_ASSERT(
        capacity_in(replace_first(valid_report, ", \"gpu\": 8", "")) ==
        (fleet::resources{16'000, 32'768, 0}));
  }

  void rejects_invalid_reports() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"invalid UTF-8", "\xff\xfe{"},
        {"an unknown state", replace_first(valid_report, "ready", "resting")},
        {"no address",
         replace_first(valid_report, "\"addr\": \"10.0.0.1:80\",", "")},
        {"a service of another type",
         replace_first(valid_report, "\"service\": \"s\"", "\"service\": 5")},
        {"no sequence number", replace_first(valid_report, "\"seq\": 4,", "")},
        {"labels of another type",
         replace_first(valid_report, "[\"a\", \"r1-3\"]", "\"a\"")},
        {"capacity of another type",
         replace_first(valid_report, "\"gpu\": 8", "\"gpu\": \"8\"")}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name,
                             is_rejected(platform::parse_report("i-1", body)));
    }
  }

  // The id is part of the path, so nothing else checks its characters. A name
  // that is not UTF-8 would be committed and could not be decoded again: every
  // replica would end, and again after each restart.
  void rejects_reports_with_invalid_ids() {
    const std::vector<std::string> ids = {"",
                                          "i-\xff",
                                          "\xc3\x28",
                                          "i 1",
                                          "i\r\nX-Other: 1",
                                          std::string("i\0x", 3),
                                          std::string(100'000, 'i')};
    for (const auto& id : ids) {
      auto result = platform::parse_report(id, valid_report);
      CPPUNIT_ASSERT_MESSAGE(id.substr(0, 20), is_rejected(result));
      CPPUNIT_ASSERT_EQUAL(std::string("the worker's id is malformed"),
                           std::get<body_error>(result).detail);
    }
    CPPUNIT_ASSERT(
        !is_rejected(platform::parse_report("i-1%20_x~y", valid_report)));
  }

  void rejects_reports_with_invalid_addresses() {
    for (const auto& address : invalid_addresses()) {
      auto body = replace_first(valid_report, "10.0.0.1:80", address);
      auto result = platform::parse_report("i-1", body);
      CPPUNIT_ASSERT_MESSAGE(address.substr(0, 40), is_rejected(result));
      CPPUNIT_ASSERT_EQUAL(std::string("field addr is not an IPv4 address with "
                                       "a port from 1 to 65535"),
                           std::get<body_error>(result).detail);
    }
  }

  // The tables may have the record of a worker that an earlier version
  // accepted, and a call that ends by an exception would stay in flight for
  // good: its worker would get no further call.
  void a_call_to_an_invalid_address_gets_no_response() {
    boost::asio::io_context context;
    platform::platform_http_client client({});
    std::string faults;
    auto addresses = invalid_addresses();
    addresses.push_back(std::string("127.0.0.1\0:80", 13));
    // A port whose lower 16 bits are the port of a server.
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    constexpr unsigned port_count = 65536;
    auto port = acceptor.local_endpoint().port();
    addresses.push_back("127.0.0.1:" + std::to_string(port_count + port));
    for (const auto& address : addresses) {
      fleet::send_worker_request request{
          1, {"i-1", 5}, address, 7, fleet::poll_request{}, milliseconds(200)};
      auto response =
          boost::asio::co_spawn(context, client.call_worker(std::move(request)),
                                boost::asio::use_future);
      context.restart();
      context.run();
      auto name = address.substr(0, 40);
      try {
        auto result = response.get();
        const auto* none = std::get_if<fleet::worker_no_response>(&result);
        if (none == nullptr || none->sent) faults += name + " was called\n";
      } catch (const std::exception& error) {
        faults += name + ": " + error.what() + "\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Guards against two runs of one task: a start that got no response on a kept
  // connection was repeated below the dispatcher, which took the rejection of
  // the copy to mean that the task could be placed elsewhere.
  void a_start_without_a_response_is_not_repeated_by_the_client() {
    using boost::asio::ip::tcp;
    boost::asio::io_context server_context;
    tcp::acceptor acceptor(server_context,
                           {boost::asio::ip::address_v4::loopback(), 0});
    auto address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::size_t starts = 0;
    std::thread worker([&] {
      auto answer = [&](tcp::socket& socket, std::string_view status,
                        std::string_view body) {
        boost::asio::write(
            socket, boost::asio::buffer(
                        "HTTP/1.1 " + std::string(status) +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + std::string(body)));
      };
      auto read_request = [](tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        boost::beast::error_code ec;
        boost::beast::http::read(socket, buffer, request, ec);
        return std::string(request.target());
      };
      // Answers a poll, and closes the connection when the start has arrived.
      tcp::socket kept(server_context);
      acceptor.accept(kept);
      read_request(kept);
      answer(kept, "200 OK", R"({"clockMs":5,"running":[],"finished":[]})");
      if (read_request(kept) == "/api/run-start") ++starts;
      kept.close();
      // Rejects what comes on later connections. The test itself opens the
      // last one.
      while (true) {
        tcp::socket socket(server_context);
        acceptor.accept(socket);
        auto target = read_request(socket);
        if (target == "/end") return;
        if (target == "/api/run-start") ++starts;
        answer(socket, "503 Service Unavailable", "");
      }
    });
    boost::asio::io_context context;
    platform::platform_http_client client({});
    auto call = [&](fleet::worker_request request) {
      auto response =
          boost::asio::co_spawn(context,
                                client.call_worker({1,
                                                    {"i-1", 5},
                                                    address,
                                                    7,
                                                    std::move(request),
                                                    milliseconds(2000)}),
                                boost::asio::use_future);
      context.restart();
      context.run();
      return response.get();
    };
    auto polled = call(fleet::poll_request{});
    fleet::start_request start;
    start.run = 1;
    auto started = call(start);
    tcp::socket last(context);
    last.connect(acceptor.local_endpoint());
    boost::asio::write(
        last, boost::asio::buffer(std::string("GET /end HTTP/1.1\r\n\r\n")));
    worker.join();
    CPPUNIT_ASSERT(std::holds_alternative<fleet::poll_response>(polled));
    const auto* none = std::get_if<fleet::worker_no_response>(&started);
    CPPUNIT_ASSERT(none != nullptr);
    CPPUNIT_ASSERT(none->sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts);
  }

  void rejects_reports_with_odd_fields() {
    const std::vector<std::pair<std::string, std::string>> numbers = {
        {"\"cpu\": 16000", "cpu"},
        {"\"memMb\": 32768", "memMb"},
        {"\"gpu\": 8", "gpu"},
        {"\"clockMs\": 482113", "clockMs"},
        {"\"seq\": 4", "seq"},
        {"\"born\": 1700000000123", "born"},
        {"\"remainingMs\": 5", "remainingMs"}};
    auto report =
        replace_first(valid_report, "\"seq\"", "\"remainingMs\": 5, \"seq\"");
    CPPUNIT_ASSERT(!is_rejected(platform::parse_report("i-1", report)));
    for (const auto& [text, name] : numbers) {
      for (const auto& value : odd_numbers()) {
        auto field = "\"" + name + "\": " + value;
        check_rejected_field(replace_first(report, text, field), name, field);
      }
    }
    const std::string long_text(100'000, 'x');
    const std::vector<std::pair<std::string, std::string>> texts = {
        {"\"service\": \"s\"", "service"},
        {"\"zone\": \"z\"", "zone"},
        {"\"machine\": \"m-1\"", "machine"},
        {"\"state\": \"ready\"", "state"}};
    for (const auto& [text, name] : texts) {
      for (const auto& value :
           {std::string("5"), std::string("[]"), std::string("{}"),
            std::string("true"), "\"" + long_text + "\""}) {
        auto field = "\"" + name + "\": " + value;
        check_rejected_field(replace_first(report, text, field), name,
                             field.substr(0, 40));
      }
    }
    check_rejected_field(
        replace_first(report, "[\"a\"", "[\"" + long_text + "\""), "labels",
        "a long label");
    std::string labels;
    for (int i = 0; i < 10'000; ++i) labels += "\"l\",";
    check_rejected_field(
        replace_first(report, "[\"a\"", "[" + labels + "\"a\""), "labels",
        "many labels");
    // The last of two fields of one name counts.
    check_rejected_field(
        replace_first(report, "\"seq\"", "\"clockMs\": \"x\", \"seq\""),
        "clockMs", "a duplicate");
  }

  void deep_nesting_is_an_error() {
    constexpr int levels = 10'000;
    for (const auto& nested :
         {nest("[", "]", levels), nest(R"({"a":)", "}", levels, "1"),
          nest("[", "", levels)}) {
      auto report = replace_first(valid_report, "\"seq\"",
                                  "\"x\": " + nested + ", \"seq\"");
      CPPUNIT_ASSERT(is_rejected(platform::parse_report("i-1", report)));
      auto in_object = R"({"x":)" + nested + "}";
      CPPUNIT_ASSERT(is_rejected(platform::parse_job(in_object)));
      CPPUNIT_ASSERT(is_rejected(platform::parse_site(in_object)));
      CPPUNIT_ASSERT(is_rejected(platform::parse_wave(in_object)));
      CPPUNIT_ASSERT(
          is<fleet::worker_no_response>(platform::parse_worker_response(
              fleet::poll_request{}, 200, in_object)));
      CPPUNIT_ASSERT(std::holds_alternative<fleet::advice_no_response>(
          platform::parse_advice_response(200, in_object)));
      std::vector<fleet::listed_machine> machines;
      std::string next_page;
      CPPUNIT_ASSERT(!platform::parse_machines(in_object, machines, next_page));
    }
  }

  void any_mutation_of_a_report_is_read_or_rejected() {
    bool passed = rc::check([] { check_survives(mutate(valid_report)); });
    CPPUNIT_ASSERT(passed);
  }

  // What is accepted keeps within the ranges in which sums stay in 64 bits.
  void any_mutation_of_another_body_is_read_or_rejected() {
    const std::string valid_job =
        R"({"spec":"x","times":3,"offsetMs":1700000000000,"intervalMs":2000,)"
        R"("steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900},)"
        R"({"count":20,"gpu":2,"after":[0],"maxPerServer":2}]})";
    const std::string valid_poll =
        R"({"clockMs":482113,"born":9,)"
        R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,1.5]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","s"]]})";
    const std::string valid_wave =
        R"({"wave":1,"machines":["m1","m2"],"durationS":20,"maxCount":1})";
    const std::string valid_advice =
        R"({"allowed":[["i-1","t"],["i-2","u"]],"validMs":3000})";
    const std::string valid_list =
        R"({"machines":[{"machine":"m-1","state":"up"}],"nextToken":"p2"})";
    constexpr std::int64_t max_ms = 10'000'000'000'000;
    bool passed = rc::check([&] {
      auto job = platform::parse_job(mutate(valid_job));
      if (const auto* spec = std::get_if<fleet::job_spec>(&job)) {
        RC_ASSERT(!spec->steps.empty());
        RC_ASSERT(spec->occurrences <= 1'000'000U);
        RC_ASSERT(spec->interval.count() <= max_ms);
        for (const auto& step : spec->steps) RC_ASSERT(step.tasks <= 100'000U);
      }
      auto site = platform::parse_site(mutate(valid_site));
      if (const auto* config = std::get_if<fleet::site>(&site)) {
        for (const auto& q : config->queues) {
          RC_ASSERT(q.attempts >= 1U);
          RC_ASSERT(q.stretch >= 0 && q.stretch <= 1000);
        }
      }
      auto wave = platform::parse_wave(mutate(valid_wave));
      if (const auto* start = std::get_if<fleet::start_wave_request>(&wave)) {
        RC_ASSERT(start->wave.max_concurrent >= 1U);
        RC_ASSERT(start->wave.duration.count() >= 0);
        RC_ASSERT(start->wave.duration.count() <= max_ms);
      }
      auto polled = platform::parse_worker_response(fleet::poll_request{}, 200,
                                                    mutate(valid_poll));
      if (const auto* lists = std::get_if<fleet::poll_response>(&polled)) {
        RC_ASSERT(lists->clock_ms >= 0 && lists->clock_ms <= max_ms);
        for (const auto& run : lists->running) RC_ASSERT(run.percent <= 100U);
      }
      auto advice = platform::parse_advice_response(200, mutate(valid_advice));
      if (const auto* given = std::get_if<fleet::advice_given>(&advice)) {
        RC_ASSERT(given->validity.count() <= max_ms);
      }
      std::vector<fleet::listed_machine> machines;
      std::string next_page;
      std::ignore =
          platform::parse_machines(mutate(valid_list), machines, next_page);
    });
    CPPUNIT_ASSERT(passed);
  }

  void writes_and_parses_task_names() {
    auto stop = platform::write_worker_call(
        fleet::stop_request{{{0x5c0e7a21d94b36f8}, 0, 1, 17}, 2}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/run-stop"), stop.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"fence":7,"task":"5c0e7a21d94b36f8.0.1.17","run":2})"),
        stop.body);
    auto task = platform::parse_task_name("5c0e7a21d94b36f8.0.1.17");
    CPPUNIT_ASSERT(task.has_value());
    CPPUNIT_ASSERT(*task == (fleet::task_ref{{0x5c0e7a21d94b36f8}, 0, 1, 17}));
    for (const auto* invalid :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1",
          "5c0e7a21d94b36f8.0.1.x", "zz.0.1.2", "5c0e7a21d94b36f8.0.1.17.3"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid,
                             !platform::parse_task_name(invalid).has_value());
    }
  }

  void writes_worker_requests() {
    auto start = platform::write_worker_call(
        fleet::start_request{{{1}, 2, 3, 4}, 5, "text", 486'000, "snap", ""},
        7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/run-start"), start.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"fence":7,"task":"0000000000000001.2.3.4","run":5,)"
                    R"("spec":"text","deadlineMs":486000,"snapshot":"snap"})"),
        start.body);
    auto poll = platform::write_worker_call(
        fleet::poll_request{486'000, 57, milliseconds(1000)}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/hold"), poll.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"fence":7,"deadlineMs":486000,"ackedSeq":57,"waitMs":1000})"),
        poll.body);
    auto default_poll = platform::write_worker_call(fleet::poll_request{}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"fence":7,"ackedSeq":0})"),
                         default_poll.body);
  }

  void reads_worker_responses() {
    fleet::worker_request start = fleet::start_request{};
    fleet::worker_request poll = fleet::poll_request{};
    using namespace fleet;
    auto parse = platform::parse_worker_response;
    CPPUNIT_ASSERT(is<request_accepted>(parse(start, 200, R"({"clockMs":5})")));
    CPPUNIT_ASSERT(is<wrong_incarnation>(parse(start, 421, "")));
    CPPUNIT_ASSERT(is<worker_unavailable>(parse(start, 429, "")));
    CPPUNIT_ASSERT(is<worker_unavailable>(parse(start, 503, "x")));
    CPPUNIT_ASSERT(is<worker_no_response>(parse(start, 200, R"({"clock)")));
    CPPUNIT_ASSERT(is<worker_no_response>(parse(start, 500, "{}")));
    const std::vector<std::pair<std::string, rejection>> reasons = {
        {"fence", rejection::stale_fence},
        {"old", rejection::stale_run},
        {"late", rejection::lease_expired},
        {"room", rejection::no_capacity},
        {"ticket", rejection::no_ticket},
        {"unknown reason", rejection::invalid}};
    for (const auto& [reason, why] : reasons) {
      auto response =
          parse(start, 409, R"({"clockMs":5,"reason":")" + reason + "\"}");
      CPPUNIT_ASSERT(is<request_rejected>(response));
      CPPUNIT_ASSERT(std::get<request_rejected>(response).reason == why);
    }
    auto polled = parse(poll, 200, R"({"clockMs":482113,"born":9,
      "running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,1.5],["bad",1],7],
      "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","s"],
                  [59,"5c0e7a21d94b36f8.0.1.8",1,"odd",""]]})");
    CPPUNIT_ASSERT(is<poll_response>(polled));
    const auto& lists = std::get<poll_response>(polled);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, lists.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.running.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{41}, lists.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, lists.ended[0].sequence);
  }

  // A run that a poll does not list counts as lost and starts elsewhere, so a
  // list that cannot be read must not count as an empty one.
  void odd_poll_responses_count_as_no_response() {
    const std::string task = "\"5c0e7a21d94b36f8.0.1.17\"";
    std::vector<std::string> bodies = {
        R"({"clockMs":5,"running":7,"finished":[]})",
        R"({"clockMs":5,"running":{},"finished":[]})",
        R"({"clockMs":5,"running":"none","finished":[]})",
        R"({"clockMs":5,"running":[],"finished":7})",
        "{\"clockMs\":5,\"running\":[[" + task + "]]}",
        R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,")"
        "\xff"
        R"(",1,1]]})",
        R"({"clockMs":5,"running":[["5c0e)"};
    for (const auto& value : odd_numbers()) {
      bodies.push_back("{\"clockMs\":" + value + ",\"running\":[]}");
      bodies.push_back("{\"clockMs\":5,\"born\":" + value + "}");
      bodies.push_back("{\"clockMs\":5,\"running\":[[" + task + "," + value +
                       ",\"\",1,1]]}");
    }
    for (const auto& body : bodies) {
      auto response =
          platform::parse_worker_response(fleet::poll_request{}, 200, body);
      CPPUNIT_ASSERT_MESSAGE(body, is<fleet::worker_no_response>(response));
    }
    for (const auto& value : odd_numbers()) {
      auto body = "{\"clockMs\":" + value + ",\"reason\":\"late\"}";
      CPPUNIT_ASSERT_MESSAGE(
          body, is<fleet::worker_no_response>(platform::parse_worker_response(
                    fleet::start_request{}, 200, body)));
      auto rejected =
          platform::parse_worker_response(fleet::start_request{}, 409, body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          body, std::int64_t{0},
          std::get<fleet::request_rejected>(rejected).clock_ms);
    }
  }

  void odd_rows_of_a_poll_response_are_bounded_or_skipped() {
    for (const auto& value : odd_numbers()) {
      auto response = platform::parse_worker_response(
          fleet::poll_request{}, 200,
          R"({"clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"s",)" +
              value + "," + value + R"(]],"finished":[[)" + value +
              R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)" +
              R"([58,"5c0e7a21d94b36f8.0.1.9",)" + value +
              R"(,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"done",""]]})");
      CPPUNIT_ASSERT_MESSAGE(value, is<fleet::poll_response>(response));
      const auto& lists = std::get<fleet::poll_response>(response);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.running.size());
      CPPUNIT_ASSERT_MESSAGE(value, lists.running[0].percent <= 100);
      CPPUNIT_ASSERT_MESSAGE(value, lists.running[0].load >= 0);
      CPPUNIT_ASSERT_MESSAGE(value, lists.running[0].load <= 1'000'000'000'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::size_t{1}, lists.ended.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, lists.ended[0].sequence);
    }
    for (const auto* name :
         {"5c0e7a21d94b36f8.4294967296.1.17", "5c0e7a21d94b36f8.-1.1.17",
          "5c0e7a21d94b36f8.0.99999999999999999999.17",
          "5c0e7a21d94b36f85.0.1.17", "ffffffffffffffffffff.0.1.17"}) {
      CPPUNIT_ASSERT_MESSAGE(name, !platform::parse_task_name(name));
    }
    CPPUNIT_ASSERT(!platform::parse_task_name(std::string(100'000, '1')));
  }

  void reads_settings() {
    auto result = platform::parse_settings(
        "node=edge-1\nrole=x\nip=10.1.0.19\nzone=a\nlisten.front=10.1.0.19:85\n"
        "portRange=7000,7015\nseeds=10.1.0.19:86,10.2.0.35:86\nbootstrap=true\n"
        "limits.cores=2\nlimits.cpuShare=0.5\nbounds.graceS=6\n"
        "bounds.reuseAfterS=3\ntolerate.machines=2\nnew.key=1\n"
        "advice=\n");
    CPPUNIT_ASSERT(std::holds_alternative<platform::node_settings>(result));
    const auto& node = std::get<platform::node_settings>(result);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, node.grace.count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, node.min_restart_time.count());
    CPPUNIT_ASSERT(node.first_start);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, node.tolerated_machines);
    CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.35:7000"),
                         platform::peer_address(node, node.seeds[1]));
  }

  void rejects_invalid_settings() {
    const std::string valid = "node=n\nip=10.0.0.1\nportRange=7000,7015\n";
    const std::vector<std::pair<std::string, std::size_t>> cases = {
        {valid + "no sign", 4},
        {valid + "bootstrap=yes", 4},
        {valid + "seeds=here", 4},
        {valid + "bounds.graceS=soon", 4},
        {valid + "limits.cores=0", 4},
        {valid + "tolerate.machines=-1", 4},
        {valid + "tolerate.machines=1.5", 4},
        {valid + "listen.front=front", 4},
        {"ip=10.0.0.1\nportRange=7000,7015\n", 0},
        {"node=n\nip=10.0.0.1\nportRange=9,5\n", 3},
        {"", 0}};
    for (const auto& [text, line] : cases) {
      auto result = platform::parse_settings(text);
      const auto* error = std::get_if<platform::settings_error>(&result);
      CPPUNIT_ASSERT_MESSAGE(text, error != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line, error->line);
      CPPUNIT_ASSERT(!to_string(*error).empty());
    }
  }

  void reads_waves() {
    auto result = platform::parse_wave(
        R"({"wave":1,"machines":["m1","m2"],"durationS":20,"maxCount":1})");
    CPPUNIT_ASSERT(!is_rejected(result));
    const auto& wave = std::get<fleet::start_wave_request>(result);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{20'000}, wave.wave.duration.count());
    CPPUNIT_ASSERT(is_rejected(platform::parse_wave(R"({"wave":1})")));
    CPPUNIT_ASSERT(is_rejected(platform::parse_wave("")));
  }

  void rejects_waves_with_odd_fields() {
    const std::string valid =
        R"({"wave":1,"machines":["m1","m2"],"durationS":20,"maxCount":1})";
    auto values = odd_numbers();
    values.emplace_back("4294967296");  // 0 in 32 bits
    values.emplace_back("null");
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"\"wave\":1", "wave"},
        {"\"durationS\":20", "durationS"},
        {"\"maxCount\":1", "maxCount"},
        {R"("machines":["m1","m2"])", "machines"}};
    for (const auto& [text, name] : fields) {
      for (const auto& value : values) {
        bool is_in_range = (name == "wave" && value == "4294967296") ||
                           (name == "durationS" && value == "0.5") ||
                           (name == "machines" && value == "[]");
        auto body = replace_first(valid, text, "\"" + name + "\":" + value);
        auto result = platform::parse_wave(body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, !is_in_range, is_rejected(result));
      }
    }
    auto body = replace_first(valid, "m1", std::string(100'000, 'm'));
    CPPUNIT_ASSERT(is_rejected(platform::parse_wave(body)));
  }

  void rejects_configurations_with_odd_numbers() {
    auto values = odd_numbers();
    const std::vector<std::string> fields = {
        "\"timeoutMs\": 3000", "\"sloMs\": 1000",   "\"prio\": 1",
        "\"attempts\": 2",     "\"stretch\": 3.0",  "\"decideMs\": 20",
        "\"periodMs\": 2",     "\"validMs\": 3000", "\"gpu\": 72"};
    for (const auto& field : fields) {
      auto name = field.substr(0, field.find(':'));
      for (const auto& value : values) {
        if (name == "\"stretch\"" && value == "0.5") continue;
        auto body = replace_first(valid_site, field, name + ": " + value);
        CPPUNIT_ASSERT_MESSAGE(name + value,
                               is_rejected(platform::parse_site(body)));
      }
    }
    for (const auto* field : {"\"prio\": 1", "\"attempts\": 2"}) {
      auto name = std::string(field).substr(0, std::string(field).find(':'));
      auto body = replace_first(valid_site, field, name + ": 4294967296");
      CPPUNIT_ASSERT_MESSAGE(body, is_rejected(platform::parse_site(body)));
    }
  }

  void rejects_settings_with_odd_values() {
    const std::string valid = "node=n\nip=10.0.0.1\nportRange=7000,7015\n";
    std::vector<std::string> lines = {"ip=host",
                                      "ip=::1",
                                      "ip=10.0.0.256",
                                      "ip=10.0.0.1:80",
                                      "seeds=[::1]:8526",
                                      "seeds=10.0.0.1:0",
                                      "seeds=10.0.0.2:86,10.0.0.1:65536",
                                      "portRange=nan,nan",
                                      "portRange=7000,inf",
                                      "portRange=0,7015",
                                      "portRange=7000,65536",
                                      "portRange=7000.5,7015",
                                      "limits.cores=nan",
                                      "limits.cores=1e300"};
    for (const std::string key :
         {"heartbeatMs", "bounds.holdMaxMs", "bounds.reuseAfterS",
          "bounds.gangMs", "bounds.graceS"}) {
      for (const auto* value : {"", "nan", "inf", "-inf", "-1", "1e300", "1e19",
                                "18446744073709551616", "soon", "5x", " 5"}) {
        lines.push_back(key + "=" + value);
      }
    }
    for (const std::string key : {"listen.front", "listen.readyAddr",
                                  "listen.control", "advice", "cloud.addr"}) {
      for (const auto* value :
           {"10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:99999",
            "10.0.0.1:-1", "10.0.0.1:abc", "host:80", ":80"}) {
        lines.push_back(key + "=" + value);
      }
    }
    lines.push_back("advice=10.0.0.1:" + std::string(100'000, '9'));
    for (const auto& line : lines) {
      auto result = platform::parse_settings(valid + line);
      const auto* error = std::get_if<platform::settings_error>(&result);
      auto message = line.substr(0, 40);
      CPPUNIT_ASSERT_MESSAGE(message, error != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{4}, error->line);
    }
  }

  void odd_advice_counts_as_no_response() {
    for (const auto& value : odd_numbers()) {
      auto body = R"({"allowed":[["i-1","t"]],"validMs":)" + value + "}";
      CPPUNIT_ASSERT_MESSAGE(body,
                             std::holds_alternative<fleet::advice_no_response>(
                                 platform::parse_advice_response(200, body)));
      // Rows that name no worker or ticket are skipped.
      body = R"({"allowed":[["i-1",)" + value + "],[" + value + ",\"t\"]," +
             value + R"(,["i-2","u"]]})";
      if (value == "\"5\"") continue;
      auto response = platform::parse_advice_response(200, body);
      const auto* given = std::get_if<fleet::advice_given>(&response);
      CPPUNIT_ASSERT_MESSAGE(body, given != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::size_t{1}, given->allowed.size());
    }
  }

  void odd_entries_of_the_list_of_machines_are_skipped() {
    for (const auto& value : odd_numbers()) {
      std::vector<fleet::listed_machine> machines;
      std::string next_page;
      auto body = R"({"machines":[)" + value + R"(,{"machine":)" + value +
                  R"(,"state":"up"},{"machine":"m-1","state":)" + value +
                  R"(},{"machine":"m-2","state":"moving"}]})";
      CPPUNIT_ASSERT_MESSAGE(
          body, platform::parse_machines(body, machines, next_page));
      std::vector<std::string> names;
      for (const auto& machine : machines) names.push_back(machine.name);
      if (value == "\"5\"") {
        CPPUNIT_ASSERT_EQUAL(std::string("5"), names.at(0));
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(body, names == std::vector<std::string>{"m-2"});
    }
    // A token becomes part of the path.
    std::vector<fleet::listed_machine> machines;
    for (const std::string token :
         {"\"a b\"", "\"a\\r\\nX: 1\"", "\"\u00fc\"", "{}", "true"}) {
      std::string next_page;
      CPPUNIT_ASSERT_MESSAGE(
          token, !platform::parse_machines(
                     R"({"machines":[],"nextToken":)" + token + "}", machines,
                     next_page));
    }
  }

  void applies_changes_of_a_settings_file() {
    std::string path =
        "/tmp/parsleyledge-follower-" + std::to_string(::getpid()) + ".conf";
    auto write = [&](const std::string& text) {
      std::ofstream(path, std::ios::trunc) << text;
    };
    const std::string valid = "node=n\nip=10.0.0.1\nportRange=7000,7015\n";
    write(valid);
    platform::settings_watcher watcher(path);
    std::vector<std::string> seeds;
    int applied = 0;
    auto apply = [&](const platform::node_settings& changed) {
      ++applied;
      seeds = changed.seeds;
    };
    watcher.reload_if_changed(apply);
    CPPUNIT_ASSERT_EQUAL(0, applied);
    write(valid + "seeds=10.0.0.2:8526\n");
    watcher.reload_if_changed(apply);
    watcher.reload_if_changed(apply);
    CPPUNIT_ASSERT_EQUAL(1, applied);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:8526"), seeds.at(0));
    write("node=n\nportRange=no\n");
    watcher.reload_if_changed(apply);
    std::remove(path.c_str());
    watcher.reload_if_changed(apply);
    CPPUNIT_ASSERT_EQUAL(1, applied);
  }

  void writes_advice_calls_and_reads_responses() {
    auto call = platform::write_advice_call(
        {1, {{0xff}, 0, 1}, {{"i-1", 5}, {"i-2", 6}}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("/api/advise"), call.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"step":"00000000000000ff.0.1","workers":["i-1","i-2"]})"),
        call.body);
    using namespace fleet;
    auto parse = [](int status, std::string_view body) {
      return platform::parse_advice_response(status, body);
    };
    auto advice = std::get<advice_given>(
        parse(200, R"({"allowed":[["i-1","t"],["i-3"],7],"validMs":3000})"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, advice.allowed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), advice.allowed[0].ticket);
    CPPUNIT_ASSERT(advice.validity == milliseconds(3000));
    CPPUNIT_ASSERT(std::holds_alternative<advice_busy>(parse(429, "")));
    for (const auto* body : {"", "{}", R"({"allowed":3})", R"({"allow)"}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<advice_no_response>(parse(200, body)));
    }
    CPPUNIT_ASSERT(
        std::holds_alternative<advice_no_response>(parse(500, "{}")));
  }

  void writes_maintenance_calls_and_reads_responses() {
    auto call = platform::write_maintenance_call({"m-1", 4});
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machine-upkeep"), call.path);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"machine":"m-1","wave":4})"),
                         call.body);
    using fleet::machine_rejected;
    using fleet::machine_rejection;
    CPPUNIT_ASSERT(std::holds_alternative<fleet::machine_accepted>(
        platform::parse_maintenance_response(200, "")));
    constexpr std::tuple<int, std::string_view, machine_rejection> table[] = {
        {400, "{}", machine_rejection::unknown},
        {409, R"({"reason":"fence"})", machine_rejection::fence},
        {409, R"({"reason":"busy"})", machine_rejection::busy},
        {409, R"({"reason":"wave"})", machine_rejection::wave},
        {429, "", machine_rejection::later},
        {503, "", machine_rejection::later}};
    for (const auto& [status, body, why] : table) {
      auto response = platform::parse_maintenance_response(status, body);
      CPPUNIT_ASSERT(std::get<machine_rejected>(response).reason == why);
    }
    CPPUNIT_ASSERT(std::holds_alternative<fleet::machine_no_response>(
        platform::parse_maintenance_response(409, "cut")));
  }

  void reads_pages_of_the_list_of_machines() {
    std::vector<fleet::listed_machine> machines;
    std::string next_page;
    CPPUNIT_ASSERT(platform::parse_machines(
        R"({"machines":[{"machine":"m-1","state":"up"},{"state":"up"},3,)"
        R"({"machine":"m-2","state":"upkeep"}],"nextToken":"p2"})",
        machines, next_page));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machines.size());
    CPPUNIT_ASSERT(machines[1].state == fleet::machine_state::maintenance);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machines?pageToken=p2"),
                         platform::machines_path(next_page));
    CPPUNIT_ASSERT(platform::parse_machines(
        R"({"machines":[],"nextToken":null})", machines, next_page));
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machines"),
                         platform::machines_path(next_page));
    CPPUNIT_ASSERT(
        !platform::parse_machines(R"({"machines":4})", machines, next_page));
  }

 private:
  static void check_rejected_field(const std::string& body,
                                   const std::string& name,
                                   const std::string& message) {
    auto result = platform::parse_report("i-1", body);
    CPPUNIT_ASSERT_MESSAGE(message, is_rejected(result));
    auto detail = std::get<body_error>(result).detail;
    CPPUNIT_ASSERT_MESSAGE(message + ": " + detail,
                           detail.find(name) != std::string::npos);
  }

  /// A report that is accepted names an address that can be called and
  /// survives the way through the log.
  static void check_survives(const std::string& body) {
    auto result = platform::parse_report("i-1", body);
    const auto* report = std::get_if<fleet::worker_report>(&result);
    if (report == nullptr) return;
    RC_ASSERT(is_ipv4_address(report->address));
    fleet::command put = fleet::put_worker{
        {report->incarnation, report->address, report->machine, report->service,
         report->data_centre, report->rack, report->labels, report->capacity,
         report->draining, report->sequence},
        {}};
    RC_ASSERT(fleet::decode_command(fleet::encode(put)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);
