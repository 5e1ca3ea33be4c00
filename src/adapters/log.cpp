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

#include "adapters/log_rate_limiter.h"
#include "adapters/log_writer.h"

namespace parsleyledge {

namespace {

namespace logging = boost::log;

constexpr std::array level_names = {
    std::string_view("debug"), std::string_view("info"),
    std::string_view("warning"), std::string_view("error")};

// Holds some seconds of lines at the highest rate. If the reader pauses for
// longer, lines are dropped.
constexpr std::size_t buffer_capacity_bytes = std::size_t{1} << 20;
// Limits per event. The largest site today logs about as many ends of runs per
// second.
constexpr double lines_per_second = 400;
constexpr double burst_lines = 1000;
constexpr std::chrono::milliseconds exit_flush_timeout{200};

/// Passes formatted lines to the log writer.
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

auto current_writer() -> std::shared_ptr<log_writer>& {
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

/// Starts a line, unless its event exceeds the rate limit.
auto begin_admitted_line(log_level level, std::string_view event)
    -> std::optional<boost::json::object> {
  static log_rate_limiter limiter(lines_per_second, burst_lines);
  auto admission = limiter.admit(event, log_rate_limiter::clock::now());
  if (!admission.admitted) return {};
  auto line = begin_line(level, event);
  if (admission.suppressed > 0) line["folded"] = admission.suppressed;
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
  current_writer() =
      std::make_shared<log_writer>(descriptor, buffer_capacity_bytes);
  auto sink = boost::make_shared<logging::sinks::unlocked_sink<writer_backend>>(
      boost::make_shared<writer_backend>(current_writer()));
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
}

void log_event(log_level level, std::string_view event, log_fields fields) {
  if (level < lowest_level()) return;
  auto line = begin_admitted_line(level, event);
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
  auto line = begin_admitted_line(log_level::info, event);
  if (!line) return;
  for (const auto& [key, value] : fields) (*line)[key] = value;
  write_line(log_level::info, *line);
}

void flush_log() {
  if (auto writer = current_writer()) writer->flush(exit_flush_timeout);
}

auto log_lines_dropped() -> std::uint64_t {
  auto writer = current_writer();
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
