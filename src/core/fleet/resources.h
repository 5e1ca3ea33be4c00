#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace parsleyledge::fleet {

/// The capacity that a task needs or a worker has.
struct resources {
  std::int64_t cpu_milli = 0;  // thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator==(const resources&) const -> bool = default;

  constexpr auto operator+=(const resources& o) -> resources& {
    cpu_milli += o.cpu_milli;
    memory_mb += o.memory_mb;
    accelerators += o.accelerators;
    return *this;
  }
  constexpr auto operator-=(const resources& o) -> resources& {
    cpu_milli -= o.cpu_milli;
    memory_mb -= o.memory_mb;
    accelerators -= o.accelerators;
    return *this;
  }
};

constexpr auto operator-(resources a, const resources& b) -> resources {
  return a -= b;
}

constexpr auto operator*(const resources& a, std::int64_t n) -> resources {
  return {a.cpu_milli * n, a.memory_mb * n, a.accelerators * n};
}

constexpr auto component_min(const resources& a, const resources& b)
    -> resources {
  return {std::min(a.cpu_milli, b.cpu_milli),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

constexpr auto component_max(const resources& a, const resources& b)
    -> resources {
  return {std::max(a.cpu_milli, b.cpu_milli),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

/// Whether more of any component is in use than there is.
constexpr auto exceeds(const resources& used, const resources& capacity)
    -> bool {
  return used.cpu_milli > capacity.cpu_milli ||
         used.memory_mb > capacity.memory_mb ||
         used.accelerators > capacity.accelerators;
}

/// How many tasks of this need fit into the available capacity, at most the
/// largest 32-bit integer.
constexpr auto count_fitting(const resources& available, const resources& need)
    -> std::int64_t {
  auto max_count = std::numeric_limits<std::int32_t>::max() + std::int64_t{0};
  auto limit = [&](std::int64_t have, std::int64_t each) {
    if (each > 0)
      max_count = std::min(max_count, std::max<std::int64_t>(have, 0) / each);
  };
  limit(available.cpu_milli, need.cpu_milli);
  limit(available.memory_mb, need.memory_mb);
  limit(available.accelerators, need.accelerators);
  return max_count;
}

constexpr auto fits(const resources& available, const resources& need) -> bool {
  return count_fitting(available, need) >= 1;
}

}  // namespace parsleyledge::fleet
