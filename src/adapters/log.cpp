#include "adapters/log.h"

#include <unistd.h>
#include <array>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <ctime>
#include <memory>
#include <optional>

#include "adapters/log_budget.h"
#include "adapters/log_writer.h"

namespace parsleyledge {

namespace {

namespace logging = boost::log;

constexpr std::array level_names = {
    std::string_view("debug"), std::string_view("info"),
    std::string_view("warning"), std::string_view("error")};

// Some seconds of the busiest lines; a reader that pauses longer loses some.
constexpr std::size_t waiting_bytes = std::size_t{1} << 20;
// Of one kind. The largest site of today logs about as many ends of runs.
constexpr double lines_per_second = 400;
constexpr double lines_at_once = 1000;
// A process that ends waits so long for its last lines to be read.
constexpr std::chrono::milliseconds last_lines{200};

/// Hands formatted lines to the writer.
class writer_backend : public logging::sinks::basic_formatted_sink_backend<
                           char, logging::sinks::concurrent_feeding> {
 public:
  explicit writer_backend(std::shared_ptr<log_writer> writer)
      : writer_(std::move(writer)) {}

  void consume(const logging::record_view&, const std::string& line) {
    writer_->write(line);
  }

 private:
  std::shared_ptr<log_writer> writer_;
};

auto the_writer() -> std::shared_ptr<log_writer>& {
  static std::shared_ptr<log_writer> writer;
  return writer;
}

auto process_name() -> std::string& {
  static std::string name;
  return name;
}

auto lowest_level() -> log_level& {
  static log_level level = log_level::error;
  return level;
}

auto timestamp() -> std::string {
  auto now = std::chrono::system_clock::now();
  auto seconds = std::chrono::system_clock::to_time_t(now);
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                now.time_since_epoch())
                .count() %
            1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + n, text.size() - n, ".%03dZ",
                static_cast<int>(ms));
  return text.data();
}

auto begin_line(log_level level, std::string_view event)
    -> boost::json::object {
  boost::json::object line;
  line["time"] = timestamp();
  line["level"] = level_names[static_cast<std::size_t>(level)];
  line["process"] = process_name();
  line["event"] = event;
  return line;
}

/// Starts a line, unless its kind is over its budget.
auto admit(log_level level, std::string_view event)
    -> std::optional<boost::json::object> {
  static log_budget budget(lines_per_second, lines_at_once);
  auto verdict = budget.admit(event, log_budget::clock::now());
  if (!verdict.passes) return {};
  auto line = begin_line(level, event);
  if (verdict.folded > 0) line["folded"] = verdict.folded;
  return line;
}

void write_line(log_level level, const boost::json::object& line) {
  thread_local logging::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << boost::json::serialize(line);
}

}  // namespace

void start_log(log_level lowest, std::string_view process, log_stream stream) {
  process_name() = process;
  lowest_level() = lowest;
  int descriptor =
      stream == log_stream::standard_output ? STDOUT_FILENO : STDERR_FILENO;
  the_writer() = std::make_shared<log_writer>(descriptor, waiting_bytes);
  auto sink = boost::make_shared<logging::sinks::unlocked_sink<writer_backend>>(
      boost::make_shared<writer_backend>(the_writer()));
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
}

void log_event(log_level level, std::string_view event, log_fields fields) {
  if (level < lowest_level()) return;
  auto line = admit(level, event);
  if (!line) return;
  for (const auto& [key, value] : fields) {
    std::visit([&, k = key](const auto& v) { (*line)[k] = v; }, value);
  }
  write_line(level, *line);
}

void log_decision(
    std::string_view event,
    std::span<const std::pair<std::string_view, std::string>> fields) {
  if (log_level::info < lowest_level()) return;
  auto line = admit(log_level::info, event);
  if (!line) return;
  for (const auto& [key, value] : fields) (*line)[key] = value;
  write_line(log_level::info, *line);
}

void flush_log() {
  if (auto writer = the_writer()) writer->flush(last_lines);
}

auto log_lines_dropped() -> std::uint64_t {
  auto writer = the_writer();
  return writer == nullptr ? 0 : writer->dropped();
}

auto parse_log_level(std::string_view name, log_level& level) -> bool {
  for (std::size_t i = 0; i < level_names.size(); ++i) {
    if (level_names[i] != name) continue;
    level = static_cast<log_level>(i);
    return true;
  }
  return false;
}

}  // namespace parsleyledge
