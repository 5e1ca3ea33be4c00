#include "adapters/http_server.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <mutex>
#include <set>

#include "adapters/log.h"
#include "adapters/settings.h"

namespace parsleyledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds discard_timeout{2};
// How long a connection may still wait for a request once the server has
// stopped accepting: the request may be under way.
constexpr std::chrono::milliseconds last_request_timeout{200};
constexpr std::chrono::milliseconds accept_retry_delay{50};
constexpr std::size_t max_discarded_bytes = 64U << 20;

using request_parser = http::request_parser<http::string_body>;

auto convert(http::request<http::string_body> from) -> http_request {
  http_request to;
  to.method = std::string(from.method_string());
  to.target = std::string(from.target());
  for (const auto& field : from) {
    to.headers.emplace_back(field.name_string(), field.value());
  }
  to.body = std::move(from.body());
  return to;
}

auto convert(http_response from, unsigned version, bool keep_alive)
    -> http::response<http::string_body> {
  http::response<http::string_body> to;
  to.version(version);
  to.result(static_cast<unsigned>(from.status));
  for (const auto& [name, value] : from.headers) to.insert(name, value);
  to.body() = std::move(from.body);
  to.keep_alive(keep_alive);
  to.prepare_payload();
  return to;
}

auto problem_of(const beast::error_code& ec) -> problem {
  if (ec == http::error::body_limit) {
    return {413, "Content too large", "the request body is too large",
            run_outcome::not_run};
  }
  if (ec == http::error::header_limit) {
    return {431, "Header too large", "the request header is too large",
            run_outcome::not_run};
  }
  return {400, "Bad request", "the request is not valid HTTP: " + ec.message(),
          run_outcome::not_run};
}

}  // namespace

struct http_server::impl {
  impl(asio::thread_pool& pool, http_limits l) : threads(pool), limits(l) {}

  asio::thread_pool& threads;
  http_limits limits;
  http_handler handler;
  std::unique_ptr<tcp::acceptor> acceptor;
  std::atomic<bool> draining{false};  // close connections after responses
  std::atomic<bool> stopped_accepting{false};  // accept no new connections
  std::atomic<std::size_t> active_requests{0};
  std::atomic<std::size_t> open_connections{0};
  std::mutex mutex;  // innermost: no lock is taken under it
  std::set<std::shared_ptr<beast::tcp_stream>> idle;

  void set_idle(const std::shared_ptr<beast::tcp_stream>& stream, bool on) {
    std::lock_guard lock(mutex);
    if (on) {
      idle.insert(stream);
    } else {
      idle.erase(stream);
    }
  }
};

namespace {

/// Reads one request. Between requests the idle timeout applies, and from the
/// first byte of a request the shorter request timeout.
template <typename Impl>
auto read_request(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                  beast::flat_buffer& buffer, request_parser& parser)
    -> asio::awaitable<beast::error_code> {
  beast::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  if (buffer.size() == 0) {
    self.set_idle(stream, true);
    if (self.stopped_accepting) {
      stream->expires_after(last_request_timeout);
    } else {
      stream->expires_after(self.limits.idle_timeout);
    }
    auto space = buffer.prepare(4096);
    auto n = co_await stream->async_read_some(space, token);
    self.set_idle(stream, false);
    // A request that arrived while the server was closing idle connections is
    // still served.
    if (ec == asio::error::operation_aborted &&
        stream->socket().available() > 0) {
      n = co_await stream->async_read_some(space, token);
    }
    if (ec) co_return ec;
    buffer.commit(n);
  }
  stream->expires_after(self.limits.request_timeout);
  co_await http::async_read(*stream, buffer, parser, token);
  co_return ec;
}

/// Reads and discards the rest of a rejected request: closing at once would
/// reset the connection before the client has read the response.
auto discard_rest(std::shared_ptr<beast::tcp_stream> stream)
    -> asio::awaitable<void> {
  std::array<char, 16384> rest{};
  beast::error_code ec;
  stream->expires_after(discard_timeout);
  for (std::size_t bytes = 0; !ec && bytes < max_discarded_bytes;) {
    bytes += co_await stream->async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, ec));
  }
}

/// Passes a request to the handler. The caller gets a response even if the
/// handler throws.
auto call_handler(const http_handler& handler, http_request request)
    -> asio::awaitable<http_response> {
  std::string detail;
  try {
    auto response = co_await handler(std::move(request));
    co_return response;
  } catch (const std::exception& error) {
    detail = error.what();
  }
  log_event(log_level::error, "handler_failed", {{"detail", detail}});
  co_return make_response(problem{500, "Internal error",
                                  "the request could not be handled",
                                  run_outcome::unknown});
}

