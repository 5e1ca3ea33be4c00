#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fault.h"

namespace parsleyledge::soak {

/// What a plan is drawn from. Equal arguments give equal plans.
struct plan_arguments {
  std::uint64_t seed = 1;
  int rounds = 3;
  int machines = 3;  // 3, 5 or 6
};

/// Faults that overlap. A round ends when the group has recovered from them.
struct fault_round {
  std::chrono::milliseconds rest{};  // before the round
  std::vector<timed_fault> faults;   // ordered by time
};

/// The faults of a run, each within the losses that the group tolerates.
struct fault_plan {
  plan_arguments arguments;
  int tolerated = 1;              // machines that may be lost together
  std::vector<int> data_centres;  // of machines 1, 2 and so on at the start
  std::vector<fault_round> rounds;
};

auto draw_plan(const plan_arguments& arguments) -> fault_plan;

/// One line of text.
auto describe(const fault& what) -> std::string;

/// One line a fault.
auto describe(const fault_plan& plan) -> std::string;

}  // namespace parsleyledge::soak
