#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge::soak {

using steady_time = std::chrono::steady_clock::time_point;

enum class call_kind { write, read };

/// A call of a client and its response. The status is 0 without one.
struct client_call {
  call_kind kind = call_kind::read;
  int machine = 0;
  steady_time sent;
  steady_time answered;
  int status = 0;
  std::uint64_t version = 0;  // that was written or read
};

/// A promise that was not kept, and what showed it.
struct broken_promise {
  std::string promise;
  std::uint64_t version = 0;
  int machine = 0;  // 0 if none is known
  std::string detail;
};

/// What clients saw during a run, checked as it arrives and written as JSON
/// lines. All members may be called from any thread; its mutex is a leaf: no
/// other lock is taken while it is held.
class history {
 public:
  explicit history(const std::string& path);

  /// Records a call and checks what it read.
  void add(const client_call& call);

  /// Records a fault.
  void add_fault(std::string_view text);

  /// From now on nothing is expected until `expect_recovery`.
  void suspend_recovery();

  /// From now on, a write has to be confirmed and the newest configuration to
  /// be read within the recovery time.
  void expect_recovery();

  /// Waits until both have happened. Returns false if a promise was broken.
  auto await_recovery() -> bool;

  /// Waits until a time. Returns false as soon as a promise was broken.
  auto await_time(steady_time until) -> bool;

  /// Records that a promise was broken, unless another one was before.
  void report(broken_promise found);

  auto broken() const -> std::optional<broken_promise>;
  auto newest_confirmed() const -> std::uint64_t;
  auto call_count() const -> std::size_t;

  /// The latest faults, the last one last.
  auto latest_faults(std::size_t count) const -> std::vector<std::string>;

 private:
  void check_age(const client_call& call);
  void check_recovery(steady_time now);
  void set_broken(broken_promise found);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::ofstream file_;
  std::map<std::uint64_t, steady_time> confirmed_;  // by version
  std::vector<std::string> faults_;
  std::size_t call_count_ = 0;
  std::optional<steady_time> recovers_since_;
  std::uint64_t expected_version_ = 0;
  bool read_recovered_ = true;
  bool write_recovered_ = true;
  std::optional<broken_promise> broken_;
};

}  // namespace parsleyledge::soak
