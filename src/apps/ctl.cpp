#include <absl/flags/flag.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <filesystem>
#include <functional>
#include <iostream>
#include <random>
#include <span>

#include "adapters/clock.h"
#include "adapters/log_summary.h"
#include "adapters/log_trace.h"
#include "adapters/operator_client.h"
#include "adapters/settings.h"
#include "adapters/table.h"
#include "adapters/toml.h"

using namespace parsleyledge;
namespace json = boost::json;

ABSL_FLAG(address_list, entry, {}, "ip:port,... of entries, tried in turn");
ABSL_FLAG(address_list, fleet, {},
          "ip:port,... of the metrics of fleet control processes, tried in "
          "turn by the commands on evacuations");
ABSL_FLAG(bool, json, false, "print JSON in place of tables");
ABSL_FLAG(wait_option, wait, {},
          "job submit: wait until the job has ended; config push: wait for "
          "workers that have not reported yet, 60 s or --wait=DURATION");
ABSL_FLAG(std::string, customer, "", "job list, job cancel: this customer's");
ABSL_FLAG(std::string, state, "", "job list: in this state");
ABSL_FLAG(bool, undo, false, "drain: return the worker to service");

namespace {

constexpr std::chrono::milliseconds wait_interval{200};
constexpr std::chrono::seconds default_push_wait{60};
constexpr std::size_t max_costly_decisions = 10;

using arguments = std::span<const std::string>;

/// A command of parsleyctl: its name of one or two words, the number
/// of arguments that follow and its implementation.
struct ctl_command {
  std::string_view name;
  std::size_t argument_count;
  std::string_view help;
  std::function<exit_code(operator_client&, arguments)> run;
};

auto as_text(const json::value& value) -> std::string {
  if (value.is_string()) return std::string(value.get_string());
  return json::serialize(value);
}

/// Prints the members `columns` of an array of objects as a table.
void print_rows(const json::array& rows, std::vector<std::string> columns) {
  text_table table{columns, {}};
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    for (const auto& column : columns) {
      const auto* value = row.as_object().if_contains(column);
      cells.push_back(value == nullptr ? "" : as_text(*value));
    }
    table.rows.push_back(std::move(cells));
  }
  std::cout << table.format();
}

auto print_list(operator_client& client, std::string_view target,
                std::string_view member, std::vector<std::string> columns)
    -> exit_code {
  auto value = client.document(target);
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << json::serialize(value) << "\n";
  } else {
    print_rows(value.at(member).as_array(), std::move(columns));
  }
  return exit_code::done;
}

/// The contents of the files of a folder.
auto read_logs(std::string_view folder) -> std::vector<std::string> {
  std::error_code ec;
  std::vector<std::string> logs;
  for (const auto& entry : std::filesystem::directory_iterator(folder, ec)) {
    if (entry.is_regular_file())
      logs.push_back(read_text(entry.path().c_str()));
  }
  if (ec) {
    exit_with_message(exit_code::refused,
                      std::string(folder) + ": " + ec.message());
  }
  return logs;
}

auto format_cost(double cost) -> std::string {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", cost);
  return text;
}

/// The summary as one JSON object.
auto to_json(const log_summary& summary) -> json::object {
  json::array causes;
  for (const auto& [key, total] : summary.totals) {
    const auto& [kind, cause, queue] = key;
    causes.push_back({{"kind", kind},
                      {"cause", cause},
                      {"queue", queue},
                      {"count", total.count},
                      {"cost", total.cost}});
  }
  json::array costliest;
  for (const auto& d : summary.costliest) {
    costliest.push_back({{"time", d.time},
                         {"step", d.step},
                         {"queue", d.queue},
                         {"cause", d.cause},
                         {"reason", d.reason},
                         {"runs", d.total.count},
                         {"core_seconds", d.total.cost}});
  }
  return {{"causes", std::move(causes)},
          {"costliest", std::move(costliest)},
          {"malformed_lines", summary.malformed_lines},
          {"suppressed_lines", summary.suppressed_lines}};
}

