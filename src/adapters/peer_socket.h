#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"

namespace parsleyledge::wire {
class envelope;
}

namespace parsleyledge {

/// The sender of all messages of a peer socket.
struct peer_identity {
  std::string group;
  std::string name;
};

/// Messages between the processes of the system over ZeroMQ. One thread owns
/// all sockets and waits in poll; other threads pass messages to it through a
/// bounded queue. A message waits for a connection for its time limit, or 200
/// ms if it has none, and is dropped after that; the protocols that use the
/// socket retransmit. Messages of other groups are ignored, and so are messages
/// that were under way for longer than their time limit.
class peer_socket {
 public:
  /// Called on the socket's thread. `from` is a token to pass to reply().
  using receiver =
      std::function<void(std::string_view from, wire::envelope message)>;

  peer_socket(peer_identity self, receiver receive);
  peer_socket(const peer_socket&) = delete;
  auto operator=(const peer_socket&) -> peer_socket& = delete;
  ~peer_socket();

  /// Binds to ip:port, or accepts no connections if it is empty, and starts the
  /// thread. Returns an error text, or an empty string on success.
  auto start(std::string_view listen_address) -> std::string;

  /// Sends a message to the peer that listens on `address` (ip:port). After
  /// `time_limit` it is of no use to the receiver; 0 for no limit. Thread-safe.
  void send(std::string_view address, wire::envelope message,
            milliseconds time_limit = {});

  /// Sends a message to the peer that the token `to` names. Thread-safe.
  void reply(std::string_view to, wire::envelope message);

  /// Stops the thread. Messages that are not sent yet are dropped.
  void stop();

  auto bytes_sent() const -> std::uint64_t;
  auto bytes_received() const -> std::uint64_t;
  /// Number of messages that could not be queued or sent.
  auto dropped() const -> std::uint64_t;

 private:
  struct impl;

  std::unique_ptr<impl> impl_;
};

}  // namespace parsleyledge
