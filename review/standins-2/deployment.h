#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "runner.h"

namespace review {

/// The machines that serve control, with a disk each, and their bounds.
struct layout {
  int zones = 3;
  int machines = 3;  // number N is in zone (N - 1) % zones + 1
  int tolerated = 1;
  int catch_up_s = 4;
};

/// A small deployment: machines that serve control and one that serves callers,
/// as processes on loopback addresses. Runners are stand-ins of this process.
class deployment {
 public:
  /// `programs` is the folder of the built programs.
  deployment(std::string programs, event_record& record, layout where = {});
  ~deployment();
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  /// An address of this deployment's own network.
  auto address(int host, int port) const -> std::string;

  /// Starts all processes and puts a config in force. Throws on a timeout.
  void start();

  /// Adds runners of a kind, which report to the machines that serve control.
  void add_runners(
      int count, const std::string& kind,
      std::function<std::optional<milliseconds>(const std::string&)> length);
  auto runners() -> std::vector<std::unique_ptr<runner>>& { return runners_; }

  /// The number of the machine whose process leads; 0 if none does.
  auto leader() -> int;

  void kill_control(int number, int signal_number);
  void start_control(int number, bool first_start);

  /// What a control process says of its state; empty if it doesn't answer.
  auto state_of(int number) -> std::string;

  /// The address at which the control processes know each other.
  auto peer_address(int number) const -> std::string;

  /// Removes the data folder of a machine.
  void erase_disk(int number);

  /// The machines that the operator and the runners call.
  void set_control_list(std::vector<int> numbers);

  /// Waits until a control process has ended by itself.
  void wait_for_exit(int number);

  /// A request of a consumer, sent again until it gets a clear response.
  auto consumer_call(const std::string& method, const std::string& id,
                     const std::string& body) -> http_message;

  /// A request of the operator, sent again to other machines until it gets a
  /// 2xx response.
  auto operator_call(const std::string& method, const std::string& target,
                     const std::string& body) -> http_message;

  /// The address at which the stand-in of the platform has to listen.
  auto platform_address() const -> std::string { return address(200, 8524); }

  /// How many runs of the work unit run now, on all runners.
  auto count_running(const std::string& task) -> int;

 private:
  void launch(const std::string& name, const std::string& program, int host,
              bool first_start);
  auto config() const -> std::string;

  std::string programs_;
  event_record& record_;
  layout layout_;
  std::vector<int> control_list_;
  std::string folder_;
  int subnet_ = 0;
  std::map<std::string, pid_t> processes_;
  std::vector<std::unique_ptr<runner>> runners_;
};

/// Polls a condition; returns false on a timeout.
auto eventually(const std::function<bool()>& condition, milliseconds limit)
    -> bool;

}  // namespace review
