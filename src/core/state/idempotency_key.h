#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/time.h"

namespace parsleyledge {

/// A key of a customer for one service.
struct key_name {
  std::string customer;
  std::string service;
  std::string key;

  auto operator<=>(const key_name&) const = default;
};

/// An endpoint's answer, kept to be replayed.
struct stored_response {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool has_body = true;  // false once the body was dropped, or was too large

  auto operator==(const stored_response&) const -> bool = default;
};

/// What is known of a key. Without an answer the request may be running, or
/// its entry may have died; then it is unknown whether it ran.
struct key_record {
  std::uint64_t digest = 0;
  std::string owner;
  time_point claimed_at;
  time_point deadline;
  std::optional<stored_response> answer;
};

}  // namespace parsleyledge
