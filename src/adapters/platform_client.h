#pragma once

#include <boost/asio/awaitable.hpp>

#include "adapters/http_client.h"
#include "ports/platform.h"

namespace parsleyledge {

/// Carries requests to the platform's workers over HTTP and JSON.
class platform_client {
 public:
  /// Sends one request. A refusal is the worker's own word; anything that
  /// leaves doubt is silence.
  auto call(const platform_request& request)
      -> boost::asio::awaitable<platform_response>;

 private:
  http_client client_;
};

}  // namespace parsleyledge
