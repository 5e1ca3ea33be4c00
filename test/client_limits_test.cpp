#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "adapters/settings.h"
#include "fakes/process_site.h"

using namespace parsleyledge;
using fakes::eventually;
using fakes::pause_for;
using fakes::process_site;
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr int memory_mb = 96;  // of a process, as its settings say
constexpr int descriptors = 400;
constexpr long kb_per_mb = 1024;
constexpr std::size_t far_over_limit = 4U << 20;  // bytes that a client sends
constexpr std::size_t crowd_size = 48;            // sends 192 MB in total
// Within the limits each, 120 MB and 600 descriptors in total.
constexpr std::size_t large_crowd_size = 600;
constexpr std::size_t partial_body = 200'000;
constexpr std::size_t unread_crowd_size = 120;  // of responses of 1 MB
constexpr int small_receive_buffer = 4096;
// Ends a client that the server neither reads from nor closes.
constexpr std::chrono::seconds send_timeout{10};
// Lets the server process what has been sent before the clients leave.
constexpr std::chrono::milliseconds hold_time{1000};

constexpr std::string_view chunked_head =
    "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: 127.0.0.1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/// Clients that each send `head` and then `piece` until `bytes` are sent, and
/// read nothing.
struct crowd {
  std::size_t clients = crowd_size;
  std::string head;
  std::string piece;
  std::size_t bytes = far_over_limit;
};

auto head_with_length(std::size_t bytes) -> std::string {
  return "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "Content-Length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

auto filler_field() -> std::string {
  return "X-Filler: " + std::string(1000, 'a') + "\r\n";
}

auto filler_bytes() -> std::string {
  return std::string(16'384, 'a');
}

auto endless_trailers() -> crowd {
  return {crowd_size, std::string(chunked_head) + "1\r\n{\r\n0\r\n",
          filler_field()};
}

auto announced_body() -> crowd {
  return {crowd_size, head_with_length(far_over_limit), filler_bytes()};
}

auto unannounced_body() -> crowd {
  return {crowd_size, std::string(chunked_head),
          "4000\r\n" + filler_bytes() + "\r\n"};
}

auto endless_chunk_extension() -> crowd {
  return {crowd_size, std::string(chunked_head) + "1;name=", filler_bytes()};
}

auto endless_header() -> crowd {
  return {crowd_size, "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\n", filler_field()};
}

/// Fields of which a whole number and one byte fill a read of 4 KB, so that the
/// parser has consumed all but one byte after each read.
auto endless_aligned_header() -> crowd {
  std::string head = "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  auto field = "X: " + std::string(60, 'a') + "\r\n";
  constexpr std::size_t first_read = 4095;
  auto rest = first_read - head.size();
  head +=
      "Y: " + std::string(rest % field.size() + field.size() - 5, 'b') + "\r\n";
  return {crowd_size, std::move(head), std::move(field)};
}

/// Headers of the smallest fields, within the limit, and a body that never
/// comes.
auto headers_of_tiny_fields() -> crowd {
  std::string head =
      "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1000\r\n";
  for (int i = 0; i < 3900; ++i) head += "a:\r\n";
  return {large_crowd_size, head + "\r\n", "b", 1};
}

/// Complete requests with a trailer of the smallest fields, whose responses are
/// not read.
auto trailers_of_tiny_fields() -> crowd {
  auto request = std::string(chunked_head) + "1\r\n{\r\n0\r\n";
  for (int i = 0; i < 4000; ++i) request += "a:\r\n";
  request += "\r\n";
  return {large_crowd_size, {}, request, 3 * request.size()};
}

/// One chunk a write.
auto chunk_by_chunk() -> crowd {
  return {crowd_size, std::string(chunked_head),
          "3e8\r\n" + std::string(1000, 'a') + "\r\n"};
}

auto partial_bodies() -> crowd {
  return {large_crowd_size, head_with_length(260'000), filler_bytes(),
          partial_body};
}

auto unread_responses() -> crowd {
  std::string request = "GET /api/config HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  return {unread_crowd_size, {}, request, 8 * request.size()};
}

auto send(std::shared_ptr<beast::tcp_stream> stream, tcp::endpoint to,
          const crowd& form) -> asio::awaitable<void> {
  boost::system::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  auto& socket = stream->socket();
  socket.open(to.protocol());
  socket.set_option(
      asio::socket_base::receive_buffer_size(small_receive_buffer));
  stream->expires_after(send_timeout);
  co_await stream->async_connect(to, token);
  if (!ec) co_await asio::async_write(*stream, asio::buffer(form.head), token);
  for (std::size_t sent = 0; !ec && sent < form.bytes;
       sent += form.piece.size()) {
    stream->expires_after(send_timeout);
    co_await asio::async_write(*stream, asio::buffer(form.piece), token);
  }
}

/// A configuration with one queue that accepts jobs without a key, and text
/// that makes it as long as requested.
auto config_of(std::size_t bytes) -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"127.0.0.1",)"
         R"("prefix":"/jobs/","kind":"unsafe","timeoutMs":3000,"sloMs":1000,)"
         R"("prio":1,"service":"s","attempts":2,"public":true}],)"
         R"("services":[{"name":"s"}],"tenants":[],)"
         R"("limits":{"headerBytes":16384,"bodyBytes":262144,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"note":")" +
         std::string(bytes, 'a') + R"("})";
}

