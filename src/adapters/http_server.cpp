#include "adapters/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
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
// Beast accepts fields up to 64 KB, and the buffer of a connection, which may
// hold a trailer, is larger than the limit by buffer_reserve.
constexpr std::uint32_t max_header_bytes = 48U << 10;

std::atomic<memory_group> next_group{0};  // of the servers of this process

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
struct request_read {
  std::size_t header_memory = 0;  // bytes
};

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
  const memory_group group = next_group++;  // of its connections
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

/// Parses what has been read. Sets `ec` to need_more if the request is not
/// complete.
void parse(request_parser& parser, beast::flat_buffer& buffer,
           beast::error_code& ec) {
  try {
    buffer.consume(parser.put(buffer.data(), ec));
  } catch (const std::length_error&) {  // a field beyond the limits of Beast
    ec = http::error::header_limit;
  }
}

/// Parses the end of the stream. Sets `ec` to end_of_stream if no request has
/// begun.
void parse_end(request_parser& parser, beast::error_code& ec) {
  ec = http::error::end_of_stream;
  if (parser.got_some()) parser.put_eof(ec);
}

/// The memory that a request takes whose fields have been parsed: Beast keeps a
/// node for each, and the converted request a pair of strings.
auto memory_of_fields(const request_parser& parser) -> std::size_t {
  constexpr std::size_t bytes_per_field = 160;
  const auto& fields = parser.get();
  auto count = std::distance(fields.begin(), fields.end());
  return static_cast<std::size_t>(count) * bytes_per_field;
}

/// The memory that a request takes that is being read.
class request_size {
 public:
  /// Adds what a call of parse() has consumed.
  void add(const request_parser& parser, std::size_t consumed) {
    bool was_header_done = is_header_done_;
    if (!was_header_done) header_bytes_ += consumed;
    is_header_done_ = parser.is_header_done();
    // A trailer adds fields at the end of the request.
    bool has_new_fields = !was_header_done || parser.is_done();
    if (is_header_done_ && has_new_fields)
      field_bytes_ = memory_of_fields(parser);
  }

  auto header_bytes() const -> std::size_t { return header_bytes_; }
  auto is_header_done() const -> bool { return is_header_done_; }

  /// The bytes that the request holds beside its body, once `unparsed` more
  /// bytes are parsed. While the header is incomplete it may consist of fields
  /// of the smallest size.
  auto header_memory(std::size_t unparsed = 0) const -> std::size_t {
    constexpr std::size_t max_bytes_per_header_byte = 40;
    if (is_header_done_) return header_bytes_ + field_bytes_;
    return (header_bytes_ + unparsed) * (1 + max_bytes_per_header_byte);
  }

  /// The bytes of the body. Memory that is reserved for an announced length and
  /// not yet used does not count.
  static auto body_memory(const request_parser& parser) -> std::size_t {
    if (!parser.is_header_done()) return 0;
    const auto& body = parser.get().body();
    return parser.content_length() ? body.size() : body.capacity();
  }

 private:
  std::size_t header_bytes_ = 0;
  std::size_t field_bytes_ = 0;
  bool is_header_done_ = false;
};

