#pragma once

#include <algorithm>

namespace parsleyledge {

/// Token bucket that limits retries to a fraction of the accepted requests.
class retry_budget {
 public:
  /// Records an accepted request.
  void deposit() {
    tokens_ = std::min(tokens_ + tokens_per_request, max_tokens);
  }

  /// Takes the token of one retry from the budget. Returns false if none is
  /// left.
  auto withdraw() -> bool {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double tokens_per_request = 0.1;
  static constexpr double max_tokens = 20;

  // Not 0 at the start, so that an entry with few requests can retry.
  double tokens_ = 3;
};

}  // namespace parsleyledge
