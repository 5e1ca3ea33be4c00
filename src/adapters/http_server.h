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

/// Bounds of what a client may send.
struct http_limits {
  std::uint64_t body_bytes = 8u << 20;
  std::uint32_t header_bytes = 16u << 10;
  std::size_t connections = 4096;
  std::chrono::seconds idle{60};
  std::chrono::seconds request{30};  // to send a whole request
};

/// Serves HTTP/1.1 on a pool of workers.
class http_server {
 public:
  http_server(boost::asio::thread_pool& pool, http_limits limits);
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;
  ~http_server();

  /// Listens on ip:port and serves each request by the handler. Returns an
  /// error text, empty if it listens.
  auto listen(std::string_view address, http_handler handler) -> std::string;

  /// From now on each connection closes after its present answer.
  void drain();

  /// Stops listening and closes the connections that wait for a request.
  void close_idle();

  /// Requests that are being served.
  auto busy() const -> std::size_t;

  /// Open connections.
  auto connections() const -> std::size_t;

 private:
  struct impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace parsleyledge
