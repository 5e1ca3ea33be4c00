#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "core/fleet/job_spec.h"

namespace parsleyledge::fleet {

/// Estimates the memory in bytes that the record of a job takes in the tables,
/// with one open occurrence.
auto stored_bytes(const job_spec& spec) -> std::size_t;

/// The memory of jobs by customer, in bytes as of `stored_bytes`.
class job_ledger {
 public:
  void add(std::string_view customer, std::size_t bytes);
  void remove(std::string_view customer, std::size_t bytes);

  auto total() const -> std::size_t { return total_; }
  auto of(std::string_view customer) const -> std::size_t;

 private:
  std::size_t total_ = 0;
  std::map<std::string, std::size_t, std::less<>> by_customer_;
};

/// Whether the jobs stored and those about to be leave room for one more within
/// `limit` bytes, 0 for no limit. A customer may take half of it, so that one
/// cannot keep all others out.
auto has_room(const job_ledger& stored, const job_ledger& pending,
              std::string_view customer, std::size_t bytes, std::size_t limit)
    -> bool;

}  // namespace parsleyledge::fleet
