#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string_view>

#include "core/fleet/effect.h"
#include "core/fleet/site.h"

namespace parsleyledge::fleet {

/// Port from the control process to the platform that it runs on.
struct platform_port {
  /// Sends a request to a worker and returns its response.
  std::function<boost::asio::awaitable<worker_response>(send_worker_request)>
      call_worker;

  /// Requests advice from the policy of a queue: which workers may run a step.
  std::function<boost::asio::awaitable<advice_response>(ask_advice)> ask_policy;

  /// Sends a request to the platform of the machines and returns its response.
  std::function<boost::asio::awaitable<machine_response>(send_machine_request)>
      call_machines;

  /// Parses an operator's configuration. Returns nothing if it is invalid.
  std::function<std::optional<site>(std::string_view document)> parse_site;
};

}  // namespace parsleyledge::fleet
