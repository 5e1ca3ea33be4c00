#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace parsleyledge {

enum class endpoint_state { ready, draining };

/// The last announcement of an endpoint. Of two records with the same name, the
/// one with the higher incarnation is the newer one. Within an incarnation,
/// `draining` is newer than `ready`; then the higher sequence decides.
struct endpoint_record {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  // ip:port
  std::string data_centre;
  std::uint32_t slots = 1;        // max concurrent requests
  std::uint32_t connections = 1;  // max connections
  endpoint_state state = endpoint_state::ready;
  milliseconds ttl{0};
  time_point received_at;  // local time of the last renewal

  auto operator==(const endpoint_record&) const -> bool = default;
};

}  // namespace parsleyledge
