#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "core/time.h"

namespace parsleyledge {

/// Identifies a connection that holds memory.
using memory_holder = std::uint64_t;

/// Identifies the connections of one server.
using memory_group = std::uint32_t;

/// The memory was allocated.
struct memory_granted {};

/// The memory was allocated at the expense of these holders, whose connections
/// have to be closed. They hold nothing any more.
struct memory_granted_by_shedding {
  std::vector<memory_holder> shed;
};

/// The memory is not available, or the holder itself has been shed.
struct memory_refused {};

using memory_decision =
    std::variant<memory_granted, memory_granted_by_shedding, memory_refused>;

/// Divides the memory of a process for requests and responses that are not
/// complete among its connections. Answers the load of clients that send or
/// read slowly while they hold much memory: the holder with the largest product
/// of bytes and time is shed first, so of two requests of one size the slower
/// one, and of two equally old ones the larger one.
class memory_ledger {
 public:
  explicit memory_ledger(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a holder of no memory, which may not be shed.
  auto add(memory_group group = 0) -> memory_holder;

  /// Removes a holder and releases its memory.
  void remove(memory_holder id);

  /// Begins a request of a holder: its time counts from now on.
  void begin(memory_holder id, time_point now);

  /// Sets whether a holder may be shed, as it may while its client sends or
  /// reads. Returns false if it has been shed.
  auto allow_shedding(memory_holder id, bool allowed) -> bool;

  /// Changes the memory of a holder.
  auto resize(memory_holder id, std::size_t bytes, time_point now)
      -> memory_decision;

  /// Sheds the holder of a group that is first in the order, if there is one.
  auto shed_one(memory_group group, time_point now)
      -> std::optional<memory_holder>;

  auto used() const -> std::size_t { return used_; }
  auto capacity() const -> std::size_t { return capacity_; }

 private:
  struct account {
    memory_group group = 0;
    std::size_t bytes = 0;
    time_point since;
    bool sheddable = false;
    bool shed = false;
  };

  void shed(account& holder);

  std::size_t capacity_;
  std::size_t used_ = 0;
  memory_holder last_id_ = 0;
  std::map<memory_holder, account> accounts_;
};

}  // namespace parsleyledge
