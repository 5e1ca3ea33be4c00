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

/// The value of a field in a log line.
using log_value = std::variant<std::string_view, std::int64_t, double, bool>;

using log_fields =
    std::initializer_list<std::pair<std::string_view, log_value>>;

enum class log_stream { standard_error, standard_output };

/// Starts logging events of the level `lowest` and above to a stream, one JSON
/// object per line. A background thread writes the lines, so that logging never
/// blocks; lines that exceed the buffer are dropped and counted. `process` is
/// the name of this process.
void start_log(log_level lowest, std::string_view process,
               log_stream stream = log_stream::standard_error);

/// Logs one event. Fields must contain neither secrets nor request bodies.
/// Lines that exceed the rate limit of their event are suppressed and counted.
void log_event(log_level level, std::string_view event, log_fields fields = {});

/// Logs a decision and its inputs at the level `info`.
void log_decision(
    std::string_view event,
    std::span<const std::pair<std::string_view, std::string>> fields);

/// Waits for queued lines to be written, 200 ms at the most. Call it before the
/// process exits.
void flush_log();

/// Number of lines dropped because the reader of the stream was too slow.
auto log_lines_dropped() -> std::uint64_t;

/// Parses the name of a level: debug, info, warning or error. Returns false and
/// leaves `level` unchanged if the name is unknown.
auto parse_log_level(std::string_view name, log_level& level) -> bool;

}  // namespace parsleyledge
