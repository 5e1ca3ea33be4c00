#include "adapters/json.h"

#include <array>
#include <boost/json.hpp>
#include <ctime>
#include <limits>

namespace parsleyledge {

namespace {

namespace json = boost::json;

constexpr std::uint32_t max_worker_accelerators = 64;
constexpr std::uint32_t max_gang_accelerators = 4096;
constexpr std::uint64_t max_integer = std::uint64_t{1} << 40;
constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_payload_bytes = 64U << 10;

auto bad_request(std::string detail) -> problem {
  return {400, "Bad request", std::move(detail), run_outcome::not_run};
}

/// Reads the members of one JSON object and keeps the first error.
class object_reader {
 public:
  explicit object_reader(const json::object& object, std::string path = "")
      : object_(object), path_(std::move(path)) {}

  auto text(std::string_view key, bool required = true) -> std::string {
    const auto* value = object_.if_contains(key);
    if (value == nullptr)
      return report_if_required(key, required), std::string();
    const auto* string = value->if_string();
    if (string == nullptr)
      return report_invalid(key, "a string"), std::string();
    if (required && (string->empty() || string->size() > max_name_bytes)) {
      report_invalid(key, "1 to 200 bytes");
    }
    return std::string(*string);
  }

  auto number(std::string_view key, std::uint64_t low, std::uint64_t high,
              std::uint64_t fallback, bool required = false) -> std::uint64_t {
    const auto* value = object_.if_contains(key);
    if (value == nullptr) return report_if_required(key, required), fallback;
    json::error_code ec;
    auto n = value->is_number() ? value->to_number<std::uint64_t>(ec) : 0;
    if (!value->is_number() || ec || n < low || n > high) {
      report_invalid(key, "a whole number from " + std::to_string(low) +
                              " to " + std::to_string(high));
    }
    return n;
  }

  auto seconds(std::string_view key) -> milliseconds {
    const auto* value = object_.if_contains(key);
    if (value == nullptr) return report_if_required(key, true), milliseconds(0);
    json::error_code ec;
    auto s = value->is_number() ? value->to_number<double>(ec) : -1;
    if (ec || !(s > 0 && s <= 1e8)) {
      report_invalid(key, "a number of seconds above 0");
      return milliseconds(0);
    }
    return milliseconds(static_cast<std::int64_t>(s * 1000));
  }

  auto flag(std::string_view key, bool fallback) -> bool {
    const auto* value = object_.if_contains(key);
    if (value == nullptr) return fallback;
    if (!value->is_bool())
      return report_invalid(key, "true or false"), fallback;
    return value->get_bool();
  }

  auto object(std::string_view key) -> const json::object* {
    const auto* value = object_.if_contains(key);
    if (value == nullptr) return report_if_required(key, true), nullptr;
    if (!value->is_object()) return report_invalid(key, "an object"), nullptr;
    return &value->get_object();
  }

  auto array(std::string_view key) -> const json::array* {
    const auto* value = object_.if_contains(key);
    if (value == nullptr) return nullptr;
    if (!value->is_array()) return report_invalid(key, "an array"), nullptr;
    return &value->get_array();
  }

  void reject_keys_except(std::initializer_list<std::string_view> keys) {
    for (const auto& [key, value] : object_) {
      if (std::find(keys.begin(), keys.end(), std::string_view(key)) ==
          keys.end()) {
        record_error(path_ + std::string(key) + ": unknown key");
      }
    }
  }

  void report_invalid(std::string_view key, std::string_view expected) {
    record_error(path_ + std::string(key) + ": must be " +
                 std::string(expected));
  }

  void adopt_error(const object_reader& inner) {
    if (!inner.error_.empty()) record_error(inner.error_);
  }

  auto error() const -> const std::string& { return error_; }

 private:
  void report_if_required(std::string_view key, bool required) {
    if (required) record_error(path_ + std::string(key) + ": is required");
  }

  void record_error(std::string text) {
    if (error_.empty()) error_ = std::move(text);
  }

