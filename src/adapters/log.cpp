#include "adapters/log.h"

#include <array>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <ctime>
#include <iostream>

namespace parsleyledge {

namespace {

namespace logging = boost::log;

constexpr std::array level_names = {
    std::string_view("debug"), std::string_view("info"),
    std::string_view("warning"), std::string_view("error")};

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

void write_line(log_level level, const boost::json::object& line) {
  thread_local logging::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level))
      << boost::json::serialize(line);
}

}  // namespace

void start_log(log_level lowest, std::string_view process, log_stream stream) {
  process_name() = process;
  lowest_level() = lowest;
  using backend = logging::sinks::text_ostream_backend;
  auto out = boost::make_shared<backend>();
  auto& to = stream == log_stream::standard_output ? std::cout : std::cerr;
  out->add_stream(boost::shared_ptr<std::ostream>(&to, [](auto*) {}));
  out->auto_flush(true);
  auto sink =
      boost::make_shared<logging::sinks::synchronous_sink<backend>>(out);
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
}

void log_event(log_level level, std::string_view event, log_fields fields) {
  if (level < lowest_level()) return;
  auto line = begin_line(level, event);
  for (const auto& [key, value] : fields) {
    std::visit([&, k = key](const auto& v) { line[k] = v; }, value);
  }
  write_line(level, line);
}

void log_decision(
    std::string_view event,
    std::span<const std::pair<std::string_view, std::string>> fields) {
  if (log_level::info < lowest_level()) return;
  auto line = begin_line(log_level::info, event);
  for (const auto& [key, value] : fields) line[key] = value;
  write_line(log_level::info, line);
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
