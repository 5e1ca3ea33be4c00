// Test endpoint: serves HTTP requests with a configurable duration, logs each
// execution to a file and injects faults on request.

#include <absl/flags/flag.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>

#include "adapters/app.h"
#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "adapters/log.h"
#include "adapters/settings.h"

using namespace parsleyledge;
namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

ABSL_FLAG(std::string, name, "", "the endpoint's name");
ABSL_FLAG(std::string, service, "lists", "the service it offers");
ABSL_FLAG(std::string, data_centre, "dc1", "its data centre");
ABSL_FLAG(int, slots, 8, "maximum number of concurrent requests");
ABSL_FLAG(int, connections, 64, "maximum number of connections");
ABSL_FLAG(socket_address, listen_http, {}, "ip:port to listen on");
ABSL_FLAG(address_list, entry, {}, "ip:port,... of entries to announce to");
ABSL_FLAG(double, work_ms, 8, "duration of a request at speed 1, in ms");
ABSL_FLAG(double, speed, 1, "divisor of the duration of a request");
ABSL_FLAG(int, ttl_ms, 2000, "time to live of its announcements, in ms");
ABSL_FLAG(std::string, fault, "",
          "cut_length, cut_chunk, wrong_id, twice, late, garbage, huge, "
          "no_length, bad_length, close_unread, close_read, freeze; the Fault "
          "header of a request takes precedence");
ABSL_FLAG(std::string, journal, "", "file to which executions are appended");
ABSL_FLAG(std::string, log_level, "warning", "debug, info, warning or error");