/// Three control processes and an entry that serves callers.
class served_site {
 public:
  explicit served_site(int first_port, std::size_t config_bytes = 0)
      : site_(first_port) {
    site_.set_fleet_limits(memory_mb, descriptors);
    for (int i = 1; i <= 3; ++i) site_.start_fleet_control(i, true);
    CPPUNIT_ASSERT(eventually([&] {
      http_request put{"PUT", "/api/config", {}, config_of(config_bytes)};
      return site_.call_fleet_control(1, std::move(put)).status == 200;
    }));
    site_.start_connected_fleet_entry(1);
    CPPUNIT_ASSERT(eventually([&] { return submit_job(); }));
  }

  auto entry_address() const -> std::string {
    return "127.0.0.1:" + std::to_string(site_.entry_port(1));
  }

  auto leader_address() -> std::string {
    for (int i = 1; i <= 3; ++i) {
      if (site_.fleet_role(i) == "leader")
        return site_.fleet_control_address(i);
    }
    CPPUNIT_FAIL("no leader");
    return {};
  }

  /// Lets a crowd send, and checks that no process ends or exceeds its memory
  /// or descriptors, and that callers and operators are served afterwards.
  void check_survives(std::string_view address, const crowd& form) {
    asio::io_context context;
    auto [host, port] = split_address(address);
    tcp::endpoint to(asio::ip::make_address(host), port);
    std::vector<std::shared_ptr<beast::tcp_stream>> streams;
    for (std::size_t i = 0; i < form.clients; ++i) {
      streams.push_back(std::make_shared<beast::tcp_stream>(context));
      asio::co_spawn(context, send(streams.back(), to, form), asio::detached);
    }
    context.run();
    pause_for(hold_time);
    for (auto name : processes) {
      auto open = site_.open_descriptors(name);
      CPPUNIT_ASSERT_MESSAGE(
          std::string(name) + " has " + std::to_string(open) + " descriptors",
          open <= descriptors);
    }
    streams.clear();
    for (auto name : processes) {
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + " has ended",
                             site_.is_running(name));
      auto peak = site_.peak_memory_kb(name);
      CPPUNIT_ASSERT_MESSAGE(
          std::string(name) + " used " + std::to_string(peak) + " kB",
          peak > 0 && peak <= memory_mb * kb_per_mb);
    }
    CPPUNIT_ASSERT_MESSAGE("no caller is served",
                           eventually([&] { return submit_job(); }));
    CPPUNIT_ASSERT_MESSAGE(
        "no operator is served", eventually([&] {
          http_request get{"GET", "/api/config", {}, {}};
          return site_.call_fleet_control(1, std::move(get)).status == 200;
        }));
  }

 private:
  static constexpr std::string_view processes[] = {
      "fleet-control-1", "fleet-control-2", "fleet-control-3", "fleet-entry-1"};

  auto submit_job() -> bool {
    http_request post{
        "POST",
        "/jobs/00000000000000bb",
        {{"Content-Type", "application/json"}},
        R"({"spec":"","steps":[{"count":1,"cpu":1,"memMb":1,"estMs":1}]})"};
    return site_.call(1, std::move(post)).status == 200;
  }

  process_site site_;
};

}  // namespace

