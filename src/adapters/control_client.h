#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ranked_lock.h"
#include "core/state/command.h"
#include "core/state/command_result.h"
#include "core/time.h"

namespace parsleyledge::wire {
class call;
class call_reply;
}  // namespace parsleyledge::wire

namespace parsleyledge {

class peer_socket;

/// An entry's calls to the leader of the control group. It finds the leader,
/// repeats calls that got no answer, and knows whether one may have acted.
class control_client {
 public:
  control_client(peer_socket& peers, std::vector<std::string> addresses);
  ~control_client();
  control_client(const control_client&) = delete;
  auto operator=(const control_client&) -> control_client& = delete;

  /// Looks for the leader at these addresses from now on.
  void use(std::vector<std::string> addresses);

  /// Sends a call until it is answered or the time is up. A problem without
  /// any answer is `not-run` only if no leader can have taken the call.
  auto call(wire::call request, time_point deadline)
      -> boost::asio::awaitable<result_or_problem<wire::call_reply>>;

  /// Sends a call once to the leader believed in.
  auto call_once(wire::call request, milliseconds timeout)
      -> boost::asio::awaitable<result_or_problem<wire::call_reply>>;

  /// Commits a command and returns its result.
  auto commit(command what, time_point deadline)
      -> boost::asio::awaitable<command_result>;

  /// Asks for a document of the leader, as JSON text.
  auto document(std::string_view what, std::string_view argument,
                std::string_view customer, std::string_view state)
      -> boost::asio::awaitable<result_or_problem<std::string>>;

  /// Hands over a reply that came on the peer socket.
  void receive(wire::call_reply reply);

  /// The address of the replica believed to lead.
  auto leader() -> std::string;

 private:
  struct waiter;

  auto send_and_wait(wire::call request, milliseconds timeout)
      -> boost::asio::awaitable<std::shared_ptr<waiter>>;
  void believe(std::string_view address);
  void look_elsewhere(std::string_view silent);

  peer_socket& peers_;
  std::vector<std::string> addresses_;
  std::atomic<std::uint64_t> next_id_;

  ranked_mutex mutex_{lock_rank::connection_pool};
  std::map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
  std::string leader_;
  std::size_t turn_ = 0;
};

}  // namespace parsleyledge
