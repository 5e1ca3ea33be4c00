#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

/// A request or a response; header names are in lower case.
struct http_message {
  std::string method;  // of a request
  std::string target;  // of a request
  int status = 0;      // of a response; 0: no complete response in time
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends a request on a connection of its own and reads the response.
auto call(const std::string& address, http_message request,
          std::chrono::milliseconds timeout) -> http_message;

/// Serves each connection on a thread. A handler that returns nothing leaves
/// the request without a response; the connection stays open.
class http_server {
 public:
  using handler = std::function<std::optional<http_message>(http_message)>;

  http_server(const std::string& address, handler serve);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

 private:
  void accept_connections();
  void serve_connection(int fd);

  handler serve_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<int> open_{0};
  std::thread acceptor_;
};

/// Whether a server could listen on this address.
auto is_free(const std::string& address) -> bool;

}  // namespace review
