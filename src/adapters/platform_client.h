#pragma once

#include <boost/asio/awaitable.hpp>

#include "adapters/http_client.h"
#include "ports/platform.h"

namespace parsleyledge {

/// Sends requests to the platform's workers as JSON over HTTP.
class platform_client {
 public:
  /// Sends one request. The response is `worker_rejected` only if the worker
  /// itself responded with a 4xx status. Every other failure is
  /// `worker_no_response`, since the request may have run.
  auto call(const platform_request& request)
      -> boost::asio::awaitable<platform_response>;

 private:
  http_client client_;
};

}  // namespace parsleyledge
