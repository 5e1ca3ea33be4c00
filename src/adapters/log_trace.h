#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// One log line that concerns a request.
struct trace_event {
  std::string time;  // as logged: ISO 8601 in UTC, sorts as text
  std::string process;
  std::string event;
  std::string details;  // the other fields, name=value
  std::string line;     // the JSON object, without a prefix
};

/// The log lines of one request, over all processes.
struct log_trace {
  std::vector<trace_event> events;  // sorted by time
  std::size_t malformed_lines = 0;  // lines that are no JSON object
};

/// Collects the lines of `logs` that contain `id`. A prefix before the JSON
/// object of a line, such as one added by a log collector, is ignored.
auto read_log_trace(std::span<const std::string> logs, std::string_view id)
    -> log_trace;

}  // namespace parsleyledge
