#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace parsleyledge {

/// What is known about the execution of a request that failed.
enum class run_outcome {
  not_run,  // no byte can have reached an endpoint, or a fence rules it out
  unknown,
  conflict
};

/// The problem details that a caller receives for a failed request (RFC 9457).
struct problem {
  int status = 500;
  std::string title;
  std::string detail;
  run_outcome outcome = run_outcome::not_run;
};

/// The value of an operation, or the problem that prevented it.
template <typename T>
using result_or_problem = std::variant<T, problem>;

/// The name of the outcome on the wire.
constexpr auto to_string(run_outcome outcome) -> std::string_view {
  switch (outcome) {
    case run_outcome::not_run:
      return "not-run";
    case run_outcome::unknown:
      return "unknown";
    case run_outcome::conflict:
      return "conflict";
  }
  return "unknown";
}

}  // namespace parsleyledge