  const json::object& object_;
  std::string path_;
  std::string error_;
};

auto parse_object(std::string_view body) -> result_or_problem<json::value> {
  json::error_code ec;
  auto value = json::parse(body, ec);
  if (ec) return bad_request("the body is no valid JSON: " + ec.message());
  if (!value.is_object()) return bad_request("the body must be an object");
  return value;
}

/// Parses the body as an object and converts it to T by `read`.
template <typename T, typename Read>
auto parse_body(std::string_view body, Read read) -> result_or_problem<T> {
  auto parsed = parse_object(body);
  if (auto* error = std::get_if<problem>(&parsed)) return *error;
  object_reader in(std::get<json::value>(parsed).get_object());
  T result = read(in);
  if (!in.error().empty()) return bad_request(in.error());
  return result;
}

auto parse_report(const json::value& value, object_reader& outer)
    -> task_report {
  task_report report;
  if (!value.is_object()) {
    outer.report_invalid("reports", "an array of objects");
    return report;
  }
  object_reader in(value.get_object(), "reports.");
  report.task.job = {in.number("job", 1, max_integer, 0, true)};
  report.task.attempt =
      static_cast<std::uint32_t>(in.number("attempt", 0, 1u << 31, 0, true));
  report.task.fence = {in.number("fence", 0, ~0ULL >> 1, 0)};
  auto state = parse_task_state(in.text("state"));
  if (state) {
    report.state = *state;
  } else {
    in.report_invalid("state", "the name of a task state");
  }
  report.reason = in.text("reason", false);
  if (const auto* usage = value.get_object().if_contains("usage")) {
    if (usage->is_object()) {
      object_reader usage_reader(usage->get_object(), "reports.usage.");
      report.processors = static_cast<std::uint32_t>(
          usage_reader.number("processors", 0, 1u << 20, 0));
      report.memory_mb = usage_reader.number("memory_mb", 0, max_integer, 0);
      in.adopt_error(usage_reader);
    } else {
      in.report_invalid("usage", "an object");
    }
  }
  outer.adopt_error(in);
  return report;
}

auto assignments_json(std::span<const assignment> cells) -> json::array {
  json::array out;
  for (const auto& a : cells) {
    json::array accelerators;
    for (std::uint32_t i = 0; i < max_worker_accelerators; ++i) {
      if ((a.accelerators >> i & 1) != 0) accelerators.push_back(i);
    }
    out.push_back(json::object{{"worker", a.worker},
                               {"accelerators", std::move(accelerators)},
                               {"processors", a.processors},
                               {"memory_mb", a.memory_mb}});
  }
  return out;
}

auto condition_name(worker_condition condition) -> std::string_view {
  switch (condition) {
    case worker_condition::ready:
      return "ready";
    case worker_condition::quarantined:
      return "quarantined";
    case worker_condition::draining:
      return "draining";
    case worker_condition::lost:
      return "lost";
  }
  return "unknown";
}

}  // namespace

auto format_time(time_point at) -> std::string {
  if (at == time_point{}) return {};
  auto ms = to_ms(at);
  std::time_t seconds = ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + n, text.size() - n, ".%03dZ",
                static_cast<int>(ms % 1000));
  return text.data();
}

auto parse_job(std::string_view body) -> result_or_problem<job_spec> {
  return parse_body<job_spec>(body, [](object_reader& in) {
    in.reject_keys_except({"key", "customer", "gang", "processors", "memory_mb",
                           "run_time_s", "urgency", "borrow", "checkpoint",
                           "payload"});
    job_spec spec;
    spec.key = in.text("key");
    spec.customer = in.text("customer");
    if (const auto* gang = in.object("gang")) {
      object_reader gang_reader(*gang, "gang.");
      gang_reader.reject_keys_except({"accelerators", "adjacency"});
      spec.gang.accelerators = static_cast<std::uint32_t>(gang_reader.number(
          "accelerators", 0, max_gang_accelerators, 0, true));
      auto name = gang_reader.text("adjacency", false);
      auto adjacency = parse_adjacency(name.empty() ? "worker" : name);
      if (adjacency) {
        spec.gang.within = *adjacency;
      } else {
        gang_reader.report_invalid("adjacency", "worker, rack or data_centre");
      }
      in.adopt_error(gang_reader);
    }
    spec.processors =
        static_cast<std::uint32_t>(in.number("processors", 0, 1u << 24, 0));
    spec.memory_mb = in.number("memory_mb", 0, max_integer, 0);
    spec.run_time = in.seconds("run_time_s");
    auto urgency_name = in.text("urgency", false);
    if (urgency_name == "urgent") {
      spec.urgency = job_urgency::urgent;
    } else if (!urgency_name.empty() && urgency_name != "normal") {
      in.report_invalid("urgency", "normal or urgent");
    }
    spec.borrow = in.flag("borrow", true);
    spec.checkpoint = in.flag("checkpoint", false);
    spec.payload = in.text("payload", false);
    if (spec.payload.size() > max_payload_bytes) {
      in.report_invalid("payload", "at most 64 KiB");
    }
    return spec;
  });
}

