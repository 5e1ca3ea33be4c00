#include "core/requests/memory_ledger.h"

#include <algorithm>

namespace parsleyledge {

namespace {

// A request counts as at least this old, so that among new ones the larger is
// shed first.
constexpr milliseconds min_age{1};

auto weight_of(std::size_t bytes, time_point since, time_point now) -> double {
  auto age =
      std::max(std::chrono::duration_cast<milliseconds>(now - since), min_age);
  return static_cast<double>(bytes) * static_cast<double>(age.count());
}

}  // namespace

auto memory_ledger::add(memory_group group) -> memory_holder {
  accounts_.emplace(++last_id_, account{group, 0, {}, false, false});
  return last_id_;
}

void memory_ledger::remove(memory_holder id) {
  auto it = accounts_.find(id);
  if (it == accounts_.end()) return;
  used_ -= it->second.bytes;
  accounts_.erase(it);
}

void memory_ledger::begin(memory_holder id, time_point now) {
  accounts_.at(id).since = now;
}

auto memory_ledger::allow_shedding(memory_holder id, bool allowed) -> bool {
  auto& holder = accounts_.at(id);
  holder.sheddable = allowed && !holder.shed;
  return !holder.shed;
}

void memory_ledger::shed(account& holder) {
  used_ -= holder.bytes;
  holder.bytes = 0;
  holder.shed = true;
  holder.sheddable = false;
}

auto memory_ledger::resize(memory_holder id, std::size_t bytes, time_point now)
    -> memory_decision {
  auto& own = accounts_.at(id);
  if (own.shed) return memory_refused{};
  auto used_by_others = used_ - own.bytes;
  auto grant = [&] {
    used_ = used_by_others + bytes;
    own.bytes = bytes;
  };
  if (bytes <= own.bytes || used_by_others + bytes <= capacity_) {
    grant();
    return memory_granted{};
  }
  struct victim {
    memory_holder id;
    std::size_t bytes;
    double weight;
  };
  std::vector<victim> victims;
  for (const auto& [other_id, other] : accounts_) {
    if (other_id == id || !other.sheddable || other.bytes == 0) continue;
    auto weight = weight_of(other.bytes, other.since, now);
    victims.push_back({other_id, other.bytes, weight});
  }
  std::ranges::sort(victims, std::ranges::greater(), &victim::weight);
  auto needed = used_by_others + bytes - capacity_;
  std::size_t freed = 0;
  std::size_t count = 0;
  // The holder itself gives way if it is first in the order.
  auto own_weight = weight_of(bytes, own.since, now);
  while (count < victims.size() && freed < needed &&
         (!own.sheddable || victims[count].weight >= own_weight)) {
    freed += victims[count].bytes;
    ++count;
  }
  if (freed < needed) return memory_refused{};
  memory_granted_by_shedding granted;
  for (std::size_t i = 0; i < count; ++i) {
    shed(accounts_.at(victims[i].id));
    granted.shed.push_back(victims[i].id);
  }
  used_by_others -= freed;
  grant();
  return granted;
}

auto memory_ledger::shed_one(memory_group group, time_point now)
    -> std::optional<memory_holder> {
  auto first = accounts_.end();
  double largest = -1;
  for (auto it = accounts_.begin(); it != accounts_.end(); ++it) {
    if (!it->second.sheddable || it->second.group != group) continue;
    auto weight = weight_of(it->second.bytes, it->second.since, now);
    if (weight <= largest) continue;
    largest = weight;
    first = it;
  }
  if (first == accounts_.end()) return {};
  shed(first->second);
  return first->first;
}

}  // namespace parsleyledge
