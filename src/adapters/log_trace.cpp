#include "adapters/log_trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace parsleyledge {

namespace {

namespace json = boost::json;

auto as_text(const json::value& value) -> std::string {
  if (const auto* text = value.if_string()) return std::string(*text);
  return json::serialize(value);
}

auto parse_event(std::string_view line) -> std::optional<trace_event> {
  auto begin = line.find('{');
  if (begin == std::string_view::npos) return {};
  json::error_code ec;
  auto value = json::parse(line.substr(begin), ec);
  if (ec || !value.is_object()) return {};
  trace_event event;
  event.line = line.substr(begin);
  for (const auto& [key, field] : value.get_object()) {
    auto text = as_text(field);
    if (key == "time") {
      event.time = std::move(text);
    } else if (key == "process") {
      event.process = std::move(text);
    } else if (key == "event") {
      event.event = std::move(text);
    } else if (key != "level") {
      if (!event.details.empty()) event.details += ' ';
      event.details.append(key).append("=").append(text);
    }
  }
  return event;
}

}  // namespace

auto read_log_trace(std::span<const std::string> logs, std::string_view id)
    -> log_trace {
  log_trace trace;
  for (std::string_view text : logs) {
    while (!text.empty()) {
      auto end = text.find('\n');
      auto line = text.substr(0, end);
      text.remove_prefix(end == text.npos ? text.size() : end + 1);
      if (line.find(id) == line.npos) continue;
      if (auto event = parse_event(line)) {
        trace.events.push_back(std::move(*event));
      } else {
        ++trace.malformed_lines;
      }
    }
  }
  std::ranges::stable_sort(trace.events, {}, &trace_event::time);
  return trace;
}

}  // namespace parsleyledge
