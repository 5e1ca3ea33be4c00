#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http_limits.h"
#include "adapters/http_message.h"

namespace parsleyledge {

class memory_budget;

using http_handler =
    std::function<boost::asio::awaitable<http_response>(http_request)>;

/// The size of the response to a request, as far as it is known before the
/// request is handled; 0 if it is small.
using response_size_estimate = std::function<std::size_t(const http_request&)>;

/// Serves HTTP/1.1 on a thread pool.
class http_server {
 public:
  /// Without a budget the server has one of its own, of the default size.
  http_server(boost::asio::thread_pool& pool, http_limits limits,
              std::shared_ptr<memory_budget> budget = nullptr);
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;
  ~http_server();

  /// Listens on ip:port and passes each request to the handler. Returns an
  /// error message, or an empty string on success.
  auto listen(std::string_view address, http_handler handler) -> std::string;

  /// Replaces the limits of requests that begin from now on, and of their
  /// headers on connections that are accepted from now on.
  void set_request_limits(std::uint64_t body_bytes, std::uint32_t header_bytes,
                          std::chrono::milliseconds header_timeout);

  /// Reserves memory for large responses before their requests are handled.
  /// To be called before listen().
  void set_response_estimate(response_size_estimate estimate);

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
