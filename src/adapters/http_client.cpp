#include "adapters/http_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <iterator>
#include <map>
#include <vector>

#include "adapters/settings.h"
#include "core/ranked_lock.h"

namespace parsleyledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view request_id_header = "Parsley-Request-Id";
constexpr std::chrono::seconds sweep_interval{1};  // of idle connections

/// A connection and the bytes that were read beyond the last response.
struct connection {
  explicit connection(const asio::any_io_executor& executor)
      : socket(executor) {}

  tcp::socket socket;
  beast::flat_buffer buffer;
};

using connection_ptr = std::shared_ptr<connection>;
using steady_time = std::chrono::steady_clock::time_point;

/// Whether an error shows that the server refused or closed the connection.
auto is_closed(const beast::error_code& ec) -> bool {
  return ec == asio::error::connection_refused ||
         ec == asio::error::connection_reset ||
         ec == asio::error::broken_pipe || ec == asio::error::eof ||
         ec == http::error::end_of_stream || ec == http::error::partial_message;
}

/// Whether the server neither closed the connection nor sent unsolicited bytes.
auto is_reusable(connection& c) -> bool {
  if (c.buffer.size() != 0) return false;
  char byte = 0;
  beast::error_code ec;
  c.socket.non_blocking(true, ec);
  if (ec) return false;
  c.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

auto convert(const http_request& from, std::string_view host)
    -> http::request<http::string_body> {
  http::request<http::string_body> to;
  to.method_string(from.method);
  to.target(from.target);
  to.version(11);
  to.set(http::field::host, host);
  for (const auto& [name, value] : from.headers) to.insert(name, value);
  to.body() = from.body;
  to.prepare_payload();
  return to;
}

auto convert(http::response<http::string_body> from) -> http_response {
  http_response to;
  to.status = static_cast<int>(from.result_int());
  for (const auto& field : from) {
    to.headers.emplace_back(field.name_string(), field.value());
  }
  to.body = std::move(from.body());
  return to;
}

}  // namespace

struct http_client::impl {
  struct idle_connection {
    connection_ptr link;
    steady_time since;
  };
  using idle_queue = std::deque<idle_connection>;

  explicit impl(std::chrono::milliseconds idle_limit)
      : max_idle_time(idle_limit) {}

  const std::chrono::milliseconds max_idle_time;
  ranked_mutex mutex{lock_rank::connection_pool};
  std::map<std::string, idle_queue, std::less<>> idle;
  steady_time next_sweep{};

  auto take_idle(std::string_view address) -> connection_ptr {
    while (true) {
      connection_ptr found;
      {
        ranked_lock lock(mutex);
        auto it = idle.find(address);
        if (it == idle.end() || it->second.empty()) return nullptr;
        found = std::move(it->second.back().link);
        it->second.pop_back();
      }
      if (is_reusable(*found)) return found;
    }
  }

  void put_idle(std::string_view address, connection_ptr c,
                std::size_t max_idle) {
    ranked_lock lock(mutex);
    auto& connections = idle[std::string(address)];
    if (connections.size() >= max_idle) return;
    connections.push_back({std::move(c), std::chrono::steady_clock::now()});
  }

  /// Closes idle connections to any server that cannot be reused or were idle
  /// for too long. take_idle looks only at the server that is called, and a
  /// server that was replaced by one at another address is not called again. A
  /// pending wait on each connection would keep its io_context running.
  void close_unusable() {
    auto now = std::chrono::steady_clock::now();
    std::vector<idle_connection> unusable;  // closed without the lock
    ranked_lock lock(mutex);
    if (now < next_sweep) return;
    next_sweep =
        now + std::min<steady_time::duration>(sweep_interval, max_idle_time);
    for (auto& [address, connections] : idle) {
      auto removed = std::stable_partition(
          connections.begin(), connections.end(),
          [&](const idle_connection& held) {
            return now - held.since <= max_idle_time && is_reusable(*held.link);
          });
      std::move(removed, connections.end(), std::back_inserter(unusable));
      connections.erase(removed, connections.end());
    }
    std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
  }
};

namespace {

/// Closes a connection at a deadline, which cancels its pending operations.
class deadline_guard {
 public:
  deadline_guard(const asio::any_io_executor& executor, connection_ptr c,
                 std::chrono::steady_clock::time_point at)
      : timer_(executor, at), expired_(std::make_shared<bool>(false)) {
    timer_.async_wait(
        [c = std::move(c), expired = expired_](const beast::error_code& ec) {
          if (ec) return;
          *expired = true;
          beast::error_code ignored;
          c->socket.close(ignored);
        });
  }

