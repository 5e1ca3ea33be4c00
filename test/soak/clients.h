#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <span>
#include <stop_token>
#include <thread>
#include <vector>

#include "history.h"

namespace parsleyledge::fakes {
class process_site;
}

namespace parsleyledge::soak {

/// Operators that write configurations with rising versions and read them, and
/// one that evacuates a data centre and takes it back, through any machine that
/// runs. They stop with the object.
class clients {
 public:
  clients(fakes::process_site& site, history& seen, std::uint64_t seed);

  /// The machines that are called from now on.
  void set_machines(std::span<const int> machines);

  /// Reads the configuration at one machine and records it. Returns whether it
  /// is at least this version.
  auto reads(int machine, std::uint64_t version) -> bool;

 private:
  void write_all(const std::stop_token& stop, std::uint64_t seed);
  void read_all(const std::stop_token& stop, std::uint64_t seed);
  void evacuate_all(const std::stop_token& stop, std::uint64_t seed);

  /// Sends an order until it is confirmed. Returns whether each attempt before
  /// that was refused, so that none of them can take effect later.
  auto order_until_confirmed(const std::stop_token& stop,
                             std::mt19937_64& random, std::string_view method)
      -> bool;

  /// Checks that a confirmed order is in force at a machine, if it responds.
  void check_evacuation(int machine, bool evacuated);

  /// Waits until a configuration is read late enough for the check of its age.
  /// A write before that would hide the loss of the newest confirmed one.
  void await_read(const std::stop_token& stop, std::mt19937_64& random);
  auto any_machine(std::mt19937_64& random) const -> int;
  auto read(int machine) -> client_call;

  fakes::process_site& site_;
  history& seen_;
  mutable std::mutex mutex_;  // a leaf, as that of history; never with it
  std::vector<int> machines_;
  std::vector<std::jthread> threads_;
};

}  // namespace parsleyledge::soak
