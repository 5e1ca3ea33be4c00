#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace parsleyledge {

enum class log_level { debug, info, warning, error };

/// The value of a field of a log line.
using log_value = std::variant<std::string_view, std::int64_t, double, bool>;

using log_fields =
    std::initializer_list<std::pair<std::string_view, log_value>>;

enum class log_stream { standard_error, standard_output };

/// Sends log lines of this level and above to a stream, as JSON, one an event.
/// Lines are written by a thread of their own and never block; what a reader
/// does not take is dropped and counted. `process` is this process's name.
void start_log(log_level lowest, std::string_view process,
               log_stream stream = log_stream::standard_error);

/// Writes one line. Fields must hold neither secrets nor request bodies.
void log_event(log_level level, std::string_view event, log_fields fields = {});

/// Writes one line on a decision: what was decided and by which inputs.
void log_decision(
    std::string_view event,
    std::span<const std::pair<std::string_view, std::string>> fields);

/// Waits a moment for the lines so far to be written. For the end of a process.
void flush_log();

/// Lines lost because nobody read them.
auto log_lines_dropped() -> std::uint64_t;

/// Reads a level's name: debug, info, warning or error.
auto parse_log_level(std::string_view name, log_level& level) -> bool;

}  // namespace parsleyledge
