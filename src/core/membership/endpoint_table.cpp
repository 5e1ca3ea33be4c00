#include "core/membership/endpoint_table.h"

#include <functional>
#include <utility>

namespace parsleyledge {

namespace {

auto is_newer(const endpoint_record& a, const endpoint_record& b) -> bool {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  // Within an incarnation a draining endpoint never becomes ready again.
  if (a.state != b.state) return a.state == endpoint_state::draining;
  return a.sequence > b.sequence;
}

}  // namespace

auto endpoint_table::announce(endpoint_record record) -> bool {
  auto it = records_.find(record.name);
  if (it != records_.end()) {
    const auto& known = it->second;
    if (record.incarnation < known.incarnation) return false;
    if (record.incarnation == known.incarnation) {
      record.sequence = known.sequence + 1;
      if (known.state == endpoint_state::draining) {
        record.state = endpoint_state::draining;
      }
    }
  }
  announced_revisions_[record.name] = ++revision_;
  auto name = record.name;
  records_.insert_or_assign(std::move(name), std::move(record));
  return true;
}

auto endpoint_table::merge(const endpoint_record& record) -> bool {
  auto it = records_.find(record.name);
  if (it != records_.end() && !is_newer(record, it->second)) return false;
  records_.insert_or_assign(record.name, record);
  return true;
}

auto endpoint_table::expire(time_point now) -> std::vector<std::string> {
  std::vector<std::string> expired;
  for (const auto& [name, record] : records_) {
    if (record.received_at + record.ttl < now) expired.push_back(name);
  }
  for (const auto& name : expired) {
    records_.erase(name);
    announced_revisions_.erase(name);
  }
  return expired;
}

auto endpoint_table::find(std::string_view name) const
    -> const endpoint_record* {
  auto it = records_.find(name);
  return it == records_.end() ? nullptr : &it->second;
}

auto endpoint_table::announced_since(std::uint64_t revision) const
    -> std::vector<endpoint_record> {
  std::vector<endpoint_record> announced;
  for (const auto& [name, announced_at] : announced_revisions_) {
    if (announced_at <= revision) continue;
    if (const auto* record = find(name)) announced.push_back(*record);
  }
  return announced;
}

auto endpoint_table::digest() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [name, record] : records_) {
    auto record_hash = std::hash<std::string>()(name);
    record_hash = record_hash * 31 + record.incarnation;
    record_hash = record_hash * 31 + static_cast<std::uint64_t>(record.state);
    sum += record_hash * 0x9e3779b97f4a7c15ULL;
  }
  return sum;
}

}  // namespace parsleyledge
