#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "adapters/http_message.h"

namespace parsleyledge {

/// A complete response arrived, framed by its length or by chunks.
struct exchange_completed {
  http_response response;
};

/// The request did not run: no byte of it can have reached the server.
struct exchange_not_sent {
  std::string reason;
  bool closed = false;  // the server refused or closed the connection
};

/// Bytes were sent but no complete response arrived: it is unknown whether the
/// request ran.
struct exchange_incomplete {
  std::string reason;
  bool timed_out = false;
  bool closed = false;  // the server refused or closed the connection
};

using exchange_result =
    std::variant<exchange_completed, exchange_not_sent, exchange_incomplete>;

/// Limits of one exchange.
struct exchange_limits {
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds connect_timeout{1000};
  std::uint64_t body_bytes = 32u << 20;
  std::size_t idle_connections = 64;  // retained per server
  bool idempotent = false;            // may be resent on a new connection
};

/// An HTTP/1.1 client with a pool of persistent connections. A connection is
/// reused only after a complete response and only if no unsolicited byte has
/// arrived on it. Later exchanges with any server close the idle connections
/// that their servers have closed or that have been idle for too long.
class http_client {
 public:
  static constexpr std::chrono::seconds default_max_idle_time{30};

  explicit http_client(
      std::chrono::milliseconds max_idle_time = default_max_idle_time);
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;
  ~http_client();

  /// Sends a request to ip:port and reads the complete response. `request` must
  /// outlive the call.
  auto exchange(std::string_view address, const http_request& request,
                exchange_limits limits)
      -> boost::asio::awaitable<exchange_result>;

  /// Closes the idle connections to a server.
  void close_idle(std::string_view address);

 private:
  struct impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace parsleyledge
