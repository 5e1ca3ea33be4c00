#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace parsleyledge {

/// Size limits, connection limit and timeouts of a server. The defaults are
/// above everything that a client within the platform's limits sends.
struct http_limits {
  std::uint64_t body_bytes = 8U << 20;
  std::uint32_t header_bytes = 16U << 10;  // also of trailers
  std::size_t connections = 4096;
  std::chrono::seconds idle_timeout{60};  // between requests
  // To read a header, from its first byte.
  std::chrono::milliseconds header_timeout{30'000};
  // To read a body, and again to write its response.
  std::chrono::seconds request_timeout{30};
};

/// The bytes that a process with this memory may use for requests and responses
/// that are not complete; 0 stands for an unknown memory. An eighth leaves room
/// for what a request takes once it is decoded.
constexpr auto request_memory_of(std::size_t memory_mb) -> std::size_t {
  constexpr std::size_t bytes_per_mb = 1U << 20;
  constexpr std::size_t unknown_memory_mb = 512;
  return (memory_mb == 0 ? unknown_memory_mb : memory_mb) * bytes_per_mb / 8;
}

/// The bytes that the stored jobs of a process with this memory may take; 0
/// stands for an unknown memory. A snapshot holds the tables a second time and
/// encoded, and the log holds what was committed since the last one.
constexpr auto job_memory_of(std::size_t memory_mb) -> std::size_t {
  constexpr std::size_t bytes_per_mb = 1U << 20;
  constexpr std::size_t unknown_memory_mb = 512;
  return (memory_mb == 0 ? unknown_memory_mb : memory_mb) * bytes_per_mb / 6;
}

/// The limits of a server in a process with this memory and these descriptors;
/// 0 stands for unknown ones. A decoded document takes up to eight times its
/// size, so a body may have a thirty-second of the memory, and a quarter of the
/// descriptors is left for the process's own connections and files.
constexpr auto limits_of(std::size_t memory_mb, std::size_t descriptors)
    -> http_limits {
  constexpr std::uint64_t bytes_per_mb = 1U << 20;
  http_limits limits;
  if (memory_mb != 0) {
    limits.body_bytes = std::clamp(memory_mb * bytes_per_mb / 32, bytes_per_mb,
                                   limits.body_bytes);
  }
  if (descriptors != 0)
    limits.connections = std::min(limits.connections, descriptors * 3 / 4);
  return limits;
}

/// The limits of a server for the platform and operators, such as that of the
/// metrics, which few clients call.
constexpr auto internal_limits_of(http_limits limits) -> http_limits {
  constexpr std::size_t max_connections = 64;
  limits.connections = std::min(limits.connections, max_connections);
  return limits;
}

}  // namespace parsleyledge
