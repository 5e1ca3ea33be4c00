#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include "adapters/http_client.h"
#include "adapters/http_message.h"
#include "adapters/metrics.h"
#include "core/config/site_config.h"
#include "core/state/command.h"

namespace parsleyledge {

class config_holder;
class control_client;
class membership_node;
class request_gate;
struct route;

/// Passes callers' requests to endpoints and tells the truth of each.
class forwarder {
 public:
  forwarder(std::string_view entry, config_holder& config,
            control_client& control, membership_node& members,
            request_gate& gate, metrics& counters);

  /// Serves one request to /s/{service}/{path}.
  auto forward(http_request request) -> boost::asio::awaitable<http_response>;

 private:
  struct errand;  // one request on its way
  struct delivery;

  auto claim(errand& e) -> boost::asio::awaitable<std::optional<http_response>>;
  auto deliver(errand& e) -> boost::asio::awaitable<delivery>;
  auto attempt(errand& e, const route& taken)
      -> boost::asio::awaitable<exchange_result>;
  auto settle(errand& e, const delivery& done) -> boost::asio::awaitable<void>;
  void count(std::string_view outcome);

  std::string entry_;
  config_holder& config_;
  control_client& control_;
  membership_node& members_;
  request_gate& gate_;
  metrics& metrics_;
  http_client client_;
  std::atomic<std::uint64_t> next_request_;
};

}  // namespace parsleyledge
