#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "record.h"

namespace review {

/// A request or a response.
struct http_message {
  std::string method;
  std::string target;
  int status = 200;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

inline auto make_endpoint(const std::string& address) -> sockaddr_in {
  auto colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

/// Waits until the socket can be read or written. Returns false after the time
/// limit.
inline auto wait_for(int fd, short events, milliseconds limit) -> bool {
  pollfd one{fd, events, 0};
  return ::poll(&one, 1, static_cast<int>(limit.count())) > 0;
}

inline auto send_all(int fd, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

/// Reads one message with a Content-Length. Bytes beyond it stay in `buffer`.
inline auto read_message(int fd, std::string& buffer, http_message& message,
                         milliseconds limit) -> bool {
  auto until = steady_now() + limit;
  auto read_more = [&] {
    auto left = std::chrono::duration_cast<milliseconds>(until - steady_now());
    if (left.count() <= 0 || !wait_for(fd, POLLIN, left)) return false;
    char bytes[16384];
    auto n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) return false;
  }
  message = {};
  std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  auto line_end = head.find("\r\n");
  std::string first = head.substr(0, line_end);
  auto space = first.find(' ');
  if (first.starts_with("HTTP/")) {
    message.status = std::atoi(first.c_str() + space + 1);
  } else {
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  for (auto at = line_end + 2; at < head.size();) {
    auto next = head.find("\r\n", at);
    auto line = head.substr(at, next - at);
    at = next + 2;
    auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto name = line.substr(0, colon);
    for (auto& c : name) c = static_cast<char>(std::tolower(c));
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers[name] = value;
  }
  std::size_t length = 0;
  if (message.headers.contains("content-length"))
    length =
        std::strtoull(message.headers["content-length"].c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!read_more()) return false;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

/// Sends a request on a new connection. Returns nothing if no complete
/// response arrives in time.
inline auto http_call(const std::string& address, const std::string& method,
                      const std::string& target, const std::string& body,
                      milliseconds limit,
                      const std::map<std::string, std::string>& headers = {})
    -> std::optional<http_message> {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto to = make_endpoint(address);
  std::optional<http_message> response;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) text += "Host: " + address + "\r\n";
    for (const auto& [name, value] : headers)
      text += name + ": " + value + "\r\n";
    text += "Content-Type: application/json\r\nConnection: close\r\n";
    text +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    http_message message;
    std::string buffer;
    if (send_all(fd, text) && read_message(fd, buffer, message, limit))
      response = std::move(message);
  }
  ::close(fd);
  return response;
}

/// What a server does with a request: respond, or close the channel without a
/// response.
using http_reply = std::optional<http_message>;
using http_handler = std::function<http_reply(const http_message&)>;

/// A server with one thread for each connection.
class http_server {
 public:
  http_server(const std::string& address, http_handler handler)
      : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = make_endpoint(address);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(listener_, 128) != 0) {
      std::perror(("listen on " + address).c_str());
      std::exit(2);
    }
    acceptor_ = std::thread([this] { accept_all(); });
  }

  http_server(const http_server&) = delete;

  ~http_server() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
      std::lock_guard lock(mutex_);
      for (int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& one : threads_) one.join();
    ::close(listener_);
  }

 private:
  void accept_all() {
    while (!stopping_) {
      if (!wait_for(listener_, POLLIN, milliseconds(200))) continue;
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] { serve(fd); });
    }
  }

  void serve(int fd) {
    std::string buffer;
    http_message request;
    while (!stopping_ &&
           read_message(fd, buffer, request, std::chrono::minutes(5))) {
      auto reply = handler_(request);
      if (!reply || stopping_) break;
      std::string text = "HTTP/1.1 " + std::to_string(reply->status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(reply->body.size()) + "\r\n\r\n" +
                         reply->body;
      if (!send_all(fd, text)) break;
    }
    std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }

  http_handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

}  // namespace review