template <typename Impl>
auto serve(std::shared_ptr<Impl> self,
           std::shared_ptr<beast::tcp_stream> stream) -> asio::awaitable<void> {
  beast::flat_buffer buffer;
  beast::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  while (true) {
    request_parser parser;
    parser.body_limit(self->limits.body_bytes);
    parser.header_limit(self->limits.header_bytes);
    auto read_error = co_await read_request(*self, stream, buffer, parser);
    http_response response;
    bool keep_alive = false;
    unsigned version = 11;
    bool counted = false;
    if (read_error) {
      bool connection_ended =
          read_error == http::error::end_of_stream ||
          read_error.category() !=
              make_error_code(http::error::body_limit).category();
      if (connection_ended) break;
      response = make_response(problem_of(read_error));
    } else {
      ++self->active_requests;
      counted = true;
      auto request = parser.release();
      keep_alive = request.keep_alive();
      version = request.version();
      auto converted = convert(std::move(request));
      stream->expires_never();
      response = co_await call_handler(self->handler, std::move(converted));
    }
    // A request that has already arrived is answered before the connection
    // closes.
    bool last = self->draining && buffer.size() == 0 &&
                stream->socket().available(ec) == 0;
    keep_alive = keep_alive && !response.close && !last;
    auto out = convert(std::move(response), version, keep_alive);
    stream->expires_after(self->limits.request_timeout);
    co_await http::async_write(*stream, out, token);
    if (counted) --self->active_requests;
    if (ec || !keep_alive) {
      stream->socket().shutdown(tcp::socket::shutdown_send, ec);
      if (read_error) co_await discard_rest(stream);
      break;
    }
  }
  --self->open_connections;
}

template <typename Impl>
auto accept_loop(std::shared_ptr<Impl> self) -> asio::awaitable<void> {
  while (!self->stopped_accepting) {
    beast::error_code ec;
    auto strand = asio::make_strand(self->threads);
    auto socket = co_await self->acceptor->async_accept(
        strand, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted || !self->acceptor->is_open()) {
      co_return;
    }
    if (ec) {
      // Most likely there is no free descriptor. The client stays in the queue.
      asio::steady_timer timer(self->acceptor->get_executor(),
                               accept_retry_delay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    if (self->open_connections >= self->limits.connections)
      continue;  // closes the socket
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++self->open_connections;
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    asio::co_spawn(strand, serve(self, stream), asio::detached);
  }
}

template <typename Impl>
void cancel_idle(const std::shared_ptr<Impl>& self) {
  std::lock_guard lock(self->mutex);
  for (const auto& stream : self->idle) {
    // The connection may have become busy by the time this runs on its strand.
    asio::post(stream->get_executor(), [self, stream] {
      std::lock_guard inner(self->mutex);
      if (self->idle.contains(stream)) stream->cancel();
    });
  }
}

}  // namespace

http_server::http_server(asio::thread_pool& pool, http_limits limits)
    : impl_(std::make_shared<impl>(pool, limits)) {}

http_server::~http_server() {
  close_idle();
}

auto http_server::listen(std::string_view address, http_handler handler)
    -> std::string {
  impl_->handler = std::move(handler);
  auto [host, port] = split_address(address);
  beast::error_code ec;
  tcp::endpoint local(asio::ip::make_address(host, ec), port);
  auto strand = asio::make_strand(impl_->threads);
  impl_->acceptor = std::make_unique<tcp::acceptor>(strand);
  auto& acceptor = *impl_->acceptor;
  acceptor.open(local.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return std::string(address) + ": " + ec.message();
  asio::co_spawn(strand, accept_loop(impl_), asio::detached);
  return {};
}

void http_server::drain() {
  impl_->draining = true;
}

void http_server::close_idle() {
  impl_->draining = true;
  impl_->stopped_accepting = true;
  auto self = impl_;
  if (self->acceptor != nullptr) {
    asio::post(self->acceptor->get_executor(), [self] {
      beast::error_code ec;
      self->acceptor->close(ec);
    });
  }
  auto timer =
      std::make_shared<asio::steady_timer>(self->threads, last_request_timeout);
  timer->async_wait(
      [self, timer](const beast::error_code&) { cancel_idle(self); });
}

auto http_server::active_requests() const -> std::size_t {
  return impl_->active_requests;
}

auto http_server::connections() const -> std::size_t {
  return impl_->open_connections;
}

}  // namespace parsleyledge
