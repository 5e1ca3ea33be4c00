// Stand-ins for the clients, runners, operator and platform of a small
// deployment, and the deployment itself: the project's programs as processes on
// loopback addresses.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

namespace json = boost::json;

/// Milliseconds since the start of the script.
auto now_ms() -> std::int64_t;
void sleep_ms(std::int64_t time);

/// The lines of record.txt, with their times.
class record {
 public:
  explicit record(const std::string& path);
  ~record();
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

using headers = std::vector<std::pair<std::string, std::string>>;

struct http_request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
};

struct http_response {
  int status = 0;  // 0: no response
  std::string body;
};

/// Sends a request on a connection of its own. Without a response within the
/// time the connection is closed and the status is 0.
auto call(const std::string& address, const std::string& method,
          const std::string& target, const headers& fields,
          const std::string& body, std::int64_t timeout_ms) -> http_response;

/// An HTTP server with a thread for each connection. A response without a
/// status closes the connection without an answer.
class server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  server(std::string address, std::size_t max_connections, handler serve);
  ~server();

 private:
  void accept_connections();
  void serve_connection(int socket);

  std::string address_;
  std::size_t max_connections_;
  handler serve_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> open_{0};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::thread acceptor_;
};

struct runner_settings {
  std::string id;
  std::string service;
  std::string zone;
  std::string kind = "a";
  std::string rack;
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpu = 0;
  // Whether a start needs a ticket that is still valid; see `policy`.
  bool checks_tickets = false;
};

/// How a run went, as the runner saw it.
struct run_history {
  std::string runner;
  std::string task;
  std::uint32_t run = 0;
  std::int64_t started_at = 0;
  std::int64_t ended_at = -1;  // -1: it goes on
  std::string how;
  bool acked = false;  // its end was acknowledged
};

/// The runs of all runners of a deployment.
struct history {
  std::mutex mutex;
  std::deque<run_history> runs;
  std::atomic<int> lines{0};  // of the record, on starts and ends
};

/// A sound runner. The text `spec` of a job says what its work units do: a JSON
/// object with `ms`, the length of the work, and `lasts`, for work that goes on
/// until it is stopped or, after `ms`, ends `done`.
class runner {
 public:
  runner(runner_settings settings, std::string address,
         std::vector<std::string> control, history& runs, record& log,
         std::int64_t hold_max_ms);
  ~runner();

  /// Cuts the runner off from all machines of the system, or joins it again. It
  /// runs on.
  void cut(bool on);

  auto id() const -> const std::string& { return settings_.id; }

  /// Whether a poll is being held now, and since when.
  auto polled_since() const -> std::int64_t { return polled_since_; }

  /// The number of listed ends that are not acknowledged.
  auto unacknowledged() -> std::size_t;

 private:
  struct running {
    std::uint32_t run = 0;
    std::int64_t started_at = 0;
    std::int64_t length = 0;  // 0: until it is stopped
    bool lasts = false;
    std::size_t entry = 0;  // in the history
  };
  struct ended {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::size_t entry = 0;
  };

  auto serve(const http_request& request) -> http_response;
  auto serve_connected(const http_request& request) -> http_response;
  auto start(const json::object& body) -> http_response;
  auto stop(const json::object& body) -> http_response;
  auto hold(const json::object& body) -> http_response;
  auto reject(const std::string& reason) -> http_response;
  void extend(std::int64_t deadline);
  void end(const std::string& task, const std::string& how);
  void advance();
  void report();
  void log_run(const std::string& text);
  auto clock() const -> std::int64_t;

  runner_settings settings_;
  std::string address_;
  std::vector<std::string> control_;
  history& history_;
  record& log_;
  std::int64_t hold_max_ms_;
  std::int64_t born_;
  std::int64_t clock_start_;
  std::mutex mutex_;
  std::uint64_t fence_ = 0;
  std::int64_t deadline_ = 0;
  std::map<std::string, running> running_;
  std::map<std::string, std::uint32_t> rejected_up_to_;
  std::deque<ended> ended_;
  std::uint64_t next_end_ = 1;
  std::uint64_t seq_ = 0;
  std::atomic<bool> cut_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<std::int64_t> polled_since_{-1};
  std::thread worker_;
  std::thread reporter_;
  std::unique_ptr<server> server_;
};

