#pragma once

#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "adapters/http_server.h"

namespace parsleyledge {

/// Exit codes of the programs.
enum class exit_code { done = 0, refused = 1, bad_usage = 2, unknown = 3 };

/// Waits until SIGTERM or SIGINT. Must be called before other threads start
/// to take signals; blocks the signals for threads made later.
void block_signals();
void wait_for_signal();

/// Waits until the server has no request left, at most this long. Returns
/// whether it has none.
auto wait_until_idle(const http_server& server, std::chrono::milliseconds limit)
    -> bool;

/// Ends the process at once after a failure that forbids to go on.
[[noreturn]] void stop_at_once(std::string_view event, std::string_view detail);

/// Starts the log at the level that a flag names, or refuses the flag.
void start_log_from_flag(std::string_view level, std::string_view process);

}  // namespace parsleyledge
