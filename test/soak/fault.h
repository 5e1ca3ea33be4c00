#pragma once

#include <chrono>
#include <variant>
#include <vector>

namespace parsleyledge::soak {

/// A new machine with an empty disk starts in the data centre of another one.
struct machine_replaced {
  int machine = 0;
  int successor = 0;
  int data_centre = 0;
};

/// Machines are killed at the same moment. Those of `gone` never return, and
/// those of `disks` return with an empty disk.
struct machines_lost {
  std::vector<int> gone;
  std::vector<int> disks;
  std::vector<int> power;
};

/// A process gets SIGTERM or SIGSTOP. A replaced machine ends permanently.
struct machine_signalled {
  int machine = 0;
  int signal = 0;
  bool for_good = false;
};

/// Machines that ended are started again, and those that stand still run on.
struct machines_back {
  std::vector<int> machines;
};

using fault = std::variant<machine_replaced, machines_lost, machine_signalled,
                           machines_back>;

/// A fault and its time since the round started.
struct timed_fault {
  std::chrono::milliseconds at{};
  fault what;
};

}  // namespace parsleyledge::soak