/// Prints why work was discarded and steps waited, from the files of a folder.
auto print_log_summary(operator_client&, arguments args) -> exit_code {
  auto summary = summarize_logs(read_logs(args[0]), max_costly_decisions);
  if (summary.totals.empty()) {
    exit_with_message(exit_code::refused,
                      "no line of discarded work or of waiting in " + args[0]);
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << json::serialize(to_json(summary)) << "\n";
    return exit_code::done;
  }
  text_table causes{{"what", "cause", "queue", "count", "seconds"}, {}};
  for (const auto& [key, total] : summary.totals) {
    const auto& [kind, cause, queue] = key;
    causes.rows.push_back({kind, cause, queue, std::to_string(total.count),
                           format_cost(total.cost)});
  }
  text_table costliest{{"time", "step", "queue", "runs", "core-s", "reason"},
                       {}};
  for (const auto& d : summary.costliest) {
    costliest.rows.push_back({d.time, d.step, d.queue,
                              std::to_string(d.total.count),
                              format_cost(d.total.cost), d.reason});
  }
  std::cout << causes.format() << "\n" << costliest.format();
  if (summary.malformed_lines > 0)
    std::cerr << summary.malformed_lines << " lines are not valid JSON\n";
  if (summary.suppressed_lines > 0)
    std::cerr << summary.suppressed_lines << " lines were left out\n";
  return exit_code::done;
}

/// Prints the log lines of one request from the files of a folder, by time.
auto print_request_trace(operator_client&, arguments args) -> exit_code {
  auto trace = read_log_trace(read_logs(args[1]), args[0]);
  if (trace.malformed_lines > 0) {
    std::cerr << trace.malformed_lines
              << " lines that contain it are not valid JSON\n";
  }
  if (trace.events.empty()) {
    exit_with_message(exit_code::refused, "no log line contains " + args[0]);
  }
  text_table table{{"time", "process", "event", "details"}, {}};
  for (const auto& event : trace.events) {
    if (absl::GetFlag(FLAGS_json)) std::cout << event.line << "\n";
    table.rows.push_back(
        {event.time, event.process, event.event, event.details});
  }
  if (!absl::GetFlag(FLAGS_json)) std::cout << table.format();
  return exit_code::done;
}

auto read_valid_directory(std::string_view path)
    -> std::map<std::string, std::string> {
  auto files = read_directory(path);
  auto parsed = try_parse_folder(files);
  if (const auto* error = std::get_if<config_error>(&parsed)) {
    exit_with_message(exit_code::refused, error->text());
  }
  return files;
}

auto fetch_active_files(operator_client& client, std::uint64_t& version)
    -> std::map<std::string, std::string> {
  auto value = client.document("/v1/config");
  version = value.at("version").to_number<std::uint64_t>();
  std::map<std::string, std::string> files;
  for (const auto& [name, body] : value.at("files").as_object()) {
    files[name] = as_text(body);
  }
  return files;
}

auto generate_change_id() -> std::string {
  std::random_device random;
  return std::to_string((std::uint64_t{random()} << 32) | random());
}

/// After how many seconds a change that was not accepted may be sent again: the
/// Retry-After of a response that says that workers may still report. Nullopt
/// for any other result.
auto retry_delay(const exchange_result& result)
    -> std::optional<std::chrono::seconds> {
  const auto* answered = std::get_if<exchange_completed>(&result);
  if (answered == nullptr || answered->response.status != 409) return {};
  auto header = answered->response.header("Retry-After");
  int seconds = 0;
  auto parsed =
      std::from_chars(header.data(), header.data() + header.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 1) return {};
  return std::chrono::seconds(seconds);
}

/// Sends a change, and again until `deadline` while workers may still report.
/// Prints each response that says so to stderr, but for the last one.
auto send_until(operator_client& client, const http_request& request,
                time_point deadline) -> exchange_result {
  boost::asio::thread_pool pool(1);
  boost::asio::steady_timer timer(pool);
  while (true) {
    auto result = client.send(request, true);
    auto delay = retry_delay(result);
    auto now = steady_now();
    if (!delay || now >= deadline) return result;
    std::cerr << "waiting for workers: "
              << std::get<exchange_completed>(result).response.body << "\n";
    timer.expires_after(std::min<milliseconds>(*delay, deadline - now));
    timer.wait();
  }
}