  auto expired() const -> bool { return *expired_; }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<bool> expired_;
};

auto connect(connection_ptr c, std::string address)
    -> asio::awaitable<beast::error_code> {
  auto [host, port] = split_address(address);
  beast::error_code ec;
  tcp::endpoint server(asio::ip::make_address(host, ec), port);
  if (ec) co_return ec;
  co_await c->socket.async_connect(
      server, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) c->socket.set_option(tcp::no_delay(true), ec);
  co_return ec;
}

struct attempt_result {
  exchange_result result;
  bool reusable = false;
  bool stale = false;  // closed before any byte of a response
};

/// Writes the request to a connected socket and reads the response.
auto run_exchange(connection_ptr c,
                  const http::request<http::string_body>& request,
                  const deadline_guard& deadline, std::uint64_t body_bytes)
    -> asio::awaitable<attempt_result> {
  attempt_result out;
  beast::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  auto written = co_await http::async_write(c->socket, request, token);
  if (ec) {
    if (written == 0 && !deadline.expired()) {
      out.result =
          exchange_not_sent{"write failed: " + ec.message(), is_closed(ec)};
    } else {
      out.result = exchange_incomplete{"write failed: " + ec.message(),
                                       deadline.expired(), is_closed(ec)};
    }
    out.stale = true;
    co_return out;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(body_bytes);
  if (request.method() == http::verb::head) parser.skip(true);
  auto read = co_await http::async_read(c->socket, c->buffer, parser, token);
  if (ec) {
    out.stale = read == 0 && !deadline.expired();
    out.result = exchange_incomplete{
        deadline.expired() ? "no complete response before the deadline"
                           : "incomplete response: " + ec.message(),
        deadline.expired(), is_closed(ec)};
    co_return out;
  }
  bool framed = parser.chunked() || parser.content_length().has_value() ||
                request.method() == http::verb::head ||
                parser.get().result_int() == 204 ||
                parser.get().result_int() == 304;
  bool keep = parser.keep_alive();
  auto response = parser.release();
  auto sent_id = request[request_id_header];
  auto received_id = response[request_id_header];
  if (!framed) {
    // Without a length, a truncated response looks like a complete one.
    out.result = exchange_incomplete{"the response has no length", false};
  } else if (!received_id.empty() && !sent_id.empty() &&
             received_id != sent_id) {
    out.result =
        exchange_incomplete{"the response belongs to another request", false};
  } else {
    out.reusable = keep;
    out.result = exchange_completed{convert(std::move(response))};
  }
  co_return out;
}

/// The result of an attempt that sent nothing. An earlier attempt of the same
/// exchange may have sent the request.
auto failed_attempt(std::string reason, bool may_have_run, bool closed)
    -> exchange_result {
  if (may_have_run)
    return exchange_incomplete{std::move(reason), false, closed};
  return exchange_not_sent{std::move(reason), closed};
}

}  // namespace

http_client::http_client(std::chrono::milliseconds max_idle_time)
    : impl_(std::make_shared<impl>(max_idle_time)) {}
http_client::~http_client() = default;

void http_client::close_idle(std::string_view address) {
  ranked_lock lock(impl_->mutex);
  auto it = impl_->idle.find(address);
  if (it != impl_->idle.end()) impl_->idle.erase(it);
}

auto http_client::exchange(std::string_view address,
                           const http_request& request, exchange_limits limits)
    -> asio::awaitable<exchange_result> {
  auto self = impl_;
  std::string server(address);
  if (!is_address(server)) {
    co_return exchange_not_sent{"the address is not ip:port"};
  }
  auto executor = co_await asio::this_coro::executor;
  auto out = convert(request, server);
  auto until = std::chrono::steady_clock::now() + limits.timeout;
  self->close_unusable();
  auto reused = self->take_idle(server);
  bool may_have_run = false;
  if (reused != nullptr) {
    deadline_guard deadline(executor, reused, until);
    auto done = co_await run_exchange(reused, out, deadline, limits.body_bytes);
    if (done.reusable) self->put_idle(server, reused, limits.idle_connections);
    // The server may have closed the idle connection while the request was
    // being sent, so the request is resent on a new one if that is safe.
    bool may_resend = limits.idempotent ||
                      std::holds_alternative<exchange_not_sent>(done.result);
    if (!done.stale || !may_resend) co_return std::move(done.result);
    may_have_run = !std::holds_alternative<exchange_not_sent>(done.result);
  }
  auto fresh = std::make_shared<connection>(executor);
  {
    auto connect_until = std::min(
        until, std::chrono::steady_clock::now() + limits.connect_timeout);
    deadline_guard deadline(executor, fresh, connect_until);
    auto ec = co_await connect(fresh, server);
    if (ec) {
      auto reason = "connect to " + server + " failed: " + ec.message();
      co_return failed_attempt(std::move(reason), may_have_run, is_closed(ec));
    }
    if (deadline.expired()) {
      auto reason = "connect to " + server + " timed out";
      co_return failed_attempt(std::move(reason), may_have_run, false);
    }
  }
  deadline_guard deadline(executor, fresh, until);
  auto done = co_await run_exchange(fresh, out, deadline, limits.body_bytes);
  if (done.reusable) self->put_idle(server, fresh, limits.idle_connections);
  const auto* not_sent = std::get_if<exchange_not_sent>(&done.result);
  if (not_sent != nullptr) {
    co_return failed_attempt(not_sent->reason, may_have_run, not_sent->closed);
  }
  co_return std::move(done.result);
}

}  // namespace parsleyledge
