#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// One log line that concerns a request.
struct log_moment {
  std::string time;  // as it was logged, so that its order is that of the text
  std::string process;
  std::string event;
  std::string details;  // the other fields, name=value
  std::string line;     // as it was written
};

/// What logs say of one request, over all processes.
struct log_story {
  std::vector<log_moment> moments;  // in the order of their times
  std::size_t unreadable = 0;       // lines that are no JSON object
};

/// Collects the lines of these texts that name an id. Lines may begin with
/// words of whoever collected them.
auto read_story(std::span<const std::string> logs, std::string_view id)
    -> log_story;

}  // namespace parsleyledge
