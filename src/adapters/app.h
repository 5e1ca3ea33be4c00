#pragma once

#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "adapters/http_server.h"
#include "adapters/journal.h"
#include "adapters/log.h"

namespace parsleyledge {

class memory_budget;
class metrics;

/// Exit codes of the programs.
enum class exit_code { done = 0, refused = 1, bad_usage = 2, unknown = 3 };

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and for threads that it
/// creates later, and ignores SIGPIPE.
void block_signals();

/// Interval at which a settings file is polled for changes without a SIGHUP.
constexpr std::chrono::milliseconds settings_poll_interval{2000};

/// Blocks until SIGTERM or SIGINT arrives. Until then it calls `reload` on each
/// SIGHUP and, if `interval` is not zero, once per interval.
void wait_for_signal(const std::function<void()>& reload = {},
                     std::chrono::milliseconds interval = {});

/// Blocks until the server has no requests and no connections, for at most
/// `limit`. Returns whether it has none.
auto wait_until_idle(const http_server& server, std::chrono::milliseconds limit)
    -> bool;

/// Logs `event` with `detail` and exits at once with status 4, without running
/// destructors. For failures after which the process must not continue.
[[noreturn]] void exit_with_error(std::string_view event,
                                  std::string_view detail);

/// Opens a journal, or logs the reason and exits the process.
auto open_journal(journal& storage, const folder_owner& owner)
    -> agreement::recovered_state;

/// Starts the log at the level that the flag names, or exits the process if
/// the level is invalid.
void start_log_from_flag(std::string_view level, std::string_view process,
                         log_stream stream = log_stream::standard_error);

/// Sets the gauges of the memory of requests, and how often a connection was
/// shed or refused memory.
void record_memory(const memory_budget& budget, metrics& to);

}  // namespace parsleyledge
