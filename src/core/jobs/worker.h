#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace parsleyledge {

/// Whether new gangs may be placed on a worker.
enum class worker_condition {
  ready,
  quarantined,  // recent failures of several different jobs
  draining,     // excluded by the operator
  lost          // no message within the time to live of a lease
};

/// A worker and its total capacity.
struct worker {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;  // ip:port
  std::string data_centre;
  std::string rack;
  std::string accelerator_kind;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;  // at most 64
  worker_condition condition = worker_condition::ready;

  auto operator==(const worker&) const -> bool = default;
};

/// Names of the workers that the operator drains.
using drained_workers = std::set<std::string, std::less<>>;

/// The mask of all accelerators of a worker: bit i is accelerator i.
constexpr auto full_mask(std::uint32_t accelerators) -> std::uint64_t {
  return accelerators >= 64 ? ~std::uint64_t{0}
                            : (std::uint64_t{1} << accelerators) - 1;
}

}  // namespace parsleyledge
