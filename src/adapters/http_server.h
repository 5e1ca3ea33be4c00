#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http_message.h"

namespace parsleyledge {

using http_handler =
    std::function<boost::asio::awaitable<http_response>(http_request)>;

/// Size limits, connection limit and timeouts of a server.
struct http_limits {
  std::uint64_t body_bytes = 8u << 20;
  std::uint32_t header_bytes = 16u << 10;
  std::size_t connections = 4096;
  std::chrono::seconds idle_timeout{60};  // between requests
  // To read a request, and again to write its response.
  std::chrono::seconds request_timeout{30};
};

/// Serves HTTP/1.1 on a thread pool.
class http_server {
 public:
  http_server(boost::asio::thread_pool& pool, http_limits limits);
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;
  ~http_server();

  /// Listens on ip:port and passes each request to the handler. Returns an
  /// error message, or an empty string on success.
  auto listen(std::string_view address, http_handler handler) -> std::string;

  /// From now on closes each connection after its current or next response,
  /// unless another request has arrived on it by then.
  void drain();

  /// Stops listening and, after 200 ms, closes the connections that wait for a
  /// request: a request that was under way by then is still served.
  void close_idle();

  /// The number of requests that are being served.
  auto active_requests() const -> std::size_t;

  /// The number of open connections.
  auto connections() const -> std::size_t;

 private:
  struct impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace parsleyledge
