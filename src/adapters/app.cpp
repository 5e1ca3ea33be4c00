#include "adapters/app.h"

#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>

#include "adapters/io_error.h"
#include "adapters/memory_budget.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"

namespace parsleyledge {

namespace {

constexpr std::chrono::milliseconds idle_poll_interval{10};
constexpr int failure_exit_status = 4;

auto signal_set() -> sigset_t {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

void block_signals() {
  auto set = signal_set();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_signal(const std::function<void()>& reload,
                     std::chrono::milliseconds interval) {
  auto set = signal_set();
  auto seconds = std::chrono::floor<std::chrono::seconds>(interval);
  timespec limit{seconds.count(),
                 std::chrono::nanoseconds(interval - seconds).count()};
  while (true) {
    int signal_number = 0;
    if (interval.count() > 0) {
      signal_number = sigtimedwait(&set, nullptr, &limit);
    } else if (sigwait(&set, &signal_number) != 0) {
      continue;
    }
    if (signal_number == SIGTERM || signal_number == SIGINT) return;
    bool due =
        signal_number == SIGHUP || (signal_number < 0 && errno == EAGAIN);
    if (due && reload) reload();
  }
}

auto wait_until_idle(const http_server& server, std::chrono::milliseconds limit)
    -> bool {
  std::mutex mutex;
  std::condition_variable condition;
  std::unique_lock lock(mutex);
  auto until = std::chrono::steady_clock::now() + limit;
  while (server.active_requests() > 0 || server.connections() > 0) {
    if (std::chrono::steady_clock::now() >= until) return false;
    condition.wait_for(lock, idle_poll_interval);
  }
  return true;
}

void exit_with_error(std::string_view event, std::string_view detail) {
  log_event(log_level::error, event, {{"detail", detail}});
  flush_log();
  std::_Exit(failure_exit_status);
}

auto open_journal(journal& storage, const folder_owner& owner)
    -> agreement::recovered_state {
  namespace leaf = boost::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<agreement::recovered_state> {
        BOOST_LEAF_AUTO(state, storage.open(owner));
        return state;
      },
      [](const io_error& e) -> agreement::recovered_state {
        exit_with_error("data_folder_refused", e.text());
      },
      [](const journal_error& e) -> agreement::recovered_state {
        exit_with_error("data_folder_refused", e.file + ": " + e.detail);
      },
      []() -> agreement::recovered_state {
        exit_with_error("data_folder_refused", "unknown error");
      });
}

void start_log_from_flag(std::string_view level, std::string_view process,
                         log_stream stream) {
  log_level parsed{};
  if (!parse_log_level(level, parsed)) {
    exit_with_flag_error("log_level", "expected debug, info, warning or error");
  }
  start_log(parsed, process, stream);
}

void record_memory(const memory_budget& budget, metrics& to) {
  to.gauge("request_memory_bytes") = budget.used();
  to.gauge("connections_shed") = budget.shed_count();
  to.gauge("requests_without_memory") = budget.refused_count();
}

}  // namespace parsleyledge
