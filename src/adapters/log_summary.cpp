#include "adapters/log_summary.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string_view>

namespace parsleyledge {

namespace {

namespace json = boost::json;

constexpr double ms_per_second = 1000;

auto text_field(const json::object& line, std::string_view key) -> std::string {
  const auto* value = line.if_contains(key);
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string() : std::string(*text);
}

auto number_field(const json::object& line, std::string_view key) -> double {
  const auto* value = line.if_contains(key);
  if (value == nullptr || !value->is_number()) return 0;
  return value->to_number<double>();
}

/// The step of a task, which is named STEP.INDEX.
auto step_of(std::string_view task) -> std::string {
  return std::string(task.substr(0, task.rfind('.')));
}

/// Sums up one line after the other.
class summary_builder {
 public:
  void add(const json::object& line, bool is_discarded) {
    auto cause = text_field(line, "cause");
    auto queue = text_field(line, "queue");
    auto cost = number_field(line, is_discarded ? "core_ms" : "wait_ms") /
                ms_per_second;
    auto& total =
        summary.totals[{is_discarded ? "discarded" : "waited", cause, queue}];
    ++total.count;
    total.cost += cost;
    summary.suppressed_lines +=
        static_cast<std::uint64_t>(number_field(line, "folded"));
    if (!is_discarded) return;
    auto reason = text_field(line, "reason");
    auto step = step_of(text_field(line, "task"));
    // Runs that were displaced for one step belong to one decision.
    auto of = cause == "displaced" ? std::string() : step;
    auto& decision = decisions_[{cause, reason, of}];
    if (decision.total.count == 0) {
      decision = {text_field(line, "time"), step, queue, cause, reason, {}};
    }
    ++decision.total.count;
    decision.total.cost += cost;
  }

  void keep_costliest(std::size_t count) {
    for (auto& [key, decision] : decisions_)
      summary.costliest.push_back(std::move(decision));
    std::ranges::sort(summary.costliest, std::ranges::greater(),
                      [](const costly_decision& d) { return d.total.cost; });
    if (summary.costliest.size() > count) summary.costliest.resize(count);
  }

  log_summary summary;

 private:
  std::map<cause_key, costly_decision> decisions_;
};

}  // namespace

auto summarize_logs(std::span<const std::string> logs, std::size_t most_costly)
    -> log_summary {
  summary_builder builder;
  for (std::string_view text : logs) {
    while (!text.empty()) {
      auto end = text.find('\n');
      auto line = text.substr(0, end);
      text.remove_prefix(end == text.npos ? text.size() : end + 1);
      bool is_discarded =
          line.find("\"event\":\"work_discarded\"") != line.npos;
      bool is_wait = line.find("\"event\":\"waited\"") != line.npos;
      if (!is_discarded && !is_wait) continue;
      json::error_code ec;
      auto value = json::parse(line.substr(line.find('{')), ec);
      if (ec || !value.is_object()) {
        ++builder.summary.malformed_lines;
      } else {
        builder.add(value.get_object(), is_discarded);
      }
    }
  }
  builder.keep_costliest(most_costly);
  return std::move(builder.summary);
}

}  // namespace parsleyledge
