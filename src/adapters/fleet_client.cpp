#include "adapters/fleet_client.h"

#include "adapters/control_client.h"
#include "adapters/fleet_codec.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

constexpr milliseconds retry_delay{1000};  // about the duration of an election

}  // namespace

auto ask_leader(control_client& control, fleet::request request,
                time_point deadline) -> boost::asio::awaitable<fleet::reply> {
  wire::call call;
  write(request, *call.mutable_fleet());
  auto result = co_await control.call(std::move(call), deadline);
  if (const auto* error = std::get_if<problem>(&result)) {
    auto status = error->outcome == run_outcome::not_run
                      ? fleet::reply_status::unavailable
                      : fleet::reply_status::undetermined;
    fleet::reply failure{status, error->detail, 0, retry_delay};
    co_return failure;
  }
  const auto& reply = std::get<wire::call_reply>(result);
  if (!reply.has_fleet()) {
    fleet::reply failure{fleet::reply_status::undetermined,
                         "the leader sent a reply of another type", 0,
                         retry_delay};
    co_return failure;
  }
  auto leader_reply = fleet::read(reply.fleet());
  co_return leader_reply;
}

}  // namespace parsleyledge
