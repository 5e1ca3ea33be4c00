#pragma once

#include <algorithm>

namespace parsleyledge {

/// Allows retries up to a share of the requests.
class retry_budget {
 public:
  /// Notes a request that was accepted.
  void deposit() { tokens_ = std::min(tokens_ + ratio, most); }

  /// Takes a retry out of the budget, if it holds one.
  auto withdraw() -> bool {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double ratio = 0.1;  // retries a request
  static constexpr double most = 20;

  double tokens_ = 3;  // lets a quiet entry retry at all
};

}  // namespace parsleyledge
