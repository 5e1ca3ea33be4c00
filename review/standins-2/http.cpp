#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <stdexcept>

namespace review {

namespace {

using clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds stop_check_interval{100};

auto parse_address(const std::string& address) -> sockaddr_in {
  auto colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

auto listen_on(const std::string& address) -> int {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto at = parse_address(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd, 128) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

auto wait_for(int fd, short events, clock::time_point until) -> bool {
  auto left =
      std::chrono::ceil<std::chrono::milliseconds>(until - clock::now());
  pollfd entry{fd, events, 0};
  return left.count() > 0 &&
         ::poll(&entry, 1, static_cast<int>(left.count())) > 0;
}

auto write_all(int fd, const std::string& bytes) -> bool {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads one message; `buffer` keeps the bytes after it. `keep_waiting` decides
/// whether to go on after each interval without bytes.
auto read_message(int fd, std::string& buffer,
                  const std::function<bool()>& keep_waiting)
    -> std::optional<http_message> {
  auto read_more = [&]() -> bool {
    while (keep_waiting()) {
      if (!wait_for(fd, POLLIN, clock::now() + stop_check_interval)) continue;
      char bytes[16384];
      auto n = ::recv(fd, bytes, sizeof bytes, 0);
      if (n <= 0) return false;
      buffer.append(bytes, static_cast<std::size_t>(n));
      return true;
    }
    return false;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) return {};
  }
  http_message message;
  std::size_t at = buffer.find("\r\n");
  std::string first = buffer.substr(0, at);
  while (at < end) {
    at += 2;
    auto line_end = buffer.find("\r\n", at);
    auto line = buffer.substr(at, line_end - at);
    at = line_end;
    auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers[name] = value;
  }
  std::size_t length = 0;
  if (message.headers.contains("content-length"))
    length = std::stoul(message.headers["content-length"]);
  while (buffer.size() < end + 4 + length) {
    if (!read_more()) return {};
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  auto space = first.find(' ');
  if (first.starts_with("HTTP/")) {
    message.status = std::stoi(first.substr(space + 1));
  } else {
    message.method = first.substr(0, space);
    auto rest = first.substr(space + 1);
    message.target = rest.substr(0, rest.find(' '));
  }
  return message;
}

auto format(const http_message& message, const std::string& first_line)
    -> std::string {
  auto text = first_line + "\r\n";
  for (const auto& [name, value] : message.headers)
    text += name + ": " + value + "\r\n";
  text += "content-length: " + std::to_string(message.body.size());
  return text + "\r\n\r\n" + message.body;
}

}  // namespace

auto call(const std::string& address, http_message request,
          std::chrono::milliseconds timeout) -> http_message {
  auto until = clock::now() + timeout;
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto to = parse_address(address);
  int status = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  bool connected = status == 0;
  if (!connected && wait_for(fd, POLLOUT, until)) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    connected = error == 0;
  }
  http_message response;
  if (connected) {
    request.headers.emplace("host", address);
    request.headers["connection"] = "close";
    std::string buffer;
    auto first = request.method + " " + request.target + " HTTP/1.1";
    if (write_all(fd, format(request, first))) {
      auto read =
          read_message(fd, buffer, [&] { return clock::now() < until; });
      if (read) response = *read;
    }
  }
  ::close(fd);
  return response;
}

http_server::http_server(const std::string& address, handler serve)
    : serve_(std::move(serve)), listener_(listen_on(address)) {
  if (listener_ < 0) throw std::runtime_error("cannot listen on " + address);
  acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server() {
  stopped_ = true;
  acceptor_.join();
  ::close(listener_);
  while (open_ > 0) std::this_thread::sleep_for(stop_check_interval);
}

void http_server::accept_connections() {
  while (!stopped_) {
    if (!wait_for(listener_, POLLIN, clock::now() + stop_check_interval))
      continue;
    int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++open_;
    std::thread([this, fd] {
      serve_connection(fd);
      ::close(fd);
      --open_;
    }).detach();
  }
}

void http_server::serve_connection(int fd) {
  std::string buffer;
  while (auto request =
             read_message(fd, buffer, [this] { return !stopped_.load(); })) {
    auto response = serve_(std::move(*request));
    if (!response) continue;
    response->headers["content-type"] = "application/json";
    auto first = "HTTP/1.1 " + std::to_string(response->status) + " Status";
    if (!write_all(fd, format(*response, first))) return;
  }
}

auto is_free(const std::string& address) -> bool {
  int fd = listen_on(address);
  if (fd < 0) return false;
  ::close(fd);
  return true;
}

}  // namespace review
