#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/fleet/request.h"
#include "core/time.h"

namespace parsleyledge {

class control_client;

/// Sends a request to the leader of the control group and returns its reply.
/// Without a reply by the deadline, the status is `unavailable` if the request
/// was not executed and `undetermined` if it may have been. It is
/// `undetermined`, too, if a change is refused after an attempt of which the
/// outcome is unknown.
auto ask_leader(control_client& control, fleet::request request,
                time_point deadline) -> boost::asio::awaitable<fleet::reply>;

}  // namespace parsleyledge
