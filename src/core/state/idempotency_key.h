#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/time.h"

namespace parsleyledge {

/// An idempotency key of a customer, for one service.
struct key_name {
  std::string customer;
  std::string service;
  std::string key;

  auto operator<=>(const key_name&) const = default;
};

/// An endpoint's response, stored to answer repeated requests.
struct stored_response {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool has_body = true;  // false if the body was too large or evicted

  auto operator==(const stored_response&) const -> bool = default;
};

/// State of an idempotency key. Without a response the request may still be
/// running, or its entry may have failed; then it is unknown whether it ran.
struct key_record {
  std::uint64_t digest = 0;  // of the request
  std::string owner;         // names entry, its incarnation and the request
  time_point claimed_at;
  time_point deadline;
  std::optional<stored_response> response;
  /// The owner's request did not run and never will: its claim is refused from
  /// now on, and any other request may claim the key.
  bool released = false;
};

}  // namespace parsleyledge