struct deployment_settings {
  std::string programs;  // the folder with the project's programs
  int machines = 3;      // each in a zone of its own, with a disk
  int memory_mb = 260;
  int descriptors = 4100;
  bool kills_large_processes = false;  // that use more than `memory_mb`
  std::string advice;  // the address of the service that gives advice
};

/// The processes of the project: an entry and a control process on each
/// machine. Acts as the platform: starts a process that ended again after a
/// short delay and kills one that uses more memory than its machine has.
class deployment {
 public:
  deployment(deployment_settings settings, record& log);
  ~deployment();

  auto front(int machine) const -> std::string;
  auto control(int machine) const -> std::string;
  auto control_addresses() const -> std::vector<std::string>;
  auto metrics(int machine) const -> std::string;

  /// A loopback address with a free port for a stand-in.
  auto free_address(int number) const -> std::string;

  void signal_entry(int machine, int signal);
  void signal_control(int machine, int signal);

  /// Which machine's control process leads; -1 if none says so.
  auto leader() -> int;

  /// How often processes ended or were killed for their memory.
  auto exits() const -> int { return exits_; }
  auto memory_kills() const -> int { return memory_kills_; }

  /// How often the control process of a machine ended.
  auto control_exits(int machine) -> int;
  auto peak_memory_mb() const -> long { return peak_mb_; }

  /// Sends the configuration until it is acknowledged.
  auto configure(const std::string& document, std::int64_t timeout_ms) -> bool;

  /// Waits until runners can be placed and all control processes respond.
  auto wait_until_ready(std::int64_t timeout_ms) -> bool;

 private:
  struct process {
    std::string name;
    std::string program;
    std::string settings_file;
    std::string metrics_port;
    pid_t pid = -1;
    std::int64_t restart_at = -1;
    int exits = 0;
  };

  auto ip(int machine) const -> std::string;
  void launch(process& one);
  void watch();

  deployment_settings settings_;
  record& log_;
  std::string folder_;
  int base_ = 0;
  int front_port_ = 0;
  int ready_port_ = 0;
  int control_port_ = 0;
  int peer_port_ = 0;
  int entry_metrics_port_ = 0;
  int control_metrics_port_ = 0;
  std::mutex mutex_;
  std::vector<process> processes_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> exits_{0};
  std::atomic<int> memory_kills_{0};
  std::atomic<long> peak_mb_{0};
  std::thread watcher_;
};

/// A client of one tenant.
struct client {
  std::string host;
  std::string key;
  std::int64_t time_budget_ms = 3000;

  auto submit(const std::string& front, const std::string& path,
              const std::string& body) const -> http_response;
  auto state(const std::string& front, const std::string& path) const
      -> std::string;
  auto cancel(const std::string& front, const std::string& path) const
      -> http_response;
};

/// The service that gives advice: it allows every worker. It handles one call
/// at a time. A ticket is valid from the moment at which it is given.
class policy {
 public:
  policy(std::string address, record& log);

  /// The terms of the queue, as its configuration says.
  void set_terms(std::int64_t decide_ms, std::int64_t period_ms,
                 std::int64_t valid_ms);

  /// Whether a ticket is for the step of this work unit and this worker, and
  /// still valid.
  static auto is_valid(const std::string& ticket, const std::string& task,
                       const std::string& worker) -> bool;

 private:
  auto serve(const http_request& request) -> http_response;

  record& log_;
  std::mutex turn_;
  std::atomic<std::int64_t> decide_ms_{0};
  std::atomic<std::int64_t> period_ms_{0};
  std::atomic<std::int64_t> valid_ms_{0};
  std::unique_ptr<server> server_;
};

/// A loopback address with a free port, for stand-ins that are needed before a
/// deployment.
auto any_free_address() -> std::string;

/// Exit codes of a script.
enum class verdict { held = 0, broken = 1, not_run = 2 };

/// The arguments and the environment of a script.
struct script {
  std::string programs;
  std::string folder;
  bool trouble = true;
};

auto parse_script(int argc, char** argv) -> script;

}  // namespace review
