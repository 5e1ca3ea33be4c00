#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

#include "core/requests/memory_ledger.h"

namespace parsleyledge {

/// The memory ledger of a process, shared by the connections of its servers.
class memory_budget {
 public:
  explicit memory_budget(std::size_t bytes) : ledger_(bytes) {}

  /// Adds a holder. `close` closes its connection; it is called from any
  /// thread, at most once, if the holder is shed.
  auto add(memory_group group, std::function<void()> close) -> memory_holder;
  void remove(memory_holder id);

  /// As in memory_ledger.
  void begin(memory_holder id);
  auto allow_shedding(memory_holder id, bool allowed) -> bool;

  /// Changes the memory of a holder. Returns false if it is not available, or
  /// if the holder has been shed.
  auto resize(memory_holder id, std::size_t bytes) -> bool;

  /// Sheds one holder of a group, if any may be shed.
  void shed_one(memory_group group);

  /// The bytes in use, and how often a holder was shed or refused memory.
  auto used() const -> std::size_t;
  auto shed_count() const -> std::size_t { return shed_count_; }
  auto refused_count() const -> std::size_t { return refused_count_; }

 private:
  auto take_close(memory_holder id) -> std::function<void()>;

  mutable std::mutex mutex_;  // leaf: no lock is taken under it
  memory_ledger ledger_;
  std::map<memory_holder, std::function<void()>> close_;
  std::atomic<std::size_t> shed_count_{0};
  std::atomic<std::size_t> refused_count_{0};
};

}  // namespace parsleyledge
