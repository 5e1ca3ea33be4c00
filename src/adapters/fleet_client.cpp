#include "adapters/fleet_client.h"

#include "adapters/control_client.h"
#include "adapters/fleet_codec.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

constexpr milliseconds retry_hint{1000};  // an election takes about as long

}  // namespace

auto ask_leader(control_client& control, fleet::request what,
                time_point deadline) -> boost::asio::awaitable<fleet::reply> {
  wire::call call;
  write(what, *call.mutable_fleet());
  auto result = co_await control.call(std::move(call), deadline);
  if (const auto* refused = std::get_if<problem>(&result)) {
    auto status = refused->outcome == run_outcome::not_run
                      ? fleet::reply_status::unavailable
                      : fleet::reply_status::unknown;
    fleet::reply refusal{status, refused->detail, 0, retry_hint};
    co_return refusal;
  }
  const auto& reply = std::get<wire::call_reply>(result);
  if (!reply.has_fleet()) {
    fleet::reply refusal{fleet::reply_status::unknown,
                         "the leader's answer is of another kind", 0,
                         retry_hint};
    co_return refusal;
  }
  auto answer = fleet::read(reply.fleet());
  co_return answer;
}

}  // namespace parsleyledge
