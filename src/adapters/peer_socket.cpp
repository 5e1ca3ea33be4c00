#include "adapters/peer_socket.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "adapters/clock.h"
#include "adapters/log.h"
#include "core/membership/message_delay.h"
#include "core/ranked_lock.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

constexpr int high_water_mark = 4096;  // messages per connection
constexpr std::size_t max_outbox_messages = 65536;
constexpr std::size_t max_waiting_messages = 256;    // per connection
constexpr std::size_t max_waiting_bytes = 1U << 20;  // per connection
// How long a message without a time limit waits for a connection.
constexpr milliseconds connection_wait{200};
constexpr std::size_t max_connections = 4096;  // whose delays are tracked
constexpr std::int64_t max_message_bytes = 64 << 20;
constexpr int heartbeat_ms = 1000;
// Without any traffic for this long, a connection is closed and reopened.
constexpr int heartbeat_timeout_ms = 2000;
// Retries an unreachable address with a new connection at short intervals,
// because the delays of TCP retransmission grow with every attempt.
constexpr int connect_timeout_ms = 500;
constexpr int reconnect_ms = 100;
constexpr int reconnect_max_ms = 1000;
constexpr std::chrono::minutes idle_peer_timeout{5};
constexpr std::chrono::seconds poll_timeout{30};
constexpr std::string_view wake_address = "inproc://wake";

struct outgoing {
  std::string to;
  bool is_reply = false;
  std::string bytes;
  time_point send_until;
};

void set_options(zmq::socket_t& socket) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, high_water_mark);
  socket.set(zmq::sockopt::rcvhwm, high_water_mark);
  socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
  socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
  socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
  socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
}

}  // namespace

struct peer_socket::impl {
  struct peer {
    zmq::socket_t socket;
    std::chrono::steady_clock::time_point last_used;
    std::deque<outgoing> waiting;  // until the connection is established
  };

  peer_identity self;
  receiver receive;
  zmq::context_t context{1};
  zmq::socket_t router;
  zmq::socket_t wake_receiver;
  zmq::socket_t wake_sender;  // guarded by mutex
  ranked_mutex mutex{lock_rank::outbox};
  std::deque<outgoing> outbox;
  bool wake_pending = false;
  bool stopping = false;
  std::map<std::string, peer, std::less<>> peers;
  std::map<std::string, message_delay, std::less<>> delays;  // by connection
  std::thread thread;
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> dropped{0};

  void enqueue(outgoing item) {
    ranked_lock lock(mutex);
    if (stopping || outbox.size() >= max_outbox_messages) {
      ++dropped;
      return;
    }
    outbox.push_back(std::move(item));
    wake();
  }

  // Called with the outbox lock held. The lock also makes it safe to use
  // wake_sender from several threads.
  void wake() {
    if (wake_pending) return;
    wake_pending = true;
    wake_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
  }

  auto connect_peer(std::string_view address) -> peer* {
    auto it = peers.find(address);
    if (it == peers.end()) {
      zmq::socket_t socket(context, zmq::socket_type::dealer);
      set_options(socket);
      socket.set(zmq::sockopt::immediate, true);
      socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
      socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
      try {
        socket.connect("tcp://" + std::string(address));
      } catch (const zmq::error_t& error) {
        log_event(
            log_level::error, "peer_address_invalid",
            {{"address", address}, {"detail", std::string_view(error.what())}});
        return nullptr;
      }
      it = peers.emplace(address, peer{std::move(socket), {}, {}}).first;
      log_event(log_level::info, "peer_connecting", {{"address", address}});
    }
    it->second.last_used = std::chrono::steady_clock::now();
    return &it->second;
  }

  // Called if a message cannot be sent now, mostly because the connection is
  // being established. The message waits for that: a call, a vote or its reply
  // is repeated only after a timeout.
  auto wait_for_connection(peer& to, const outgoing& item) -> bool {
    dropped += std::erase_if(to.waiting, has_expired);
    auto bytes = item.bytes.size();
    for (const auto& other : to.waiting) bytes += other.bytes.size();
    if (to.waiting.size() >= max_waiting_messages || bytes > max_waiting_bytes)
      return false;
    to.waiting.push_back(item);
    return true;
  }

  static auto has_expired(const outgoing& item) -> bool {
    return item.send_until < steady_now();
  }

  void send_waiting(peer& to) {
    auto items = std::exchange(to.waiting, {});
    dropped += std::erase_if(items, has_expired);
    for (const auto& item : items) send_one(item);
  }

