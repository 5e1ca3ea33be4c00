#include "adapters/control_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>

#include "adapters/call_response.h"
#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/peer_socket.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds attempt_timeout{500};
constexpr milliseconds retry_delay{50};
constexpr milliseconds document_timeout{3000};
constexpr std::uint64_t ids_per_millisecond = 1'000'000;
constexpr int unavailable_status = 503;

}  // namespace

struct control_client::pending_call {
  explicit pending_call(const asio::any_io_executor& executor)
      : timer(executor) {}

  asio::steady_timer timer;
  std::optional<wire::call_reply> reply;
  std::string address;
};

// Identifiers also increase across restarts, so that a late response to an
// earlier incarnation of this process is never matched to a call of this one.
control_client::control_client(peer_socket& peers,
                               std::vector<std::string> addresses)
    : peers_(peers),
      addresses_(std::move(addresses)),
      next_id_(static_cast<std::uint64_t>(to_ms(wall_now())) *
               ids_per_millisecond) {
  if (!addresses_.empty()) leader_ = addresses_.front();
}

control_client::~control_client() = default;

void control_client::set_addresses(std::vector<std::string> addresses) {
  ranked_lock lock(mutex_);
  if (addresses_ == addresses) return;
  addresses_ = std::move(addresses);
  address_index_ = 0;
  bool leader_is_listed =
      std::ranges::find(addresses_, leader_) != addresses_.end();
  if (!leader_is_listed && !addresses_.empty()) leader_ = addresses_.front();
}

auto control_client::leader() -> std::string {
  ranked_lock lock(mutex_);
  return leader_;
}

void control_client::set_leader(std::string_view address) {
  ranked_lock lock(mutex_);
  leader_ = address;
}

void control_client::try_next_address(std::string_view unresponsive) {
  ranked_lock lock(mutex_);
  if (leader_ != unresponsive || addresses_.empty()) return;
  address_index_ = (address_index_ + 1) % addresses_.size();
  if (addresses_[address_index_] == unresponsive)
    address_index_ = (address_index_ + 1) % addresses_.size();
  leader_ = addresses_[address_index_];
}

void control_client::receive(wire::call_reply reply) {
  std::shared_ptr<pending_call> found;
  {
    ranked_lock lock(mutex_);
    auto it = pending_calls_.find(reply.id());
    if (it == pending_calls_.end()) return;
    found = std::move(it->second);
    pending_calls_.erase(it);
  }
  auto executor = found->timer.get_executor();
  asio::post(executor, [found, r = std::move(reply)]() mutable {
    found->reply = std::move(r);
    found->timer.cancel();
  });
}

auto control_client::send_and_wait(wire::call request, milliseconds timeout)
    -> asio::awaitable<std::shared_ptr<pending_call>> {
  auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<pending_call>(executor);
  pending->timer.expires_after(timeout);
  auto id = ++next_id_;
  request.set_id(id);
  {
    ranked_lock lock(mutex_);
    pending_calls_[id] = pending;
    pending->address = leader_;
  }
  wire::envelope message;
  *message.mutable_request() = std::move(request);
  peers_.send(pending->address, std::move(message), timeout);
  boost::system::error_code ec;
  co_await pending->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  {
    ranked_lock lock(mutex_);
    pending_calls_.erase(id);
  }
  co_return pending;
}

auto control_client::call_once(wire::call request, milliseconds timeout)
    -> asio::awaitable<result_or_problem<wire::call_reply>> {
  auto pending = co_await send_and_wait(std::move(request), timeout);
  if (!pending->reply) {
    try_next_address(pending->address);
    co_return problem{503, "No answer", "the control group did not respond",
                      run_outcome::unknown};
  }
  if (pending->reply->has_refused()) co_return read(pending->reply->refused());
  if (pending->reply->what_case() == wire::call_reply::kLeader) {
    if (pending->reply->leader().empty() ||
        pending->reply->leader() == pending->address) {
      try_next_address(pending->address);
    } else {
      set_leader(pending->reply->leader());
    }
    co_return problem{503, "No leader", "the control group has no leader",
                      run_outcome::not_run};
  }
  co_return std::move(*pending->reply);
}

auto control_client::call(wire::call request, time_point deadline)
    -> asio::awaitable<result_or_problem<wire::call_reply>> {
  auto result = co_await call_and_track(std::move(request), deadline);
  if (auto* refused = std::get_if<problem>(&result)) {
    co_return std::move(*refused);
  }
  co_return std::move(std::get<call_response>(result).reply);
}

auto control_client::call_and_track(wire::call request, time_point deadline)
    -> asio::awaitable<result_or_problem<call_response>> {
  bool may_have_run = false;
  problem last{503, "No leader", "the control group has no leader",
               run_outcome::not_run};
  while (true) {
    auto remaining = std::min(deadline, latest_deadline_.load()) - steady_now();
    if (remaining <= milliseconds(0)) break;
    auto timeout = std::min(remaining, attempt_timeout);
    auto result = co_await call_once(request, timeout);
    if (auto* reply = std::get_if<wire::call_reply>(&result)) {
      co_return call_response{std::move(*reply), may_have_run};
    }
    auto* refused = std::get_if<problem>(&result);
    if (refused->status != 503) {
      // The refusal holds for this attempt; an earlier one may have run.
      if (may_have_run) refused->outcome = run_outcome::unknown;
      co_return std::move(*refused);
    }
    may_have_run = may_have_run || refused->outcome == run_outcome::unknown;
    last = std::move(*refused);
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer retry_timer(executor, retry_delay);
    boost::system::error_code ec;
    co_await retry_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  last.outcome = may_have_run ? run_outcome::unknown : run_outcome::not_run;
  co_return last;
}

auto control_client::commit(command change, time_point deadline)
    -> asio::awaitable<command_result> {
  wire::call request;
  write(change, *request.mutable_change());
  auto result = co_await call_and_track(std::move(request), deadline);
  if (auto* refused = std::get_if<problem>(&result)) co_return *refused;
  auto& response = std::get<call_response>(result);
  auto decoded = response.reply.has_result() ? read(response.reply.result())
                                             : std::optional<command_result>();
  if (decoded) {
    auto* refused = std::get_if<problem>(&*decoded);
    // This attempt was not committed; an earlier one may have been.
    if (refused != nullptr && refused->status == unavailable_status &&
        response.may_have_run)
      refused->outcome = run_outcome::unknown;
    co_return std::move(*decoded);
  }
  co_return problem{502, "Bad answer",
                    "the control group returned an unexpected result",
                    run_outcome::unknown};
}

auto control_client::document(std::string_view name, std::string_view argument,
                              std::string_view customer, std::string_view state)
    -> asio::awaitable<result_or_problem<std::string>> {
  wire::call request;
  auto& query = *request.mutable_ask();
  query.set_what(name.data(), name.size());
  query.set_argument(argument.data(), argument.size());
  query.set_customer(customer.data(), customer.size());
  query.set_state(state.data(), state.size());
  auto deadline = steady_now() + document_timeout;
  auto result = co_await call(std::move(request), deadline);
  if (auto* refused = std::get_if<problem>(&result)) {
    refused->outcome = run_outcome::not_run;  // a read has no side effects
    co_return *refused;
  }
  co_return std::get<wire::call_reply>(result).document();
}

}  // namespace parsleyledge
