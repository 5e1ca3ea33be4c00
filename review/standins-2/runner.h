#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/// A machine with one runner at a time, which follows PROTOCOL.md: it guards
/// fence numbers, run numbers, leases and lifetimes. It starts what it is told.
class runner {
 public:
  struct settings {
    std::string id;
    std::string machine;
    std::string address;
    std::string zone;
    std::string kind;                  // its first label
    std::vector<std::string> control;  // addresses for liveness reports
    // How long a work unit works; nothing: until it is stopped.
    std::function<std::optional<milliseconds>(const std::string& task)> length;
  };

  runner(settings s, event_record& record);
  ~runner();
  runner(const runner&) = delete;
  auto operator=(const runner&) -> runner& = delete;

  /// Cuts the machine off: requests are lost, and no report leaves.
  void set_cut(bool cut);

  /// Ends the runner without a notice.
  void crash();

  /// Starts a new lifetime under the same id.
  void start();

  /// Whether the work unit runs here and, if it lasts, has started up.
  auto is_at_work(const std::string& task) -> bool;

  /// When a stop last ended a run of the work unit here; nothing if none did.
  auto stopped_at(const std::string& task)
      -> std::optional<std::chrono::steady_clock::time_point>;

  /// The work units that run now.
  auto running() -> std::vector<std::string>;

  auto name() const -> const std::string& { return settings_.id; }
  auto machine() const -> const std::string& { return settings_.machine; }

 private:
  struct unit {
    long run = 0;
    std::chrono::steady_clock::time_point since;
    std::optional<milliseconds> length;
  };
  struct end {
    long sequence = 0;
    std::string task;
    long run = 0;
    std::string how;
  };

  auto serve(http_message request) -> std::optional<http_message>;
  auto serve_start(const http_message& request) -> http_message;
  auto serve_stop(const http_message& request) -> http_message;
  auto serve_hold(const http_message& request,
                  std::unique_lock<std::mutex>& lock) -> http_message;
  auto answer(int status, const std::string& reason) -> http_message;
  auto clock_ms() const -> long;
  void extend_lease(long deadline_ms);
  void end_unit(const std::string& task, const std::string& how);
  void update();
  void report();
  void work();

  settings settings_;
  event_record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  bool cut_ = false;
  bool up_ = true;
  long lifetime_ = 0;
  long born_ms_ = 0;
  std::chrono::steady_clock::time_point clock_start_;
  long lease_end_ms_ = 0;
  long fence_ = 0;
  long next_end_ = 1;
  long sequence_ = 0;
  std::map<std::string, unit> running_;
  std::deque<end> ends_;
  std::map<std::string, std::chrono::steady_clock::time_point> stopped_at_;
  std::map<std::string, long> rejected_up_to_;  // run numbers
  std::unique_ptr<http_server> server_;
  std::thread worker_;
  std::thread reporter_;
};

}  // namespace review
