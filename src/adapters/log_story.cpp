#include "adapters/log_story.h"

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

auto read_moment(std::string_view line) -> std::optional<log_moment> {
  auto begin = line.find('{');
  if (begin == std::string_view::npos) return {};
  json::error_code ec;
  auto value = json::parse(line.substr(begin), ec);
  if (ec || !value.is_object()) return {};
  log_moment moment;
  moment.line = line.substr(begin);
  for (const auto& [key, field] : value.get_object()) {
    auto text = as_text(field);
    if (key == "time") {
      moment.time = std::move(text);
    } else if (key == "process") {
      moment.process = std::move(text);
    } else if (key == "event") {
      moment.event = std::move(text);
    } else if (key != "level") {
      if (!moment.details.empty()) moment.details += ' ';
      moment.details.append(key).append("=").append(text);
    }
  }
  return moment;
}

}  // namespace

auto read_story(std::span<const std::string> logs, std::string_view id)
    -> log_story {
  log_story story;
  for (std::string_view text : logs) {
    while (!text.empty()) {
      auto end = text.find('\n');
      auto line = text.substr(0, end);
      text.remove_prefix(end == text.npos ? text.size() : end + 1);
      if (line.find(id) == line.npos) continue;
      if (auto moment = read_moment(line)) {
        story.moments.push_back(std::move(*moment));
      } else {
        ++story.unreadable;
      }
    }
  }
  std::ranges::stable_sort(story.moments, {}, &log_moment::time);
  return story;
}

}  // namespace parsleyledge
