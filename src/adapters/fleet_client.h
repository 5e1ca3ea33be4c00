#pragma once

#include <boost/asio/awaitable.hpp>

#include "core/fleet/request.h"
#include "core/time.h"

namespace parsleyledge {

class control_client;

/// Asks the leader of the control group. Without an answer by the deadline
/// the reply says whether the request may have been carried out.
auto ask_leader(control_client& control, fleet::request what,
                time_point deadline) -> boost::asio::awaitable<fleet::reply>;

}  // namespace parsleyledge
