#include "adapters/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <variant>

#include "adapters/clock.h"
#include "adapters/log.h"
#include "adapters/memory_budget.h"
#include "adapters/memory_share.h"
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
constexpr std::size_t max_discarded_bytes = 8U << 20;
// The buffer of a connection holds a header and what follows it in one read.
constexpr std::size_t buffer_reserve = 4096;
constexpr milliseconds memory_retry_delay{1000};

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
  // Trailers, chunk extensions and pipelined requests that the buffer of the
  // connection cannot hold.
  bool exceeds_buffer =
      ec == http::error::header_limit || ec == http::error::buffer_overflow;
  if (exceeds_buffer) {
    return {431, "Header too large",
            "the request header or its trailer is too large",
            run_outcome::not_run};
  }
  return {400, "Bad request", "the request is not valid HTTP: " + ec.message(),
          run_outcome::not_run};
}

/// The response to a request for which there is no memory.
auto memory_refusal() -> http_response {
  auto response = make_response(
      problem{503, "Busy", "there is no memory for the request at the moment",
              run_outcome::not_run});
  auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(memory_retry_delay);
  response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  return response;
}

/// The request has been read.
struct request_read {};

/// The connection ended, timed out or was shed.
struct connection_ended {};

/// What reading a request resulted in: the request, nothing, or the response
/// that refuses it.
using read_result = std::variant<request_read, connection_ended, http_response>;

auto result_of(const beast::error_code& ec) -> read_result {
  if (!ec) return request_read{};
  bool is_invalid =
      ec != http::error::end_of_stream &&
      ec.category() == make_error_code(http::error::body_limit).category();
  if (!is_invalid) return connection_ended{};
  return make_response(problem_of(ec));
}

}  // namespace

struct http_server::impl {
  impl(asio::thread_pool& pool, http_limits l,
       std::shared_ptr<memory_budget> memory)
      : threads(pool),
        limits(l),
        body_bytes(l.body_bytes),
        header_bytes(l.header_bytes),
        header_timeout_ms(l.header_timeout.count()),
        budget(std::move(memory)) {}

  asio::thread_pool& threads;
  const http_limits limits;
  std::atomic<std::uint64_t> body_bytes;
  std::atomic<std::uint32_t> header_bytes;
  std::atomic<std::int64_t> header_timeout_ms;
  std::shared_ptr<memory_budget> budget;
  response_size_estimate estimate;
  http_handler handler;
  std::unique_ptr<tcp::acceptor> acceptor;
  std::atomic<bool> draining{false};  // close connections after responses
  std::atomic<bool> stopped_accepting{false};  // accept no new connections
  std::atomic<std::size_t> active_requests{0};
  std::atomic<std::size_t> open_connections{0};
  std::mutex mutex;  // innermost: no lock is taken under it
  std::map<std::shared_ptr<beast::tcp_stream>, time_point> idle;  // since when

  void set_idle(const std::shared_ptr<beast::tcp_stream>& stream, bool on) {
    std::lock_guard lock(mutex);
    if (on) {
      idle.emplace(stream, steady_now());
    } else {
      idle.erase(stream);
    }
  }
};

