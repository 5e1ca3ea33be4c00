#include "adapters/memory_budget.h"

#include <utility>

#include "adapters/clock.h"
#include "adapters/log.h"

namespace parsleyledge {

auto memory_budget::add(memory_group group, std::function<void()> close)
    -> memory_holder {
  std::lock_guard lock(mutex_);
  auto id = ledger_.add(group);
  close_.emplace(id, std::move(close));
  return id;
}

void memory_budget::remove(memory_holder id) {
  std::lock_guard lock(mutex_);
  ledger_.remove(id);
  close_.erase(id);
}

void memory_budget::begin(memory_holder id) {
  std::lock_guard lock(mutex_);
  ledger_.begin(id, steady_now());
}

auto memory_budget::allow_shedding(memory_holder id, bool allowed) -> bool {
  std::lock_guard lock(mutex_);
  return ledger_.allow_shedding(id, allowed);
}

auto memory_budget::take_close(memory_holder id) -> std::function<void()> {
  auto it = close_.find(id);
  return it == close_.end() ? std::function<void()>()
                            : std::exchange(it->second, {});
}

auto memory_budget::resize(memory_holder id, std::size_t bytes) -> bool {
  std::vector<std::function<void()>> to_close;
  bool granted = false;
  {
    std::lock_guard lock(mutex_);
    auto decision = ledger_.resize(id, bytes, steady_now());
    granted = !std::holds_alternative<memory_refused>(decision);
    if (const auto* by_shedding =
            std::get_if<memory_granted_by_shedding>(&decision)) {
      for (auto one : by_shedding->shed) to_close.push_back(take_close(one));
    }
  }
  if (!granted) ++refused_count_;
  for (const auto& close : to_close) {
    ++shed_count_;
    log_event(log_level::warning, "connection_shed",
              {{"reason", "request memory"}});
    if (close) close();
  }
  return granted;
}

void memory_budget::shed_one(memory_group group) {
  std::function<void()> close;
  {
    std::lock_guard lock(mutex_);
    auto id = ledger_.shed_one(group, steady_now());
    if (!id) return;
    close = take_close(*id);
  }
  ++shed_count_;
  log_event(log_level::warning, "connection_shed",
            {{"reason", "number of connections"}});
  if (close) close();
}

auto memory_budget::used() const -> std::size_t {
  std::lock_guard lock(mutex_);
  return ledger_.used();
}

}  // namespace parsleyledge
