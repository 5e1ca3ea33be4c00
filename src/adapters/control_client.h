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
struct call_response;

/// Client of the control group's leader, used by an entry. It finds the leader,
/// retries calls without a response, and tracks whether one may have run.
class control_client {
 public:
  control_client(peer_socket& peers, std::vector<std::string> addresses);
  ~control_client();
  control_client(const control_client&) = delete;
  auto operator=(const control_client&) -> control_client& = delete;

  /// Ends all current and later calls at `time` at the latest, even if their
  /// own deadline is later.
  void set_latest_deadline(time_point time) { latest_deadline_ = time; }

  /// Replaces the addresses at which it looks for the leader.
  void set_addresses(std::vector<std::string> addresses);

  /// Sends a call and retries it until a response arrives or the deadline
  /// passes. If the deadline passes, the outcome is `not-run` only if no leader
  /// can have received the call, else `unknown`.
  auto call(wire::call request, time_point deadline)
      -> boost::asio::awaitable<result_or_problem<wire::call_reply>>;

  /// As `call`, but also returns whether an earlier attempt may have run, which
  /// a caller needs to know if the reply is a refusal.
  auto call_and_track(wire::call request, time_point deadline)
      -> boost::asio::awaitable<result_or_problem<call_response>>;

  /// Sends a call once to the presumed leader. The outcome is `unknown` if no
  /// response arrives within `timeout`.
  auto call_once(wire::call request, milliseconds timeout)
      -> boost::asio::awaitable<result_or_problem<wire::call_reply>>;

  /// Commits a command and returns its result, or a problem as `call` does.
  auto commit(command change, time_point deadline)
      -> boost::asio::awaitable<command_result>;

  /// Reads a document from the leader as JSON text.
  auto document(std::string_view name, std::string_view argument,
                std::string_view customer, std::string_view state)
      -> boost::asio::awaitable<result_or_problem<std::string>>;

  /// Handles a reply that was received on the peer socket. Ignores it if no
  /// call waits for it.
  void receive(wire::call_reply reply);

  /// The address of the presumed leader.
  auto leader() -> std::string;

 private:
  struct pending_call;

  auto send_and_wait(wire::call request, milliseconds timeout)
      -> boost::asio::awaitable<std::shared_ptr<pending_call>>;
  void set_leader(std::string_view address);
  void try_next_address(std::string_view unresponsive);

  peer_socket& peers_;
  std::vector<std::string> addresses_;
  std::atomic<std::uint64_t> next_id_;
  std::atomic<time_point> latest_deadline_{time_point::max()};

  ranked_mutex mutex_{lock_rank::connection_pool};
  std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_calls_;
  std::string leader_;
  std::size_t address_index_ = 0;
};

}  // namespace parsleyledge