namespace {

/// Waits for the first bytes of a request, unless they have arrived with an
/// earlier one.
template <typename Impl>
auto await_request(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                   beast::flat_buffer& buffer)
    -> asio::awaitable<beast::error_code> {
  beast::error_code ec;
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  if (buffer.size() != 0) co_return ec;
  self.set_idle(stream, true);
  if (self.stopped_accepting) {
    stream->expires_after(last_request_timeout);
  } else {
    stream->expires_after(self.limits.idle_timeout);
  }
  auto space = buffer.prepare(buffer_reserve);
  auto n = co_await stream->async_read_some(space, token);
  self.set_idle(stream, false);
  // A request that arrived while the server was closing idle connections is
  // still served.
  if (ec == asio::error::operation_aborted &&
      stream->socket().available() > 0) {
    n = co_await stream->async_read_some(space, token);
  }
  if (!ec) buffer.commit(n);
  co_return ec;
}

/// Reads one request within the memory that its connection gets. Between
/// requests the idle timeout applies, and from the first byte of a request the
/// shorter ones.
template <typename Impl>
auto read_request(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                  beast::flat_buffer& buffer, request_parser& parser,
                  memory_share& share) -> asio::awaitable<read_result> {
  auto ec = co_await await_request(self, stream, buffer);
  if (ec) co_return connection_ended{};
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  share.begin();
  share.allow_shedding(true);
  if (!share.resize(buffer.max_size())) co_return memory_refusal();
  bool in_body = false;
  stream->expires_after(milliseconds(self.header_timeout_ms));
  while (!parser.is_done()) {
    co_await http::async_read_some(*stream, buffer, parser, token);
    if (ec) co_return result_of(ec);
    if (!in_body && parser.is_header_done()) {
      in_body = true;
      stream->expires_after(self.limits.request_timeout);
    }
    auto held = buffer.max_size() + parser.get().body().capacity();
    if (!share.resize(held)) co_return memory_refusal();
  }
  if (!share.allow_shedding(false)) co_return connection_ended{};
  co_return request_read{};
}

/// Reads and discards the rest of a rejected request: closing at once would
/// reset the connection before the client has read the response.
auto discard_rest(std::shared_ptr<beast::tcp_stream> stream)
    -> asio::awaitable<void> {
  std::array<char, 4096> rest{};
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

/// Reserves memory for the response and passes the request to the handler.
template <typename Impl>
auto handle_request(Impl& self, http_request request, memory_share& share)
    -> asio::awaitable<http_response> {
  auto expected = self.estimate ? self.estimate(request) : 0;
  if (!share.resize(request.body.size() + buffer_reserve + expected))
    co_return memory_refusal();
  auto response = co_await call_handler(self.handler, std::move(request));
  co_return response;
}

/// Writes a response. Returns whether the connection is still usable.
template <typename Impl>
auto write_response(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                    http::response<http::string_body> response,
                    memory_share& share) -> asio::awaitable<bool> {
  beast::error_code ec;
  // The handler had memory for a small response and for one of the estimated
  // size; a larger one without memory is not sent.
  share.begin();
  share.allow_shedding(true);
  if (!share.resize(response.body().size())) co_return false;
  stream->expires_after(self.limits.request_timeout);
  co_await http::async_write(*stream, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  bool is_kept = share.allow_shedding(false);
  share.resize(0);
  co_return is_kept && !ec;
}

template <typename Impl>
auto serve(std::shared_ptr<Impl> self,
           std::shared_ptr<beast::tcp_stream> stream) -> asio::awaitable<void> {
  beast::flat_buffer buffer(self->header_bytes + buffer_reserve);
  beast::error_code ec;
  auto close = [weak = std::weak_ptr(stream)] {
    if (auto target = weak.lock())
      asio::post(target->get_executor(), [target] { target->cancel(); });
  };
  memory_share share(self->budget, close);
  while (true) {
    std::optional<request_parser> parser(std::in_place);
    parser->eager(true);
    parser->body_limit(self->body_bytes.load());
    parser->header_limit(self->header_bytes);
    auto read = co_await read_request(*self, stream, buffer, *parser, share);
    if (std::holds_alternative<connection_ended>(read)) break;
    http_response response;
    bool keep_alive = false;
    unsigned version = 11;
    bool is_refused = std::holds_alternative<http_response>(read);
    if (is_refused) {
      response = std::get<http_response>(std::move(read));
      parser.reset();
      buffer.clear();
    } else {
      ++self->active_requests;
      auto request = parser->release();
      keep_alive = request.keep_alive();
      version = request.version();
      auto converted = convert(std::move(request));
      stream->expires_never();
      response = co_await handle_request(*self, std::move(converted), share);
    }
    // A request that has already arrived is answered before the connection
    // closes.
    bool last = self->draining && buffer.size() == 0 &&
                stream->socket().available(ec) == 0;
    keep_alive = keep_alive && !response.close && !last;
    auto out = convert(std::move(response), version, keep_alive);
    bool usable = co_await write_response(*self, stream, std::move(out), share);
    if (!is_refused) --self->active_requests;
    if (!usable || !keep_alive) {
      stream->socket().shutdown(tcp::socket::shutdown_send, ec);
      if (is_refused && usable) co_await discard_rest(stream);
      break;
    }
    bool is_large = buffer.capacity() > 2 * buffer_reserve;
    if (is_large && buffer.size() == 0) buffer.shrink_to_fit();
  }
  --self->open_connections;
}

/// Makes room for a connection beyond the limit: closes the one that has been
/// idle for longest, or sheds one whose client sends or reads slowly.
template <typename Impl>
void make_room(const std::shared_ptr<Impl>& self) {
  std::shared_ptr<beast::tcp_stream> oldest;
  {
    std::lock_guard lock(self->mutex);
    auto it = std::ranges::min_element(
        self->idle, {}, [](const auto& item) { return item.second; });
    if (it != self->idle.end()) {
      oldest = it->first;
      self->idle.erase(it);
    }
  }
  if (oldest == nullptr) {
    self->budget->shed_one();
    return;
  }
  asio::post(oldest->get_executor(), [oldest] { oldest->cancel(); });
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
    auto open = self->open_connections.load();
    if (open >= self->limits.connections) make_room(self);
    // Those that are closed take a moment. Beyond that, closes the socket.
    if (open >= self->limits.connections + self->limits.connections / 16)
      continue;
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
  for (const auto& [stream, since] : self->idle) {
    // The connection may have become busy by the time this runs on its strand.
    asio::post(stream->get_executor(), [self, target = stream] {
      std::lock_guard inner(self->mutex);
      if (self->idle.contains(target)) target->cancel();
    });
  }
}

}  // namespace

http_server::http_server(asio::thread_pool& pool, http_limits limits,
                         std::shared_ptr<memory_budget> budget)
    : impl_(std::make_shared<impl>(
          pool, limits,
          budget != nullptr
              ? std::move(budget)
              : std::make_shared<memory_budget>(request_memory_of(0)))) {}

void http_server::set_request_limits(std::uint64_t body_bytes,
                                     std::uint32_t header_bytes,
                                     std::chrono::milliseconds header_timeout) {
  impl_->body_bytes = std::min(body_bytes, impl_->limits.body_bytes);
  impl_->header_bytes = header_bytes;
  impl_->header_timeout_ms = header_timeout.count();
}

void http_server::set_response_estimate(response_size_estimate estimate) {
  impl_->estimate = std::move(estimate);
}

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