/// Sends one change of a file; updates `version` when the change is accepted.
/// Waits until `deadline` for workers that have not reported yet.
auto send_change(operator_client& client, std::string_view method,
                 std::string_view name, std::string_view body,
                 time_point deadline, std::uint64_t& version) -> exit_code {
  http_request request;
  request.method = method;
  request.target = "/v1/config/files/";
  request.target += name;
  request.body = body;
  request.headers = {{"If-Match", std::to_string(version)},
                     {"Change-Id", generate_change_id()}};
  auto result = send_until(client, request, deadline);
  auto code = report_failure(result);
  if (code != exit_code::done) return code;
  const auto& accepted = std::get<exchange_completed>(result);
  version = json::parse(accepted.response.body)
                .at("version")
                .to_number<std::uint64_t>();
  std::cout << method << " " << name << ": version " << version << "\n";
  return code;
}

auto push_config(operator_client& client, arguments args) -> exit_code {
  auto desired = read_valid_directory(args[0]);
  auto wait = absl::GetFlag(FLAGS_wait);
  auto deadline = steady_now();
  if (wait.enabled) deadline += wait.limit.value_or(default_push_wait);
  std::uint64_t version = 0;
  auto current = fetch_active_files(client, version);
  for (const auto& [name, body] : current) {
    if (desired.contains(name)) continue;
    auto code = send_change(client, "DELETE", name, "", deadline, version);
    if (code != exit_code::done) return code;
  }
  for (const auto& [name, body] : desired) {
    auto it = current.find(name);
    if (it != current.end() && it->second == body) continue;
    auto code = send_change(client, "PUT", name, body, deadline, version);
    if (code != exit_code::done) return code;
  }
  std::cout << "in force: version " << version << "\n";
  return exit_code::done;
}

auto diff_config(operator_client& client, arguments args) -> exit_code {
  auto desired = read_directory(args[0]);
  std::uint64_t version = 0;
  auto current = fetch_active_files(client, version);
  bool is_identical = true;
  for (const auto& [name, body] : desired) {
    auto it = current.find(name);
    if (it != current.end() && it->second == body) continue;
    std::cout << (it == current.end() ? "only in the folder: " : "differs: ")
              << name << "\n";
    is_identical = false;
  }
  for (const auto& [name, body] : current) {
    if (desired.contains(name)) continue;
    std::cout << "only in force: " << name << "\n";
    is_identical = false;
  }
  std::cout << "version in force: " << version << "\n";
  return is_identical ? exit_code::done : exit_code::refused;
}

auto show_config(operator_client& client, arguments) -> exit_code {
  auto value = client.document("/v1/config");
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << json::serialize(value) << "\n";
    return exit_code::done;
  }
  std::cout << "# version " << value.at("version") << "\n";
  for (const auto& [name, body] : value.at("files").as_object()) {
    std::cout << "\n# --- " << std::string_view(name) << "\n" << as_text(body);
  }
  return exit_code::done;
}

void print_job(const json::value& job) {
  print_rows(json::array{job}, {"job", "customer", "key", "state", "attempt",
                                "started", "ended", "ran_on", "reason"});
}

auto wait_for_job(operator_client& client, std::string_view id) -> exit_code {
  boost::asio::thread_pool pool(1);
  boost::asio::steady_timer timer(pool);
  bool is_terminal = ::isatty(STDERR_FILENO) != 0;
  while (true) {
    auto job = client.document("/v1/jobs/" + std::string(id));
    auto state = as_text(job.at("state"));
    if (is_terminal) std::cerr << "\rjob " << id << ": " << state << "      ";
    bool has_ended = state == "done" || state == "failed" ||
                     state == "cancelled" || state == "refused";
    if (has_ended) {
      if (is_terminal) std::cerr << "\n";
      if (absl::GetFlag(FLAGS_json)) {
        std::cout << json::serialize(job) << "\n";
      } else {
        print_job(job);
      }
      return state == "done" ? exit_code::done : exit_code::refused;
    }
    timer.expires_after(wait_interval);
    timer.wait();
  }
}

