#include "adapters/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <map>

#include "adapters/settings.h"
#include "core/ranked_lock.h"

namespace parsleyledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view request_id = "Parsley-Request-Id";

/// A connection and the bytes that were read ahead on it.
struct connection {
  explicit connection(const asio::any_io_executor& executor)
      : socket(executor) {}

  tcp::socket socket;
  beast::flat_buffer buffer;
};

using connection_ptr = std::shared_ptr<connection>;

/// Whether the server neither closed the connection nor sent anything unasked.
auto is_quiet(connection& c) -> bool {
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
  ranked_mutex mutex{lock_rank::connection_pool};
  std::map<std::string, std::deque<connection_ptr>, std::less<>> idle;

  auto take(std::string_view address) -> connection_ptr {
    while (true) {
      connection_ptr found;
      {
        ranked_lock lock(mutex);
        auto it = idle.find(address);
        if (it == idle.end() || it->second.empty()) return nullptr;
        found = std::move(it->second.back());
        it->second.pop_back();
      }
      if (is_quiet(*found)) return found;
    }
  }

  void keep(std::string_view address, connection_ptr c, std::size_t most) {
    ranked_lock lock(mutex);
    auto& list = idle[std::string(address)];
    if (list.size() < most) list.push_back(std::move(c));
  }
};

namespace {

/// Cancels a connection's operations at a deadline.
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
  tcp::endpoint where(asio::ip::make_address(host, ec), port);
  if (ec) co_return ec;
  co_await c->socket.async_connect(
      where, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) c->socket.set_option(tcp::no_delay(true), ec);
  co_return ec;
}

struct attempt_result_http {
  exchange_result result;
  bool reusable = false;
  bool stale = false;  // a kept connection that closed before any answer
};

/// Writes the request and reads its answer on a connected socket.
auto run_exchange(connection_ptr c,
                  const http::request<http::string_body>& request,
                  const deadline_guard& deadline, std::uint64_t body_bytes)
    -> asio::awaitable<attempt_result_http> {
  attempt_result_http out;
  beast::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  auto written = co_await http::async_write(c->socket, request, token);
  if (ec) {
    if (written == 0 && !deadline.expired()) {
      out.result = exchange_not_sent{"write failed: " + ec.message()};
    } else {
      out.result =
          exchange_broken{"write failed: " + ec.message(), deadline.expired()};
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
    out.result =
        exchange_broken{deadline.expired() ? "no whole answer in time"
                                           : "no whole answer: " + ec.message(),
                        deadline.expired()};
    co_return out;
  }
  bool framed = parser.chunked() || parser.content_length().has_value() ||
                request.method() == http::verb::head ||
                parser.get().result_int() == 204 ||
                parser.get().result_int() == 304;
  bool keep = parser.keep_alive();
  auto answered = parser.release();
  auto asked = request[request_id];
  auto given = answered[request_id];
  if (!framed) {
    // Without a length nobody can tell a cut answer from a whole one.
    out.result = exchange_broken{"the answer has no length", false};
  } else if (!given.empty() && !asked.empty() && given != asked) {
    out.result = exchange_broken{"the answer is to another request", false};
  } else {
    out.reusable = keep;
    out.result = exchange_answered{convert(std::move(answered))};
  }
  co_return out;
}

}  // namespace

http_client::http_client() : impl_(std::make_shared<impl>()) {}
http_client::~http_client() = default;

void http_client::forget(std::string_view address) {
  ranked_lock lock(impl_->mutex);
  auto it = impl_->idle.find(address);
  if (it != impl_->idle.end()) impl_->idle.erase(it);
}

auto http_client::exchange(std::string_view address,
                           const http_request& request, exchange_limits limits)
    -> asio::awaitable<exchange_result> {
  auto self = impl_;
  std::string where(address);
  auto executor = co_await asio::this_coro::executor;
  auto out = convert(request, where);
  auto until = std::chrono::steady_clock::now() + limits.timeout;
  auto kept = self->take(where);
  if (kept != nullptr) {
    deadline_guard deadline(executor, kept, until);
    auto done = co_await run_exchange(kept, out, deadline, limits.body_bytes);
    if (done.reusable) self->keep(where, kept, limits.idle_connections);
    // The server may close a kept connection just as it is used again.
    bool harmless = limits.idempotent ||
                    std::holds_alternative<exchange_not_sent>(done.result);
    if (!done.stale || !harmless) co_return std::move(done.result);
  }
  auto fresh = std::make_shared<connection>(executor);
  {
    auto connect_until =
        std::min(until, std::chrono::steady_clock::now() + limits.connect);
    deadline_guard deadline(executor, fresh, connect_until);
    auto ec = co_await connect(fresh, where);
    if (ec) {
      auto reason = "connect to " + where + " failed: " + ec.message();
      co_return exchange_not_sent{std::move(reason)};
    }
    if (deadline.expired()) {
      auto reason = "connect to " + where + " took too long";
      co_return exchange_not_sent{std::move(reason)};
    }
  }
  deadline_guard deadline(executor, fresh, until);
  auto done = co_await run_exchange(fresh, out, deadline, limits.body_bytes);
  if (done.reusable) self->keep(where, fresh, limits.idle_connections);
  co_return std::move(done.result);
}

}  // namespace parsleyledge