  void send_one(const outgoing& item) {
    zmq::send_result_t result;
    bool waits = false;
    try {
      zmq::message_t body(item.bytes.data(), item.bytes.size());
      if (item.is_reply && item.to.empty()) return;
      if (item.is_reply && item.to.front() == 'R') {
        zmq::message_t id(item.to.data() + 1, item.to.size() - 1);
        result = router.send(
            id, zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        if (result) result = router.send(body, zmq::send_flags::dontwait);
      } else {
        auto address = std::string_view(item.to).substr(item.is_reply ? 1 : 0);
        if (auto* to = connect_peer(address)) {
          result = to->socket.send(body, zmq::send_flags::dontwait);
          waits = !result && wait_for_connection(*to, item);
        }
      }
    } catch (const zmq::error_t&) {
      // The peer that the token names is no longer connected.
    }
    if (result) {
      sent += item.bytes.size();
    } else if (!waits) {
      ++dropped;
    }
  }

  void deliver(std::string_view from, const zmq::message_t& body) {
    received += body.size();
    wire::envelope message;
    bool parsed =
        message.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (!parsed || message.group() != self.group) return;
    if (message.sent_at() < 0 || message.deadline() < 0) return;
    // A queue may deliver a message after the sender stopped waiting.
    auto delay = record_delay(from, message);
    auto time_limit = milliseconds(message.deadline() - message.sent_at());
    if (message.deadline() != 0 && delay > time_limit) {
      ++dropped;
      return;
    }
    receive(from, std::move(message));
  }

  auto record_delay(std::string_view from, const wire::envelope& message)
      -> milliseconds {
    if (delays.size() > max_connections) delays.clear();
    auto it = delays.find(from);
    if (it == delays.end()) it = delays.emplace(from, message_delay{}).first;
    return it->second.record(at_ms(message.sent_at()), steady_now());
  }

  void read_router() {
    while (true) {
      zmq::message_t id;
      zmq::message_t body;
      if (!router.recv(id, zmq::recv_flags::dontwait)) return;
      if (!id.more() || !router.recv(body, zmq::recv_flags::dontwait)) return;
      deliver("R" + id.to_string(), body);
    }
  }

  void read_peer(std::string_view address, zmq::socket_t& socket) {
    while (true) {
      zmq::message_t body;
      if (!socket.recv(body, zmq::recv_flags::dontwait)) return;
      deliver("D" + std::string(address), body);
    }
  }

  auto send_outbox() -> bool {
    zmq::message_t token;
    while (wake_receiver.recv(token, zmq::recv_flags::dontwait)) {
    }
    std::deque<outgoing> items;
    {
      ranked_lock lock(mutex);
      wake_pending = false;
      items.swap(outbox);
      if (stopping) return false;
    }
    for (const auto& item : items) send_one(item);
    return true;
  }

  void close_idle_peers() {
    auto now = std::chrono::steady_clock::now();
    std::erase_if(peers, [&](const auto& item) {
      return now - item.second.last_used > idle_peer_timeout;
    });
  }

  void run() {
    std::vector<zmq::pollitem_t> items;
    std::vector<std::string> addresses;
    while (true) {
      items.clear();
      addresses.clear();
      items.push_back({wake_receiver.handle(), 0, ZMQ_POLLIN, 0});
      items.push_back({router.handle(), 0, ZMQ_POLLIN, 0});
      for (auto& [address, p] : peers) {
        dropped += std::erase_if(p.waiting, has_expired);
        auto events = p.waiting.empty() ? ZMQ_POLLIN : ZMQ_POLLIN | ZMQ_POLLOUT;
        items.push_back({p.socket.handle(), 0, static_cast<short>(events), 0});
        addresses.push_back(address);
      }
      zmq::poll(items, poll_timeout);
      if ((items[1].revents & ZMQ_POLLIN) != 0) read_router();
      for (std::size_t i = 0; i < addresses.size(); ++i) {
        auto events = items[i + 2].revents;
        if ((events & ZMQ_POLLOUT) != 0) send_waiting(peers.at(addresses[i]));
        if ((events & ZMQ_POLLIN) == 0) continue;
        read_peer(addresses[i], peers.at(addresses[i]).socket);
      }
      if (!send_outbox()) break;
      close_idle_peers();
    }
    peers.clear();
    router.close();
    wake_receiver.close();
  }
};

peer_socket::peer_socket(peer_identity self, receiver receive)
    : impl_(std::make_unique<impl>()) {
  impl_->self = std::move(self);
  impl_->receive = std::move(receive);
}

peer_socket::~peer_socket() {
  stop();
}

auto peer_socket::start(std::string_view listen_address) -> std::string {
  auto& state = *impl_;
  try {
    state.router = zmq::socket_t(state.context, zmq::socket_type::router);
    set_options(state.router);
    state.router.set(zmq::sockopt::router_mandatory, true);
    if (!listen_address.empty()) {
      state.router.bind("tcp://" + std::string(listen_address));
    }
    state.wake_receiver = zmq::socket_t(state.context, zmq::socket_type::pull);
    state.wake_receiver.bind(std::string(wake_address));
    state.wake_sender = zmq::socket_t(state.context, zmq::socket_type::push);
    state.wake_sender.set(zmq::sockopt::linger, 0);
    state.wake_sender.connect(std::string(wake_address));
  } catch (const zmq::error_t& error) {
    return std::string(listen_address) + ": " + error.what();
  }
  state.thread = std::thread([this] { impl_->run(); });
  return {};
}

void peer_socket::send(std::string_view address, wire::envelope message,
                       milliseconds time_limit) {
  auto now = message_now();
  message.set_group(impl_->self.group);
  message.set_sender(impl_->self.name);
  message.set_sent_at(to_ms(now));
  if (time_limit.count() > 0) message.set_deadline(to_ms(now + time_limit));
  auto wait = time_limit.count() > 0 ? time_limit : connection_wait;
  impl_->enqueue({std::string(address), false, message.SerializeAsString(),
                  steady_now() + wait});
}

void peer_socket::reply(std::string_view to, wire::envelope message) {
  message.set_group(impl_->self.group);
  message.set_sender(impl_->self.name);
  message.set_sent_at(to_ms(message_now()));
  impl_->enqueue({std::string(to), true, message.SerializeAsString(),
                  steady_now() + connection_wait});
}

void peer_socket::stop() {
  if (!impl_->thread.joinable()) return;
  {
    ranked_lock lock(impl_->mutex);
    impl_->stopping = true;
    impl_->wake();
  }
  impl_->thread.join();
  impl_->wake_sender.close();
}

auto peer_socket::bytes_sent() const -> std::uint64_t {
  return impl_->sent;
}

auto peer_socket::bytes_received() const -> std::uint64_t {
  return impl_->received;
}

auto peer_socket::dropped() const -> std::uint64_t {
  return impl_->dropped;
}

}  // namespace parsleyledge
