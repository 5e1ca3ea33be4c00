#include "core/fleet/job_ledger.h"

#include <algorithm>

#include "core/fleet/records.h"

namespace parsleyledge::fleet {

auto stored_bytes(const job_spec& spec) -> std::size_t {
  auto bytes = sizeof(job_record) + spec.queue.size() + spec.customer.size() +
               spec.payload.size();
  for (const auto& step : spec.steps) {
    bytes += sizeof(step_spec) + sizeof(step_record) + step.label.size() +
             step.data_rack.size() + step.image.size() +
             step.after.size() * sizeof(step.after.front()) +
             std::size_t{step.tasks} * sizeof(task_record);
  }
  return bytes;
}

void job_ledger::add(std::string_view customer, std::size_t bytes) {
  total_ += bytes;
  auto it = by_customer_.find(customer);
  if (it == by_customer_.end())
    it = by_customer_.emplace(customer, std::size_t{0}).first;
  it->second += bytes;
}

void job_ledger::remove(std::string_view customer, std::size_t bytes) {
  auto it = by_customer_.find(customer);
  if (it == by_customer_.end()) return;
  auto removed = std::min(bytes, it->second);
  total_ -= removed;
  it->second -= removed;
  if (it->second == 0) by_customer_.erase(it);
}

auto job_ledger::of(std::string_view customer) const -> std::size_t {
  auto it = by_customer_.find(customer);
  return it == by_customer_.end() ? 0 : it->second;
}

auto has_room(const job_ledger& stored, const job_ledger& pending,
              std::string_view customer, std::size_t bytes, std::size_t limit)
    -> bool {
  if (limit == 0) return true;
  return stored.total() + pending.total() + bytes <= limit &&
         stored.of(customer) + pending.of(customer) + bytes <= limit / 2;
}

}  // namespace parsleyledge::fleet
