#include "adapters/fleet_client.h"

#include "adapters/call_response.h"
#include "adapters/control_client.h"
#include "adapters/fleet_codec.h"
#include "core/overloaded.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

constexpr milliseconds retry_delay{1000};  // about the duration of an election

/// Whether the request changes the replicated tables.
auto is_change(const fleet::request& request) -> bool {
  return std::visit(
      overloaded{[](const fleet::ping_request&) { return false; },
                 [](const fleet::read_request&) { return false; },
                 [](const fleet::read_site_request&) { return false; },
                 [](const fleet::read_wave_request&) { return false; },
                 [](const auto&) { return true; }},
      request);
}

/// Whether a reply states that the request was not carried out and never will
/// be. A job that is not found is none: it states what the tables hold.
auto is_refusal(fleet::reply_status status) -> bool {
  switch (status) {
    case fleet::reply_status::invalid:
    case fleet::reply_status::unauthorized:
    case fleet::reply_status::no_queue:
    case fleet::reply_status::busy:
    case fleet::reply_status::unavailable:
      return true;
    case fleet::reply_status::done:
    case fleet::reply_status::not_found:
    case fleet::reply_status::undetermined:
      return false;
  }
  return false;
}

}  // namespace

auto ask_leader(control_client& control, fleet::request request,
                time_point deadline) -> boost::asio::awaitable<fleet::reply> {
  wire::call call;
  write(request, *call.mutable_fleet());
  auto result = co_await control.call_and_track(std::move(call), deadline);
  if (const auto* error = std::get_if<problem>(&result)) {
    auto status = error->outcome == run_outcome::not_run
                      ? fleet::reply_status::unavailable
                      : fleet::reply_status::undetermined;
    fleet::reply failure{status, error->detail, 0, retry_delay};
    co_return failure;
  }
  const auto& [reply, may_have_run] = std::get<call_response>(result);
  if (!reply.has_fleet()) {
    fleet::reply failure{fleet::reply_status::undetermined,
                         "the leader sent a reply of another type", 0,
                         retry_delay};
    co_return failure;
  }
  auto leader_reply = fleet::read(reply.fleet());
  // A refusal holds for the last attempt only.
  if (may_have_run && is_change(request) && is_refusal(leader_reply.status)) {
    leader_reply.status = fleet::reply_status::undetermined;
    leader_reply.retry_after = retry_delay;
  }
  co_return leader_reply;
}

}  // namespace parsleyledge
