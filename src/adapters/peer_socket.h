#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace parsleyledge::wire {
class envelope;
}

namespace parsleyledge {

/// Who speaks on a peer socket.
struct peer_identity {
  std::string group;
  std::string name;
};

/// Messages between the processes of the system over ZeroMQ. One thread owns
/// all sockets and waits in poll; other threads hand messages over through a
/// bounded queue. A message that cannot be sent at once is dropped: every
/// protocol above repeats what it needs.
class peer_socket {
 public:
  /// Called on the socket's thread. `from` is a token for reply().
  using receiver =
      std::function<void(std::string_view from, wire::envelope message)>;

  peer_socket(peer_identity self, receiver receive);
  peer_socket(const peer_socket&) = delete;
  auto operator=(const peer_socket&) -> peer_socket& = delete;
  ~peer_socket();

  /// Binds to ip:port, or to nothing if empty, and starts the thread.
  /// Returns an error text, empty if it runs.
  auto start(std::string_view listen_address) -> std::string;

  /// Sends to a peer's listening address.
  void send(std::string_view address, wire::envelope message);

  /// Answers the peer that a token names.
  void reply(std::string_view to, wire::envelope message);

  /// Ends the thread. Messages not yet sent are dropped.
  void stop();

  auto bytes_sent() const -> std::uint64_t;
  auto bytes_received() const -> std::uint64_t;
  auto dropped() const -> std::uint64_t;

 private:
  struct impl;

  std::unique_ptr<impl> impl_;
};

}  // namespace parsleyledge
