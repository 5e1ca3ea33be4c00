#include "adapters/control_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/peer_socket.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds attempt_timeout{500};
constexpr milliseconds no_leader_pause{50};
constexpr milliseconds document_timeout{3000};
constexpr std::uint64_t ids_a_millisecond = 1'000'000;

}  // namespace

struct control_client::waiter {
  explicit waiter(const asio::any_io_executor& executor) : timer(executor) {}

  asio::steady_timer timer;
  std::optional<wire::call_reply> reply;
  std::string asked;  // address
};

// Identifiers grow over restarts too, so that a late answer to an earlier
// incarnation of this process is never taken for an answer to this one.
control_client::control_client(peer_socket& peers,
                               std::vector<std::string> addresses)
    : peers_(peers),
      addresses_(std::move(addresses)),
      next_id_(static_cast<std::uint64_t>(to_ms(wall_now())) *
               ids_a_millisecond) {
  if (!addresses_.empty()) leader_ = addresses_.front();
}

control_client::~control_client() = default;

void control_client::use(std::vector<std::string> addresses) {
  ranked_lock lock(mutex_);
  if (addresses_ == addresses) return;
  addresses_ = std::move(addresses);
  turn_ = 0;
  bool known = std::ranges::find(addresses_, leader_) != addresses_.end();
  if (!known && !addresses_.empty()) leader_ = addresses_.front();
}

auto control_client::leader() -> std::string {
  ranked_lock lock(mutex_);
  return leader_;
}

void control_client::believe(std::string_view address) {
  ranked_lock lock(mutex_);
  leader_ = address;
}

void control_client::look_elsewhere(std::string_view silent) {
  ranked_lock lock(mutex_);
  if (leader_ != silent || addresses_.empty()) return;
  turn_ = (turn_ + 1) % addresses_.size();
  if (addresses_[turn_] == silent) turn_ = (turn_ + 1) % addresses_.size();
  leader_ = addresses_[turn_];
}

void control_client::receive(wire::call_reply reply) {
  std::shared_ptr<waiter> found;
  {
    ranked_lock lock(mutex_);
    auto it = waiters_.find(reply.id());
    if (it == waiters_.end()) return;
    found = std::move(it->second);
    waiters_.erase(it);
  }
  auto executor = found->timer.get_executor();
  asio::post(executor, [found, r = std::move(reply)]() mutable {
    found->reply = std::move(r);
    found->timer.cancel();
  });
}

auto control_client::send_and_wait(wire::call request, milliseconds timeout)
    -> asio::awaitable<std::shared_ptr<waiter>> {
  auto executor = co_await asio::this_coro::executor;
  auto w = std::make_shared<waiter>(executor);
  w->timer.expires_after(timeout);
  auto id = ++next_id_;
  request.set_id(id);
  {
    ranked_lock lock(mutex_);
    waiters_[id] = w;
    w->asked = leader_;
  }
  wire::envelope out;
  out.set_deadline(to_ms(wall_now() + timeout));
  *out.mutable_request() = std::move(request);
  peers_.send(w->asked, std::move(out));
  boost::system::error_code ec;
  co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  {
    ranked_lock lock(mutex_);
    waiters_.erase(id);
  }
  co_return w;
}

auto control_client::call_once(wire::call request, milliseconds timeout)
    -> asio::awaitable<result_or_problem<wire::call_reply>> {
  auto w = co_await send_and_wait(std::move(request), timeout);
  if (!w->reply) {
    look_elsewhere(w->asked);
    co_return problem{503, "No answer", "the control group did not answer",
                      run_outcome::unknown};
  }
  if (w->reply->has_refused()) co_return read(w->reply->refused());
  if (w->reply->what_case() == wire::call_reply::kLeader) {
    if (w->reply->leader().empty() || w->reply->leader() == w->asked) {
      look_elsewhere(w->asked);
    } else {
      believe(w->reply->leader());
    }
    co_return problem{503, "No leader", "the control group has no leader",
                      run_outcome::not_run};
  }
  co_return std::move(*w->reply);
}

auto control_client::call(wire::call request, time_point deadline)
    -> asio::awaitable<result_or_problem<wire::call_reply>> {
  bool may_have_acted = false;
  problem last{503, "No leader", "the control group has no leader",
               run_outcome::not_run};
  while (true) {
    auto left = deadline - steady_now();
    if (left <= milliseconds(0)) break;
    auto timeout = std::min(left, attempt_timeout);
    auto result = co_await call_once(request, timeout);
    auto* refused = std::get_if<problem>(&result);
    bool again = refused != nullptr && refused->status == 503;
    if (!again) co_return result;
    may_have_acted = may_have_acted || refused->outcome == run_outcome::unknown;
    last = std::move(*refused);
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor, no_leader_pause);
    boost::system::error_code ec;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  last.outcome = may_have_acted ? run_outcome::unknown : run_outcome::not_run;
  co_return last;
}

auto control_client::commit(command what, time_point deadline)
    -> asio::awaitable<command_result> {
  wire::call request;
  write(what, *request.mutable_change());
  auto result = co_await call(std::move(request), deadline);
  if (auto* refused = std::get_if<problem>(&result)) co_return *refused;
  auto& reply = std::get<wire::call_reply>(result);
  auto done = reply.has_result() ? read(reply.result())
                                 : std::optional<command_result>();
  if (done) co_return std::move(*done);
  co_return problem{502, "Bad answer", "the control group's answer is unknown",
                    run_outcome::unknown};
}

auto control_client::document(std::string_view what, std::string_view argument,
                              std::string_view customer, std::string_view state)
    -> asio::awaitable<result_or_problem<std::string>> {
  wire::call request;
  auto& ask = *request.mutable_ask();
  ask.set_what(what.data(), what.size());
  ask.set_argument(argument.data(), argument.size());
  ask.set_customer(customer.data(), customer.size());
  ask.set_state(state.data(), state.size());
  auto deadline = steady_now() + document_timeout;
  auto result = co_await call(std::move(request), deadline);
  if (auto* refused = std::get_if<problem>(&result)) {
    refused->outcome = run_outcome::not_run;  // reading changes nothing
    co_return *refused;
  }
  co_return std::get<wire::call_reply>(result).document();
}

}  // namespace parsleyledge
