#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace parsleyledge {

/// What the decisions of one kind, cause and queue cost.
struct cause_total {
  std::uint64_t count = 0;
  double cost = 0;  // core-seconds of discarded work, seconds of waiting
};

/// One decision that discarded work: all runs of a step that ended for the same
/// reason in the same run of the step.
struct costly_decision {
  std::string time;  // of the first end
  std::string step;
  std::string queue;
  std::string cause;
  std::string reason;
  cause_total total;
};

/// Kind (`discarded` or `waited`), cause and queue.
using cause_key = std::tuple<std::string, std::string, std::string>;

/// Why work was discarded and steps waited, over the logs of all processes.
struct log_summary {
  std::map<cause_key, cause_total> totals;
  std::vector<costly_decision> costliest;  // most core-seconds first
  std::size_t malformed_lines = 0;         // such lines that are no JSON object
  std::uint64_t suppressed_lines = 0;      // left out by the rate limit
};

/// Sums up the lines of discarded work and of waiting. Keeps the `most_costly`
/// decisions that discarded most.
auto summarize_logs(std::span<const std::string> logs, std::size_t most_costly)
    -> log_summary;

}  // namespace parsleyledge
