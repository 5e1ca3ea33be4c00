#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "adapters/http_message.h"

namespace parsleyledge {

/// The whole answer arrived, framed by a length or by chunks.
struct exchange_answered {
  http_response response;
};

/// No byte of the request can have reached the server.
struct exchange_not_sent {
  std::string reason;
};

/// Bytes were sent and no whole answer came: it is unknown what ran.
struct exchange_broken {
  std::string reason;
  bool timed_out = false;
};

using exchange_result =
    std::variant<exchange_answered, exchange_not_sent, exchange_broken>;

/// Bounds of one exchange.
struct exchange_limits {
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds connect{1000};
  std::uint64_t body_bytes = 32u << 20;
  std::size_t idle_connections = 64;  // kept a server
  bool idempotent = false;            // may be sent again on a fresh connection
};

/// Sends requests over kept connections. A connection is used again only
/// after a whole answer and only while nothing unasked has arrived on it.
class http_client {
 public:
  http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;
  ~http_client();

  /// Sends a request to ip:port and reads the whole answer. `request` must
  /// outlive the call.
  auto exchange(std::string_view address, const http_request& request,
                exchange_limits limits)
      -> boost::asio::awaitable<exchange_result>;

  /// Closes the connections kept for a server.
  void forget(std::string_view address);

 private:
  struct impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace parsleyledge