namespace {

constexpr milliseconds announce_interval{500};
constexpr std::size_t max_head = 64 * 1024;

/// A request parsed by hand, so that message framing stays under the control
/// of the test.
struct raw_request {
  std::string line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

auto lower(std::string text) -> std::string {
  for (auto& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

auto parse_head(std::string_view head) -> raw_request {
  raw_request request;
  bool first = true;
  while (!head.empty()) {
    auto end = head.find("\r\n");
    auto line = head.substr(0, end);
    head.remove_prefix(std::min(head.size(), line.size() + 2));
    if (first) {
      request.line = line;
      first = false;
      continue;
    }
    auto colon = line.find(": ");
    if (colon == std::string_view::npos) continue;
    request.headers[lower(std::string(line.substr(0, colon)))] =
        line.substr(colon + 2);
  }
  return request;
}

class standin_endpoint {
 public:
  explicit standin_endpoint(asio::thread_pool& pool)
      : strand_(asio::make_strand(pool)),
        incarnation_(to_ms(wall_now())),
        acceptor_(strand_) {}

  auto listen() -> std::string {
    auto [host, port] = split_address(absl::GetFlag(FLAGS_listen_http).text);
    boost::system::error_code ec;
    tcp::endpoint listen_endpoint(asio::ip::make_address(host, ec), port);
    acceptor_.open(listen_endpoint.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(listen_endpoint, ec);
    if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) return ec.message();
    asio::co_spawn(strand_, accept_loop(), asio::detached);
    asio::co_spawn(strand_, announce_loop(), asio::detached);
    return {};
  }

  /// Announces the state "leaving" from now on; requests are still served.
  void begin_drain() {
    asio::post(strand_, [this] { draining_ = true; });
  }

  auto running_count() const -> int { return running_; }

  auto stats() -> std::string {
    return json::serialize(
        json::object{{"name", absl::GetFlag(FLAGS_name)},
                     {"executed", executed_},
                     {"running", running_.load()},
                     {"most_running", max_running_},
                     {"connections", connections_},
                     {"most_connections", max_connections_},
                     {"refused_while_leaving", executed_while_draining_}});
  }

 private:
  auto accept_loop() -> asio::awaitable<void> {
    while (true) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(strand_, serve(std::move(socket)), asio::detached);
    }
  }

  auto announce_loop() -> asio::awaitable<void> {
    asio::steady_timer timer(strand_);
    std::size_t next_entry = 0;
    auto entries = absl::GetFlag(FLAGS_entry).addresses;
    while (!entries.empty()) {
      http_request request;
      request.method = "POST";
      request.target = "/v1/endpoints";
      request.body = json::serialize(
          json::object{{"name", absl::GetFlag(FLAGS_name)},
                       {"incarnation", incarnation_},
                       {"service", absl::GetFlag(FLAGS_service)},
                       {"address", absl::GetFlag(FLAGS_listen_http).text},
                       {"data_centre", absl::GetFlag(FLAGS_data_centre)},
                       {"slots", absl::GetFlag(FLAGS_slots)},
                       {"connections", absl::GetFlag(FLAGS_connections)},
                       {"state", draining_ ? "leaving" : "ready"},
                       {"ttl_ms", absl::GetFlag(FLAGS_ttl_ms)}});
      auto entry = entries[next_entry++ % entries.size()];
      exchange_limits limits;
      limits.timeout = announce_interval;
      limits.idempotent = true;
      co_await client_.exchange(entry, request, limits);
      timer.expires_after(announce_interval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  auto serve(tcp::socket socket) -> asio::awaitable<void> {
    ++connections_;
    max_connections_ = std::max(max_connections_, connections_);
    std::string buffer;
    boost::system::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    while (true) {
      auto n = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer, max_head), "\r\n\r\n", token);
      if (ec) break;
      auto request = parse_head(std::string_view(buffer).substr(0, n));
      buffer.erase(0, n);
      std::size_t length = 0;
      auto& digits = request.headers["content-length"];
      std::from_chars(digits.data(), digits.data() + digits.size(), length);
      if (buffer.size() < length) {
        co_await asio::async_read(
            socket, asio::dynamic_buffer(buffer),
            asio::transfer_exactly(length - buffer.size()), token);
        if (ec) break;
      }
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      bool keep_alive = co_await handle_request(socket, request);
      if (!keep_alive) break;
    }
    --connections_;
  }

  auto handle_request(tcp::socket& socket, const raw_request& request)
      -> asio::awaitable<bool> {
    if (request.line.starts_with("GET /healthz")) {
      co_return co_await write(socket, draining_ ? "503 Leaving" : "200 OK",
                               "ok\n", "");
    }
    if (request.line.starts_with("GET /stats")) {
      auto body = stats();
      co_return co_await write(socket, "200 OK", body, "");
    }
    auto fault = absl::GetFlag(FLAGS_fault);
    auto fault_header = request.headers.find("fault");
    if (fault_header != request.headers.end()) fault = fault_header->second;
    if (fault == "close_unread") co_return false;
    ++running_;
    max_running_ = std::max(max_running_, running_.load());
    if (draining_) ++executed_while_draining_;
    record_execution(request);
    co_await simulate_work(request, fault);
    --running_;
    auto id_header = request.headers.find("parsley-request-id");
    auto id = id_header == request.headers.end() ? "" : id_header->second;
    auto body =
        absl::GetFlag(FLAGS_name) + " did " + request.line + " " + request.body;
    co_return co_await write_faulty(socket, fault, body, id);
  }

  auto simulate_work(const raw_request& request, std::string_view fault)
      -> asio::awaitable<void> {
    auto ms = absl::GetFlag(FLAGS_work_ms) / absl::GetFlag(FLAGS_speed);
    auto work_header = request.headers.find("work-ms");
    if (work_header != request.headers.end())
      ms = std::atof(work_header->second.c_str());
    if (fault == "late") ms += 3000;
    if (fault == "freeze") ms += 600'000;
    if (ms <= 0) co_return;
    asio::steady_timer timer(
        strand_, std::chrono::microseconds(static_cast<long>(ms * 1000)));
    co_await timer.async_wait(asio::use_awaitable);
  }

  auto write_faulty(tcp::socket& socket, std::string_view fault,
                    std::string body, std::string id) -> asio::awaitable<bool> {
    std::string head = "HTTP/1.1 200 OK\r\nParsley-Request-Id: ";
    auto length = [](std::size_t n) {
      return "\r\nContent-Length: " + std::to_string(n) + "\r\n\r\n";
    };
    std::string out;
    bool keep_alive = false;
    if (fault == "close_read") co_return false;
    if (fault == "cut_length") {
      out = head + id + length(body.size() + 10) + body;
    } else if (fault == "cut_chunk") {
      out = head + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + "ff\r\n" +
            body;
    } else if (fault == "wrong_id") {
      out = head + "another" + length(body.size()) + body;
      keep_alive = true;
    } else if (fault == "twice") {
      out = head + id + length(body.size()) + body;
      out += out;
      keep_alive = true;
    } else if (fault == "garbage") {
      out = "this is no HTTP\r\n\r\n";
    } else if (fault == "no_length") {
      out = head + id + "\r\n\r\n" + body;
    } else if (fault == "bad_length") {
      out = head + id + "\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\n" +
            body;
    } else if (fault == "huge") {
      std::string large(40u << 20, 'x');
      out = head + id + length(large.size()) + large;
    } else {
      out = head + id + length(body.size()) + body;
      keep_alive = true;
    }
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(out),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return keep_alive && !ec;
  }

  auto write(tcp::socket& socket, std::string status, std::string body,
             std::string) -> asio::awaitable<bool> {
    auto out = "HTTP/1.1 " + status +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(out),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  void record_execution(const raw_request& request) {
    ++executed_;
    auto path = absl::GetFlag(FLAGS_journal);
    if (path.empty()) return;
    auto key = request.headers.find("idempotency-key");
    if (auto* file = std::fopen(path.c_str(), "a")) {
      std::fprintf(file, "%s %s\n", absl::GetFlag(FLAGS_name).c_str(),
                   key == request.headers.end() ? "-" : key->second.c_str());
      std::fclose(file);
    }
  }

  asio::strand<asio::thread_pool::executor_type> strand_;
  std::int64_t incarnation_;
  tcp::acceptor acceptor_;
  http_client client_;
  bool draining_ = false;
  std::atomic<int> running_{0};
  int max_running_ = 0;
  int connections_ = 0;
  int max_connections_ = 0;
  int executed_ = 0;
  int executed_while_draining_ = 0;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr std::string_view required[] = {"name", "listen_http"};
  parse_command_line(argc, argv, "standin-endpoint: an endpoint for tests",
                     required);
  start_log_from_flag(absl::GetFlag(FLAGS_log_level),
                      absl::GetFlag(FLAGS_name));
  block_signals();
  asio::thread_pool pool(1);
  standin_endpoint self(pool);
  auto error = self.listen();
  if (!error.empty()) exit_with_error("start_failed", error);
  wait_for_signal();
  self.begin_drain();
  // Entries may send requests until they have received the state "leaving" or
  // the announcement has expired. Running requests complete before the exit.
  asio::steady_timer timer(pool, milliseconds(absl::GetFlag(FLAGS_ttl_ms)));
  timer.wait();
  while (self.running_count() > 0) {
    timer.expires_after(milliseconds(10));
    timer.wait();
  }
  pool.stop();
  pool.join();
  return 0;
}