auto submit_job(operator_client& client, arguments args) -> exit_code {
  auto wait = absl::GetFlag(FLAGS_wait);
  if (wait.limit) {
    exit_with_flag_error("wait", "job submit waits without a time limit");
  }
  http_request request;
  request.method = "POST";
  request.target = "/v1/jobs";
  request.body = read_text(args[0]);
  auto result = client.send(request, true);
  auto code = report_failure(result);
  if (code != exit_code::done) return code;
  const auto& body = std::get<exchange_completed>(result).response.body;
  auto id = as_text(json::parse(body).at("job"));
  if (wait.enabled) return wait_for_job(client, id);
  std::cout << (absl::GetFlag(FLAGS_json) ? body : "job " + id) << "\n";
  return code;
}

auto show_job(operator_client& client, arguments args) -> exit_code {
  auto job = client.document("/v1/jobs/" + args[0]);
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << json::serialize(job) << "\n";
    return exit_code::done;
  }
  print_job(job);
  print_rows(job.at("assignments").as_array(),
             {"worker", "accelerators", "processors", "memory_mb"});
  return exit_code::done;
}

auto list_jobs(operator_client& client, arguments) -> exit_code {
  auto target = "/v1/jobs?customer=" + absl::GetFlag(FLAGS_customer) +
                "&state=" + absl::GetFlag(FLAGS_state);
  return print_list(client, target, "jobs",
                    {"job", "customer", "key", "state", "attempt", "reason"});
}

auto cancel_job(operator_client& client, arguments args) -> exit_code {
  http_request request;
  request.method = "DELETE";
  request.target = "/v1/jobs/" + args[0];
  auto result = client.send(request, true);
  auto code = report_failure(result);
  if (code == exit_code::done) {
    std::cout << std::get<exchange_completed>(result).response.body << "\n";
  }
  return code;
}

auto put_or_delete(operator_client& client, std::string_view target,
                   bool remove, std::string_view body) -> exit_code {
  http_request request;
  request.method = remove ? "DELETE" : "PUT";
  request.target = target;
  request.body = body;
  auto result = client.send(request, true);
  auto code = report_failure(result);
  if (code == exit_code::done) std::cout << "accepted\n";
  return code;
}

auto print_state(operator_client&, arguments args) -> exit_code {
  if (!is_address(args[0]))
    exit_with_message(exit_code::bad_usage, "expected ip:port");
  operator_client process_client({args[0]});
  std::cout << json::serialize(process_client.document("/state")) << "\n";
  return exit_code::done;
}

