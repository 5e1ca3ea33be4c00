#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

#include "adapters/http_client.h"
#include "adapters/http_message.h"
#include "adapters/metrics.h"
#include "core/config/site_config.h"
#include "core/state/command.h"
#include "core/time.h"

namespace parsleyledge {

class config_holder;
class control_client;
class membership_node;
class slot_allocator;
struct route;

/// Forwards callers' requests to endpoints and reports whether each one ran.
class forwarder {
 public:
  forwarder(std::string_view entry, config_holder& config,
            control_client& control, membership_node& members,
            slot_allocator& slots, metrics& counters);

  /// Serves one request to /s/{service}/{path}. A response that does not come
  /// from an endpoint names its outcome (RFC 9457).
  auto forward(http_request request) -> boost::asio::awaitable<http_response>;

  /// Ends the releases of keys that continue in the background, and logs how
  /// many keys stay claimed.
  void stop();

 private:
  struct forwarded_request;
  struct delivery_result;

  auto claim_idempotency_key(forwarded_request& forwarded)
      -> boost::asio::awaitable<std::optional<http_response>>;
  auto send_with_retries(forwarded_request& forwarded)
      -> boost::asio::awaitable<delivery_result>;
  auto send_attempt(forwarded_request& forwarded, const route& selected)
      -> boost::asio::awaitable<exchange_result>;
  auto store_outcome(forwarded_request& forwarded,
                     const delivery_result& delivery)
      -> boost::asio::awaitable<void>;
  /// Tries to release a key for `timeout`. Returns false if it may still be
  /// claimed by `owner`.
  auto release(key_name key, std::string owner, milliseconds timeout)
      -> boost::asio::awaitable<bool>;
  /// Releases the key of a request that did not run, in the background.
  void release_later(const boost::asio::any_io_executor& executor,
                     const forwarded_request& forwarded);
  auto release_with_retries(key_name key, std::string owner)
      -> boost::asio::awaitable<void>;
  void report_abandoned_release(const key_name& key, std::string_view owner);
  void count(std::string_view outcome);

  std::string entry_;
  config_holder& config_;
  control_client& control_;
  membership_node& members_;
  slot_allocator& slots_;
  metrics& metrics_;
  http_client client_;
  std::atomic<std::uint64_t> next_request_;
  std::atomic<std::size_t> pending_releases_{0};  // in the background
  std::atomic<bool> stopped_{false};
};

}  // namespace parsleyledge
