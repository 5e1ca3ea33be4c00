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

/// Exit codes of the programs.
enum class exit_code { done = 0, refused = 1, bad_usage = 2, unknown = 3 };

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those made later.
void block_signals();

/// How often a settings file is looked at that may change without a signal.
constexpr std::chrono::milliseconds settings_interval{2000};

/// Waits until SIGTERM or SIGINT. Calls `reload` at each SIGHUP before and,
/// with an interval, that often besides.
void wait_for_signal(const std::function<void()>& reload = {},
                     std::chrono::milliseconds interval = {});

/// Waits until the server has no request left, at most this long. Returns
/// whether it has none.
auto wait_until_idle(const http_server& server, std::chrono::milliseconds limit)
    -> bool;

/// Ends the process at once after a failure that forbids to go on.
[[noreturn]] void stop_at_once(std::string_view event, std::string_view detail);

/// Opens a journal, or ends the process with the reason.
auto open_journal(journal& disk, const folder_owner& owner)
    -> agreement::recovered_state;

/// Starts the log at the level that a flag names, or refuses the flag.
void start_log_from_flag(std::string_view level, std::string_view process,
                         log_stream stream = log_stream::standard_error);

}  // namespace parsleyledge