/// Clients that send more than the limits allow, or do not read, against the
/// fleet's programs as processes. Guards against memory and descriptors that
/// grow with what clients send.
class client_limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(client_limits_test);
  CPPUNIT_TEST(trailers_without_end_at_an_entry);
  CPPUNIT_TEST(trailers_without_end_at_a_control_process);
  CPPUNIT_TEST(announced_bodies_over_the_limit_at_an_entry);
  CPPUNIT_TEST(announced_bodies_over_the_limit_at_a_control_process);
  CPPUNIT_TEST(unannounced_bodies_over_the_limit_at_an_entry);
  CPPUNIT_TEST(unannounced_bodies_over_the_limit_at_a_control_process);
  CPPUNIT_TEST(chunk_extensions_without_end_at_an_entry);
  CPPUNIT_TEST(headers_without_end_at_an_entry);
  CPPUNIT_TEST(aligned_headers_without_end_at_an_entry);
  CPPUNIT_TEST(headers_of_tiny_fields_at_a_control_process);
  CPPUNIT_TEST(trailers_of_tiny_fields_at_an_entry);
  CPPUNIT_TEST(chunk_by_chunk_over_the_limit_at_a_control_process);
  CPPUNIT_TEST(partial_bodies_within_the_limit_at_an_entry);
  CPPUNIT_TEST(partial_bodies_within_the_limit_at_a_control_process);
  CPPUNIT_TEST(unread_responses_of_a_control_process);
  CPPUNIT_TEST_SUITE_END();

 public:
  void trailers_without_end_at_an_entry() {
    served_site site(24000);
    site.check_survives(site.entry_address(), endless_trailers());
  }

  void trailers_without_end_at_a_control_process() {
    served_site site(24100);
    site.check_survives(site.leader_address(), endless_trailers());
  }

  void announced_bodies_over_the_limit_at_an_entry() {
    served_site site(24200);
    site.check_survives(site.entry_address(), announced_body());
  }

  void announced_bodies_over_the_limit_at_a_control_process() {
    served_site site(24300);
    site.check_survives(site.leader_address(), announced_body());
  }

  void unannounced_bodies_over_the_limit_at_an_entry() {
    served_site site(24400);
    site.check_survives(site.entry_address(), unannounced_body());
  }

  void unannounced_bodies_over_the_limit_at_a_control_process() {
    served_site site(24500);
    site.check_survives(site.leader_address(), unannounced_body());
  }

  void chunk_extensions_without_end_at_an_entry() {
    served_site site(24600);
    site.check_survives(site.entry_address(), endless_chunk_extension());
  }

  void headers_without_end_at_an_entry() {
    served_site site(24700);
    site.check_survives(site.entry_address(), endless_header());
  }

  void aligned_headers_without_end_at_an_entry() {
    served_site site(25500);
    site.check_survives(site.entry_address(), endless_aligned_header());
  }

  void headers_of_tiny_fields_at_a_control_process() {
    served_site site(25600);
    site.check_survives(site.leader_address(), headers_of_tiny_fields());
  }

  void trailers_of_tiny_fields_at_an_entry() {
    served_site site(25800);
    site.check_survives(site.entry_address(), trailers_of_tiny_fields());
  }

  void chunk_by_chunk_over_the_limit_at_a_control_process() {
    served_site site(25700);
    site.check_survives(site.leader_address(), chunk_by_chunk());
  }

  void partial_bodies_within_the_limit_at_an_entry() {
    served_site site(24800);
    site.check_survives(site.entry_address(), partial_bodies());
  }

  void partial_bodies_within_the_limit_at_a_control_process() {
    served_site site(24900);
    site.check_survives(site.leader_address(), partial_bodies());
  }

  void unread_responses_of_a_control_process() {
    constexpr std::size_t config_bytes = 1U << 20;
    served_site site(25000, config_bytes);
    site.check_survives(site.leader_address(), unread_responses());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_limits_test);