auto parse_cancel(std::string_view body) -> result_or_problem<cancel_jobs> {
  return parse_body<cancel_jobs>(body, [](object_reader& in) {
    in.reject_keys_except({"customer", "keys"});
    cancel_jobs cancellation;
    cancellation.customer = in.text("customer");
    const auto* keys = in.array("keys");
    if (keys == nullptr) in.report_invalid("keys", "an array of strings");
    for (std::size_t i = 0; keys != nullptr && i < keys->size(); ++i) {
      if (const auto* key = (*keys)[i].if_string()) {
        cancellation.keys.emplace_back(*key);
      } else {
        in.report_invalid("keys", "an array of strings");
      }
    }
    return cancellation;
  });
}

auto parse_endpoint(std::string_view body)
    -> result_or_problem<endpoint_record> {
  return parse_body<endpoint_record>(body, [](object_reader& in) {
    in.reject_keys_except({"name", "incarnation", "service", "address",
                           "data_centre", "slots", "connections", "state",
                           "ttl_ms"});
    endpoint_record record;
    record.name = in.text("name");
    record.incarnation = in.number("incarnation", 0, ~0ULL >> 1, 0, true);
    record.service = in.text("service");
    record.address = in.text("address");
    record.data_centre = in.text("data_centre", false);
    record.slots =
        static_cast<std::uint32_t>(in.number("slots", 1, 100'000, 1, true));
    record.connections = static_cast<std::uint32_t>(
        in.number("connections", 1, 100'000, record.slots));
    auto state = in.text("state", false);
    if (state == "leaving") {
      record.state = endpoint_state::draining;
    } else if (!state.empty() && state != "ready") {
      in.report_invalid("state", "ready or leaving");
    }
    record.ttl = milliseconds(in.number("ttl_ms", 100, 600'000, 3000));
    return record;
  });
}

auto parse_worker(std::string_view body)
    -> result_or_problem<worker_announcement> {
  return parse_body<worker_announcement>(body, [](object_reader& in) {
    in.reject_keys_except({"name", "incarnation", "address", "data_centre",
                           "rack", "processors", "memory_mb", "accelerators",
                           "accelerator_kind", "reports"});
    worker_announcement announcement;
    auto& w = announcement.self;
    w.name = in.text("name");
    w.incarnation = in.number("incarnation", 0, ~0ULL >> 1, 0, true);
    w.address = in.text("address");
    w.data_centre = in.text("data_centre");
    w.rack = in.text("rack");
    w.processors = static_cast<std::uint32_t>(
        in.number("processors", 1, 1u << 20, 1, true));
    w.memory_mb = in.number("memory_mb", 1, max_integer, 1, true);
    w.accelerators = static_cast<std::uint32_t>(
        in.number("accelerators", 0, max_worker_accelerators, 0, true));
    w.accelerator_kind = in.text("accelerator_kind", false);
    if (const auto* reports = in.array("reports")) {
      for (const auto& report : *reports) {
        announcement.reports.push_back(parse_report(report, in));
      }
    }
    return announcement;
  });
}

auto parse_task_reports(std::string_view body)
    -> result_or_problem<std::vector<task_report>> {
  return parse_body<std::vector<task_report>>(body, [](object_reader& in) {
    std::vector<task_report> tasks;
    if (const auto* reports = in.array("tasks")) {
      for (const auto& report : *reports) {
        tasks.push_back(parse_report(report, in));
      }
    }
    return tasks;
  });
}

auto to_json(const job_record& job) -> json::object {
  const auto& spec = job.spec;
  json::object out{
      {"job", job.id.value},
      {"customer", spec.customer},
      {"key", spec.key},
      {"state", to_string(job.state)},
      {"reason", job.reason},
      {"gang", json::object{{"accelerators", spec.gang.accelerators},
                            {"adjacency", to_string(spec.gang.within)}}},
      {"urgency", spec.urgency == job_urgency::urgent ? "urgent" : "normal"},
      {"run_time_s", static_cast<double>(spec.run_time.count()) / 1000},
      {"attempt", job.attempt},
      {"reclaims", job.reclaims},
      {"submitted", format_time(job.submitted_at)},
      {"placed", format_time(job.placed_at)},
      {"started", format_time(job.started_at)},
      {"ended", format_time(job.ended_at)},
      {"ran_on", json::value_from(job.ran_on)},
      {"assignments", assignments_json(job.assignments)},
      {"reserved", assignments_json(job.reserved)}};
  if (job.claim) out["guarantee"] = job.claim->guarantee;
  return out;
}

auto to_json(const worker& w) -> json::object {
  return {{"name", w.name},
          {"incarnation", w.incarnation},
          {"address", w.address},
          {"data_centre", w.data_centre},
          {"rack", w.rack},
          {"accelerator_kind", w.accelerator_kind},
          {"accelerators", w.accelerators},
          {"processors", w.processors},
          {"memory_mb", w.memory_mb},
          {"condition", condition_name(w.condition)}};
}

auto to_json(const endpoint_record& record) -> json::object {
  return {
      {"name", record.name},
      {"incarnation", record.incarnation},
      {"sequence", record.sequence},
      {"service", record.service},
      {"address", record.address},
      {"data_centre", record.data_centre},
      {"slots", record.slots},
      {"connections", record.connections},
      {"state", record.state == endpoint_state::draining ? "leaving" : "ready"},
      {"ttl_ms", record.ttl.count()}};
}

auto to_json(const site_config& site) -> json::object {
  json::object customers;
  for (const auto& [name, customer] : site.customers) {
    json::object guarantees;
    for (const auto& [key, guarantee] : customer.guarantees) {
      guarantees[key] =
          json::object{{"accelerators", guarantee.shape.accelerators},
                       {"adjacency", to_string(guarantee.shape.within)},
                       {"count", guarantee.count}};
    }
    customers[name] = json::object{{"share", customer.share},
                                   {"guarantees", std::move(guarantees)}};
  }
  json::object services;
  for (const auto& [name, service] : site.services) {
    json::array repeatable;
    for (const auto& method : service.repeatable) {
      repeatable.emplace_back(method);
    }
    services[name] = json::object{{"repeatable", std::move(repeatable)},
                                  {"deadline_ms", service.deadline.count()}};
  }
  const auto& policy = site.policy;
  return {
      {"customers", std::move(customers)},
      {"services", std::move(services)},
      {"policy",
       json::object{{"completion_time_weight", policy.completion_time_weight},
                    {"fragmentation_weight", policy.fragmentation_weight},
                    {"large_job_wait_s", policy.large_job_wait.count()},
                    {"checkpoint_grace_s", policy.checkpoint_grace.count()},
                    {"max_attempts", policy.max_attempts},
                    {"quarantine_failures", policy.quarantine_failures},
                    {"quarantine_s", policy.quarantine.count()}}}};
}

auto to_json(const task_ref& task) -> json::object {
  return {{"job", task.job.value},
          {"attempt", task.attempt},
          {"fence", task.fence.value}};
}

auto to_json(const task_report& report) -> json::object {
  auto out = to_json(report.task);
  out["state"] = to_string(report.state);
  out["usage"] = json::object{{"processors", report.processors},
                              {"memory_mb", report.memory_mb}};
  if (!report.reason.empty()) out["reason"] = report.reason;
  return out;
}

auto to_json(const worker_call& call) -> json::object {
  auto out = to_json(call.task);
  if (call.verb == worker_verb::prepare) {
    out["accelerators"] = call.cells.accelerators;
    out["processors"] = call.cells.processors;
    out["memory_mb"] = call.cells.memory_mb;
    out["run_time_ms"] = call.run_time.count();
    out["payload"] = call.payload;
  }
  return out;
}

auto to_json(const lease_renewal& renewal) -> json::object {
  json::array tasks;
  for (const auto& task : renewal.tasks) tasks.push_back(to_json(task));
  return {{"ttl_ms", renewal.ttl.count()}, {"tasks", std::move(tasks)}};
}

}  // namespace parsleyledge
