#pragma once

#include <cstdint>

#include "core/time.h"

namespace parsleyledge::fleet {

/// The limits of callers' requests, as the configuration in force sets them.
/// The defaults hold where it sets none.
struct request_limits {
  std::uint64_t header_bytes = 16U << 10;
  std::uint64_t body_bytes = 8U << 20;
  milliseconds header_timeout{30'000};  // from the first byte of a request

  auto operator==(const request_limits&) const -> bool = default;
};

}  // namespace parsleyledge::fleet