auto commands() -> std::vector<ctl_command> {
  return {
      {"config check", 1, "DIR: check a folder without sending it",
       [](auto&, arguments args) {
         read_valid_directory(args[0]);
         std::cout << "the configuration is valid\n";
         return exit_code::done;
       }},
      {"config push", 1,
       "DIR: put a folder in force; --wait[=DURATION] for late workers",
       push_config},
      {"config show", 0, "print the files in force", show_config},
      {"config diff", 1, "DIR: compare a folder with the files in force",
       diff_config},
      {"config status", 0, "the version that each process has in force",
       [](auto& client, arguments) {
         return print_list(client, "/v1/config/in-force", "processes",
                           {"process", "data_centre", "version", "age_ms"});
       }},
      {"config history", 0, "the latest changes, newest first",
       [](auto& client, arguments) {
         return print_list(client, "/v1/config", "history",
                           {"version", "file", "at", "change_id"});
       }},
      {"job submit", 1, "FILE: submit a job (JSON); --wait until it ends",
       submit_job},
      {"job show", 1, "ID: one job", show_job},
      {"job list", 0, "jobs, newest first; --customer, --state", list_jobs},
      {"job cancel", 1, "ID: cancel a job", cancel_job},
      {"customers", 0, "customers and the homes of their guarantees",
       [](auto& client, arguments) {
         return print_list(client, "/v1/customers", "customers",
                           {"customer", "share", "waiting", "running",
                            "accelerators", "borrowed"});
       }},
      {"workers", 0, "workers",
       [](auto& client, arguments) {
         return print_list(client, "/v1/workers", "workers",
                           {"name", "data_centre", "rack", "accelerators",
                            "accelerators_in_use", "condition"});
       }},
      {"endpoints", 0, "endpoints in the entry's table",
       [](auto& client, arguments) {
         return print_list(client, "/v1/endpoints", "endpoints",
                           {"name", "service", "address", "data_centre",
                            "slots", "connections", "state"});
       }},
      {"drain", 1, "WORKER: assign no new jobs; --undo returns it to service",
       [](auto& client, arguments args) {
         return put_or_delete(client, "/v1/drains/" + args[0],
                              absl::GetFlag(FLAGS_undo), "");
       }},
      {"evacuation list", 0,
       "data centres under evacuation and the tasks still there; --fleet",
       [](auto& client, arguments) {
         return print_list(
             client, "/v1/evacuations", "evacuations",
             {"data_centre", "since_ms", "tasks", "long_running"});
       }},
      {"evacuation begin", 1,
       "DATA_CENTRE: start nothing there until it is withdrawn; --fleet",
       [](auto& client, arguments args) {
         return put_or_delete(client, "/v1/evacuations/" + args[0], false, "");
       }},
      {"evacuation withdraw", 1, "DATA_CENTRE: take it back; --fleet",
       [](auto& client, arguments args) {
         return put_or_delete(client, "/v1/evacuations/" + args[0], true, "");
       }},
      {"replica add", 2, "NUMBER ip:port: add a control replica",
       [](auto& client, arguments args) {
         return put_or_delete(client, "/v1/replicas/" + args[0], false,
                              args[1]);
       }},
      {"replica remove", 1, "NUMBER: remove a control replica",
       [](auto& client, arguments args) {
         return put_or_delete(client, "/v1/replicas/" + args[0], true, "");
       }},
      {"explain", 2, "ID FOLDER: the log lines of a request in a folder",
       print_request_trace},
      {"causes", 1, "FOLDER: why work was discarded and steps waited",
       print_log_summary},
      {"dump", 1, "ip:port: the state of one process", print_state}};
}

auto usage() -> std::string {
  std::string text = "parsleyctl [--entry ip:port] COMMAND\n\n";
  for (const auto& command : commands()) {
    text += "  " + std::string(command.name) + " " + std::string(command.help) +
            "\n";
  }
  return text + "\nExit status: 0 done, 1 refused, 2 bad usage, 3 unknown.\n";
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto args = parse_command_line(argc, argv, usage());
  for (const auto& command : commands()) {
    auto space = command.name.find(' ');
    bool has_two_words = space != std::string_view::npos;
    std::size_t name_word_count = has_two_words ? 2 : 1;
    bool is_match =
        args.size() >= name_word_count &&
        args[0] == command.name.substr(0, space) &&
        (!has_two_words || args[1] == command.name.substr(space + 1));
    if (!is_match) continue;
    if (args.size() != name_word_count + command.argument_count) {
      exit_with_message(exit_code::bad_usage,
                        "usage: parsleyctl " + std::string(command.name) + " " +
                            std::string(command.help));
    }
    bool is_local = command.name == "config check" || command.name == "dump" ||
                    command.name == "explain" || command.name == "causes";
    bool is_fleet_command = command.name.starts_with("evacuation ");
    auto addresses =
        absl::GetFlag(is_fleet_command ? FLAGS_fleet : FLAGS_entry).addresses;
    if (addresses.empty() && !is_local) {
      exit_with_message(exit_code::bad_usage,
                        std::string(is_fleet_command ? "--fleet" : "--entry") +
                            " ip:port is required");
    }
    operator_client client(addresses);
    return static_cast<int>(
        command.run(client, arguments(args).subspan(name_word_count)));
  }
  exit_with_message(exit_code::bad_usage, usage());
}