/// Reads one request within the memory that its connection gets. Between
/// requests the idle timeout applies, and from the first byte of a request the
/// shorter ones. Reads and parses step by step, since http::async_read() goes
/// on reading without a bound while fields or chunks end within a read.
template <typename Impl>
auto read_request(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                  beast::flat_buffer& buffer, request_parser& parser,
                  memory_share& share) -> asio::awaitable<read_result> {
  auto ec = co_await await_request(self, stream, buffer);
  if (ec) co_return connection_ended{};
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  share.begin();
  share.allow_shedding(true);
  stream->expires_after(milliseconds(self.header_timeout_ms));
  request_size size;
  while (!parser.is_done()) {
    auto before = buffer.size();
    bool was_in_header = !size.is_header_done();
    // Before the bytes are parsed, since that takes a multiple of the memory.
    auto needed = buffer.capacity() + size.header_memory(before) +
                  request_size::body_memory(parser);
    if (!share.resize(needed)) co_return memory_refusal();
    parse(parser, buffer, ec);
    auto consumed = before - buffer.size();
    size.add(parser, consumed);
    if (ec && ec != http::error::need_more) co_return result_of(ec);
    if (size.header_bytes() > self.header_bytes)
      co_return result_of(http::error::header_limit);
    if (was_in_header && size.is_header_done())
      stream->expires_after(self.limits.request_timeout);
    auto held = buffer.capacity() + size.header_memory() +
                request_size::body_memory(parser);
    if (!share.resize(held)) co_return memory_refusal();
    bool needs_input =
        ec == http::error::need_more || consumed == 0 || buffer.size() == 0;
    if (parser.is_done() || !needs_input) continue;
    auto space = std::min(buffer.max_size() - buffer.size(), buffer_reserve);
    if (space == 0) co_return result_of(http::error::buffer_overflow);
    auto input = buffer.prepare(space);
    buffer.commit(co_await stream->async_read_some(input, token));
    if (ec == asio::error::eof) {
      parse_end(parser, ec);
      if (ec) co_return result_of(ec);
    }
    if (ec) co_return connection_ended{};
  }
  if (!share.allow_shedding(false)) co_return connection_ended{};
  // The converted request has its fields once more.
  if (!share.resize(2 * size.header_memory() + parser.get().body().size() +
                    buffer_reserve))
    co_return memory_refusal();
  co_return request_read{size.header_memory()};
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
auto handle_request(Impl& self, http_request request, std::size_t header_memory,
                    memory_share& share) -> asio::awaitable<http_response> {
  auto expected = self.estimate ? self.estimate(request) : 0;
  if (!share.resize(header_memory + request.body.size() + buffer_reserve +
                    expected))
    co_return memory_refusal();
  auto response = co_await call_handler(self.handler, std::move(request));
  // A response that was expected to be smaller may not fit.
  if (!share.resize(std::max(response.body.size(), buffer_reserve))) {
    response = make_response(problem{503, "Busy",
                                     "there is no memory for the response",
                                     run_outcome::unknown});
  }
  co_return response;
}

/// Writes a response. Returns whether the connection is still usable.
template <typename Impl>
auto write_response(Impl& self, std::shared_ptr<beast::tcp_stream> stream,
                    http::response<http::string_body> response,
                    memory_share& share) -> asio::awaitable<bool> {
  beast::error_code ec;
  share.begin();
  if (!share.allow_shedding(true)) co_return false;
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
  memory_share share(self->budget, self->group, close);
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
      buffer.shrink_to_fit();
      share.resize(buffer_reserve);
    } else {
      ++self->active_requests;
      auto request = parser->release();
      keep_alive = request.keep_alive();
      version = request.version();
      auto converted = convert(std::move(request));
      stream->expires_never();
      auto header_memory = std::get<request_read>(read).header_memory;
      response = co_await handle_request(*self, std::move(converted),
                                         header_memory, share);
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

/// Closes a connection on its strand, unless it has become busy by then.
template <typename Impl>
void cancel_if_idle(const std::shared_ptr<Impl>& self,
                    std::shared_ptr<beast::tcp_stream> stream) {
  auto executor = stream->get_executor();
  asio::post(executor, [self, target = std::move(stream)] {
    std::lock_guard lock(self->mutex);
    if (self->idle.contains(target)) target->cancel();
  });
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
    if (it != self->idle.end() && it->second != time_point::max()) {
      oldest = it->first;
      it->second = time_point::max();  // chosen
    }
  }
  if (oldest == nullptr) {
    self->budget->shed_one(self->group);
    return;
  }
  cancel_if_idle(self, oldest);
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
    // Those that are closed take a moment. Beyond that, closes the socket.
    if (open >= self->limits.connections + self->limits.connections / 16)
      continue;
    if (open >= self->limits.connections) make_room(self);
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
  for (const auto& [stream, since] : self->idle) cancel_if_idle(self, stream);
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
  impl_->header_bytes = std::min(header_bytes, max_header_bytes);
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
