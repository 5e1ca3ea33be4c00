#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string_view>

#include "core/fleet/effect.h"
#include "core/fleet/site.h"

namespace parsleyledge::fleet {

/// What the control process asks of the platform that it runs on.
struct platform_port {
  /// Carries a request to a worker and returns its answer.
  std::function<boost::asio::awaitable<worker_response>(send_worker_request)>
      call_worker;

  /// Asks the policy of a queue which workers may run a step.
  std::function<boost::asio::awaitable<advice_response>(ask_advice)> ask_policy;

  /// Carries a request to the platform of the machines.
  std::function<boost::asio::awaitable<machine_response>(send_machine_request)>
      call_machines;

  /// Reads an operator's configuration; nothing if it is invalid.
  std::function<std::optional<site>(std::string_view document)> parse_site;
};

}  // namespace parsleyledge::fleet
