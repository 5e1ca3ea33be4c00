#pragma once

#include <cstdint>
#include <initializer_list>
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

/// Sends log lines of this level and above to stderr, as JSON, one an event.
/// `process` is this process's name.
void start_log(log_level lowest, std::string_view process);

/// Writes one line. Fields must hold neither secrets nor request bodies.
void log_event(log_level level, std::string_view event, log_fields fields = {});

/// Reads a level's name: debug, info, warning or error.
auto parse_log_level(std::string_view name, log_level& level) -> bool;

}  // namespace parsleyledge
