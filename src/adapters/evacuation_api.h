#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "adapters/http_message.h"
#include "core/fleet/request.h"

namespace parsleyledge {

/// Serves a request on the leader within a time limit.
using fleet_request_handler =
    std::function<boost::asio::awaitable<fleet::reply>(fleet::request,
                                                       milliseconds)>;

/// Whether the path of a request is one that serve_evacuations() serves.
auto is_evacuation_call(const http_request& request) -> bool;

/// The product's own interface to the evacuations of data centres, as
/// parsleyctl uses it: GET /v1/evacuations lists those in force; PUT and DELETE
/// of /v1/evacuations/NAME begin and withdraw one.
auto serve_evacuations(http_request request, fleet_request_handler serve)
    -> boost::asio::awaitable<http_response>;

}  // namespace parsleyledge
