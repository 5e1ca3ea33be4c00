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
  /// Carries an order to a worker and returns its answer.
  std::function<boost::asio::awaitable<order_answer>(send_order)> order;

  /// Asks the policy of a queue which workers may run a step.
  std::function<boost::asio::awaitable<advice_answer>(ask_advice)> ask_policy;

  /// Carries an order to the platform of the machines.
  std::function<boost::asio::awaitable<machine_answer>(send_machine_order)>
      order_machine;

  /// Reads an operator's configuration; nothing if it is invalid.
  std::function<std::optional<site>(std::string_view document)> parse_site;
};

}  // namespace parsleyledge::fleet
