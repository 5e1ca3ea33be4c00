#pragma once

#include <sys/types.h>

#include <boost/asio/thread_pool.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http_client.h"

namespace parsleyledge::fakes {

/// Runs the programs of a site as processes on loopback, for tests of failures.
/// The destructor kills all processes and removes their files.
class process_site {
 public:
  /// The site uses the 100 ports that start at `first_port`.
  explicit process_site(int first_port);
  ~process_site();
  process_site(const process_site&) = delete;
  auto operator=(const process_site&) -> process_site& = delete;

  void start_control(int number, int replica_count = 3);
  void start_entry(int number);
  void start_endpoint(int number, std::vector<std::string> flags = {});
  void start_worker(int number, std::vector<std::string> flags = {});

  /// Starts an entry of the fleet that finds no leader: nothing listens at the
  /// address of its control process. `grace` is the time from SIGTERM to the
  /// platform's SIGKILL.
  void start_fleet_entry(int number, std::chrono::seconds grace);

  /// Starts a control process of the fleet on a machine of its own: a loopback
  /// address that depends on `number`. Machines 1 to 3 are the seeds. A first
  /// start is that of the whole site; a process that is started again keeps its
  /// data folder unless `erase_fleet_data` removes it. The machine is in a data
  /// centre of its own unless `set_fleet_data_centre` says otherwise.
  void start_fleet_control(int number, bool first_start);
  void erase_fleet_data(int number);

  /// Starts an entry of the fleet that uses the control processes of the seeds.
  void start_connected_fleet_entry(int number);

  /// The memory and the descriptors that the settings of the fleet's processes
  /// grant at their next start; by default the settings name none.
  void set_fleet_limits(int memory_mb, int descriptors);
  void set_fleet_data_centre(int number, int data_centre);

  /// How many machines of the fleet may be lost at the same time; 1 by default.
  void set_tolerated_machines(int count);

  /// The machines that a control process of the fleet is told at its next
  /// start; 1 to 3 by default. The platform names no more than three.
  void set_fleet_seeds(std::span<const int> machines);

  /// Sends a request to the address of a fleet's control process for workers
  /// and operators. The status is 0 if no complete response arrives in time.
  auto call_fleet_control(int number, http_request request,
                          std::chrono::milliseconds timeout =
                              std::chrono::seconds(15)) -> http_response;

  /// Reads a path at the metrics address of a fleet's control process.
  auto call_fleet_metrics(int number, std::string_view target,
                          std::chrono::milliseconds timeout =
                              std::chrono::seconds(15)) -> http_response;

  /// The value of a metric of a fleet's control process; -1 if unavailable.
  auto fleet_metric(int number, std::string_view name) -> long;

  /// The role of a fleet's control process in its group; empty if unavailable.
  auto fleet_role(int number) -> std::string;

  /// Starts parsleyctl, which uses entry 1, under a name of its own.
  void start_ctl(std::string_view name, std::vector<std::string> arguments);

  /// Everything that a process has printed and logged so far.
  auto output(std::string_view name) const -> std::string;

  /// Writes a file of a folder of configuration files and returns the folder.
  auto write_config_file(std::string_view name, std::string_view toml)
      -> std::string;

  /// Starts three control processes and two entries and waits until both
  /// entries are healthy. Throws `std::runtime_error` on timeout.
  void start_all();

  /// Stores a configuration file and waits until both entries apply it. Throws
  /// `std::runtime_error` on timeout.
  void configure(std::string_view toml);

  /// Sends a signal to a process.
  void signal(std::string_view name, int signal_number);

  /// Kills a process with SIGKILL and waits until it has exited.
  void kill(std::string_view name);

  /// Waits until a process exits and returns its exit status, or -1 if a signal
  /// ended it.
  auto wait(std::string_view name) -> int;

  /// Whether a process has been started and has not ended.
  auto is_running(std::string_view name) -> bool;

  /// The peak resident memory of a running process in kilobytes; 0 if unknown.
  auto peak_memory_kb(std::string_view name) const -> long;

  /// The number of descriptors that a running process has open.
  auto open_descriptors(std::string_view name) const -> long;

  /// The address for workers and operators of a fleet's control process.
  auto fleet_control_address(int number) const -> std::string;

  /// Copies what all processes have printed and logged to a folder.
  void copy_logs(std::string_view folder) const;

  /// Removes the data folder of a control process.
  void erase_data_folder(int number);

  /// Sends a request to an entry, numbered from 1. The status is 0 if no
  /// complete response arrives within 15 s.
  auto call(int entry, http_request request) -> http_response;
  auto get(int entry, std::string_view target) -> http_response;
  auto post(int entry, std::string_view target, std::string_view body)
      -> http_response;

  /// Sends a request as the customer "grocer".
  auto send_as_customer(int entry, std::string_view method,
                        std::string_view path,
                        std::vector<http_header> headers = {}) -> http_response;
  auto put_file(int entry, std::string_view name, std::string_view body,
                std::uint64_t version, std::string_view change)
      -> http_response;

  /// Returns the state dump of the process at an HTTP port; empty if it sends
  /// no response within 2 s.
  auto state(int port) -> boost::json::value;

  /// Returns the configuration version of an entry; 0 if unavailable.
  auto config_version(int entry) -> std::uint64_t;

  /// Returns the number of the control process that serves as the leader; 0 if
  /// there is none.
  auto leader() -> int;

  /// Returns how often endpoints executed a request with this idempotency key.
  auto execution_count(std::string_view key) -> int;

  auto control_port(int number) const -> int {
    return first_port_ + 10 + number;
  }
  auto entry_port(int number) const -> int { return first_port_ + 30 + number; }
  auto endpoint_port(int number) const -> int {
    return first_port_ + 50 + number;
  }

 private:
  void start(std::string_view name, std::string_view program,
             std::vector<std::string> flags);
  void launch(std::string_view name, std::string_view program,
              std::vector<std::string> flags);
  auto address(int port) const -> std::string;
  auto fleet_ip(int number) const -> std::string;
  auto fleet_seed_addresses() const -> std::string;
  auto fleet_metrics_address(int number) const -> std::string;
  auto exchange(std::string_view address, http_request request,
                std::chrono::milliseconds timeout = std::chrono::seconds(15))
      -> http_response;
  auto entries() const -> std::string;

  int first_port_;
  std::string folder_;
  std::map<std::string, pid_t, std::less<>> pids_;
  std::map<int, int> fleet_data_centres_;
  std::vector<int> fleet_seeds_{1, 2, 3};
  int tolerated_machines_ = 1;
  std::string fleet_limits_;  // lines of the settings
  boost::asio::thread_pool pool_;
  http_client client_;
};

/// Blocks the calling thread for a duration.
void pause_for(std::chrono::milliseconds time);

/// Polls a condition until it holds. Returns false on timeout.
auto eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(30)) -> bool;

}  // namespace parsleyledge::fakes
