#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "adapters/memory_budget.h"

namespace parsleyledge {

/// One connection's share of a memory budget, released by the destructor.
class memory_share {
 public:
  memory_share(std::shared_ptr<memory_budget> budget, memory_group group,
               std::function<void()> close)
      : budget_(std::move(budget)),
        id_(budget_->add(group, std::move(close))) {}
  memory_share(const memory_share&) = delete;
  auto operator=(const memory_share&) -> memory_share& = delete;
  ~memory_share() { budget_->remove(id_); }

  /// As in memory_budget.
  void begin() { budget_->begin(id_); }
  auto allow_shedding(bool allowed) -> bool {
    return budget_->allow_shedding(id_, allowed);
  }
  auto resize(std::size_t bytes) -> bool { return budget_->resize(id_, bytes); }

 private:
  std::shared_ptr<memory_budget> budget_;
  memory_holder id_;
};

}  // namespace parsleyledge
