#include "core/membership/endpoint_table.h"

#include <functional>
#include <utility>

namespace parsleyledge {

namespace {

auto is_newer(const endpoint_record& a, const endpoint_record& b) -> bool {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
  // Leaving is final within an incarnation.
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
  announced_[record.name] = ++revision_;
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
  std::vector<std::string> lapsed;
  for (const auto& [name, record] : records_) {
    if (record.received_at + record.ttl < now) lapsed.push_back(name);
  }
  for (const auto& name : lapsed) {
    records_.erase(name);
    announced_.erase(name);
  }
  return lapsed;
}

auto endpoint_table::find(std::string_view name) const
    -> const endpoint_record* {
  auto it = records_.find(name);
  return it == records_.end() ? nullptr : &it->second;
}

auto endpoint_table::announced_since(std::uint64_t revision) const
    -> std::vector<endpoint_record> {
  std::vector<endpoint_record> fresh;
  for (const auto& [name, at] : announced_) {
    if (at <= revision) continue;
    if (const auto* record = find(name)) fresh.push_back(*record);
  }
  return fresh;
}

auto endpoint_table::summary() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [name, record] : records_) {
    auto h = std::hash<std::string>()(name);
    h = h * 31 + record.incarnation;
    h = h * 31 + static_cast<std::uint64_t>(record.state);
    sum += h * 0x9e3779b97f4a7c15ULL;
  }
  return sum;
}

}  // namespace parsleyledge
