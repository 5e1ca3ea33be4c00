#pragma once

#include <sys/types.h>

#include <boost/asio/thread_pool.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http_client.h"

namespace parsleyledge::fakes {

/// The programs of a site as real processes on loopback, for tests of
/// failures. Every process is ended when it goes out of scope.
class process_site {
 public:
  /// `first_port`: the site uses the 100 ports from here on.
  explicit process_site(int first_port);
  ~process_site();
  process_site(const process_site&) = delete;
  auto operator=(const process_site&) -> process_site& = delete;

  void start_control(int number, int of = 3);
  void start_entry(int number);
  void start_endpoint(int number, std::vector<std::string> flags = {});
  void start_worker(int number, std::vector<std::string> flags = {});

  /// Starts three replicas, two entries, and waits until both serve.
  void start_all();

  /// Puts a configuration in force on both entries.
  void configure(std::string_view toml);

  void signal(std::string_view name, int which);

  /// Kills a process with SIGKILL and waits for its end.
  void kill(std::string_view name);

  /// Waits for a process to end by itself and returns its status.
  auto wait(std::string_view name) -> int;
  void lose_disk(int number);

  /// Calls an entry, counted from 1. Status 0 if no whole answer came.
  auto call(int entry, http_request request) -> http_response;
  auto get(int entry, std::string_view target) -> http_response;
  auto post(int entry, std::string_view target, std::string_view body)
      -> http_response;

  /// A caller's request of the customer "grocer".
  auto ask(int entry, std::string_view method, std::string_view path,
           std::vector<http_header> headers = {}) -> http_response;
  auto put_file(int entry, std::string_view name, std::string_view body,
                std::uint64_t version, std::string_view change)
      -> http_response;

  /// The state dump of any process by its HTTP port.
  auto state(int port) -> boost::json::value;
  auto version(int entry) -> std::uint64_t;

  /// Number of the control process that leads and serves; 0 if none.
  auto leader() -> int;

  /// Times that endpoints executed a request with this key.
  auto executions(std::string_view key) -> int;

  auto control_port(int number) const -> int { return first_ + 10 + number; }
  auto entry_port(int number) const -> int { return first_ + 30 + number; }
  auto endpoint_port(int number) const -> int { return first_ + 50 + number; }

 private:
  void start(std::string_view name, std::string_view program,
             std::vector<std::string> flags);
  auto address(int port) const -> std::string;
  auto entries() const -> std::string;

  int first_;
  std::string folder_;
  std::map<std::string, pid_t, std::less<>> pids_;
  boost::asio::thread_pool pool_;
  http_client client_;
};

/// Lets time pass.
void pause_for(std::chrono::milliseconds time);

/// Waits until a condition holds; false after the limit.
auto eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(30)) -> bool;

}  // namespace parsleyledge::fakes
