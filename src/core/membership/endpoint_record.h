#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace parsleyledge {

enum class endpoint_state { ready, draining };

/// An endpoint as last announced. Of two records of a name the one with the
/// higher incarnation wins, then the higher sequence.
struct endpoint_record {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  // ip:port
  std::string data_centre;
  std::uint32_t slots = 1;        // requests it runs at once
  std::uint32_t connections = 1;  // connections it accepts
  endpoint_state state = endpoint_state::ready;
  milliseconds ttl{0};
  time_point received_at;  // on the local clock, when the renewal arrived

  auto operator==(const endpoint_record&) const -> bool = default;
};

}  // namespace parsleyledge
