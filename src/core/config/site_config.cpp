#include "core/config/site_config.h"

#include <initializer_list>
#include <utility>

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;

constexpr std::int64_t max_gang_accelerators = 4096;
constexpr std::int64_t max_guarantee_count = 4096;
constexpr std::int64_t max_seconds = 604'800;  // one week
constexpr std::int64_t max_deadline_ms = 3'600'000;

/// Reads the values of one table and checks their types and ranges.
class table_reader {
 public:
  table_reader(const config_table& table, std::string path)
      : table_(table), path_(std::move(path)) {}

  /// Fails if the table has a key that is not in `known`.
  auto check_keys(std::initializer_list<std::string_view> known)
      -> leaf::result<void> {
    for (const auto& [key, value] : table_) {
      bool found = false;
      for (auto known_key : known) found = found || known_key == key;
      if (!found) return fail(key, value, "unknown key");
    }
    return {};
  }

  auto integer(std::string_view key, std::int64_t low, std::int64_t high,
               std::int64_t fallback) -> leaf::result<std::int64_t> {
    const auto* value = find(key);
    if (value == nullptr) return fallback;
    const auto* number = std::get_if<std::int64_t>(&value->data);
    if (number == nullptr) return fail(key, *value, "must be an integer");
    if (*number < low || *number > high) {
      return fail(key, *value,
                  "must be from " + std::to_string(low) + " to " +
                      std::to_string(high));
    }
    return *number;
  }

  auto number(std::string_view key, double low, double high, double fallback)
      -> leaf::result<double> {
    const auto* value = find(key);
    if (value == nullptr) return fallback;
    double number = 0;
    if (const auto* real = std::get_if<double>(&value->data)) {
      number = *real;
    } else if (const auto* whole = std::get_if<std::int64_t>(&value->data)) {
      number = static_cast<double>(*whole);
    } else {
      return fail(key, *value, "must be a number");
    }
    if (!(number >= low && number <= high)) {
      return fail(key, *value, "is out of range");
    }
    return number;
  }

  auto text(std::string_view key, std::string_view fallback)
      -> leaf::result<std::string> {
    const auto* value = find(key);
    if (value == nullptr) return std::string(fallback);
    const auto* text = std::get_if<std::string>(&value->data);
    if (text == nullptr) return fail(key, *value, "must be a string");
    return *text;
  }

  auto strings(std::string_view key) -> leaf::result<std::vector<std::string>> {
    std::vector<std::string> strings;
    const auto* value = find(key);
    if (value == nullptr) return strings;
    const auto* array = std::get_if<config_array>(&value->data);
    if (array == nullptr) return fail(key, *value, "must be an array");
    for (const auto& item : *array) {
      const auto* text = std::get_if<std::string>(&item.data);
      if (text == nullptr) return fail(key, item, "must contain only strings");
      strings.push_back(*text);
    }
    return strings;
  }

  /// Calls `parse` for each subtable below `key`.
  template <typename T, typename Parse>
  auto tables(std::string_view key, Parse parse)
      -> leaf::result<std::map<std::string, T>> {
    std::map<std::string, T> parsed;
    const auto* value = find(key);
    if (value == nullptr) return parsed;
    const auto* outer = std::get_if<config_table>(&value->data);
    if (outer == nullptr) return fail(key, *value, "must be a table");
    for (const auto& [name, entry] : *outer) {
      const auto* inner = std::get_if<config_table>(&entry.data);
      auto path = child(key) + "." + name;
      if (inner == nullptr) {
        return leaf::new_error(
            config_error{entry.where, path, "must be a table"});
      }
      BOOST_LEAF_AUTO(item, parse(table_reader(*inner, path)));
      parsed.emplace(name, std::move(item));
    }
    return parsed;
  }

  auto find(std::string_view key) const -> const config_value* {
    auto it = table_.find(std::string(key));
    return it == table_.end() ? nullptr : &it->second;
  }

  auto fail(std::string_view key, const config_value& value,
            std::string_view detail) const -> leaf::error_id {
    return leaf::new_error(
        config_error{value.where, child(key), std::string(detail)});
  }

  auto path() const -> const std::string& { return path_; }

 private:
  auto child(std::string_view key) const -> std::string {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }

  const config_table& table_;
  std::string path_;
};

auto parse_guarantee(table_reader reader) -> leaf::result<guarantee> {
  BOOST_LEAF_CHECK(reader.check_keys({"accelerators", "adjacency", "count"}));
  guarantee parsed;
  BOOST_LEAF_AUTO(accelerators,
                  reader.integer("accelerators", 1, max_gang_accelerators, 0));
  if (accelerators == 0) {
    return leaf::new_error(
        config_error{{}, reader.path() + ".accelerators", "is required"});
  }
  BOOST_LEAF_AUTO(name, reader.text("adjacency", "worker"));
  auto within = parse_adjacency(name);
  if (!within) {
    return reader.fail("adjacency", *reader.find("adjacency"),
                       "must be worker, rack or data_centre");
  }
  BOOST_LEAF_AUTO(count, reader.integer("count", 1, max_guarantee_count, 1));
  parsed.shape = {static_cast<std::uint32_t>(accelerators), *within};
  parsed.count = static_cast<std::uint32_t>(count);
  return parsed;
}

auto parse_customer(table_reader reader) -> leaf::result<customer_config> {
  BOOST_LEAF_CHECK(reader.check_keys({"share", "guarantees"}));
  customer_config parsed;
  BOOST_LEAF_ASSIGN(parsed.share, reader.number("share", 0.001, 1000, 1));
  BOOST_LEAF_ASSIGN(parsed.guarantees,
                    reader.tables<guarantee>("guarantees", parse_guarantee));
  return parsed;
}

auto parse_service(table_reader reader) -> leaf::result<service_config> {
  BOOST_LEAF_CHECK(reader.check_keys({"repeatable", "deadline_ms"}));
  service_config parsed;
  BOOST_LEAF_ASSIGN(parsed.repeatable, reader.strings("repeatable"));
  BOOST_LEAF_AUTO(deadline, reader.integer("deadline_ms", 1, max_deadline_ms,
                                           parsed.deadline.count()));
  parsed.deadline = milliseconds(deadline);
  return parsed;
}

auto parse_policy(table_reader reader) -> leaf::result<policy_config> {
  BOOST_LEAF_CHECK(reader.check_keys(
      {"completion_time_weight", "fragmentation_weight", "large_job_wait_s",
       "checkpoint_grace_s", "max_attempts", "quarantine_failures",
       "quarantine_s"}));
  policy_config parsed;
  BOOST_LEAF_ASSIGN(parsed.completion_time_weight,
                    reader.number("completion_time_weight", 0, 1,
                                  parsed.completion_time_weight));
  BOOST_LEAF_ASSIGN(
      parsed.fragmentation_weight,
      reader.number("fragmentation_weight", 0, 1, parsed.fragmentation_weight));
  auto seconds = [&](std::string_view key,
                     std::chrono::seconds& into) -> leaf::result<void> {
    BOOST_LEAF_AUTO(value, reader.integer(key, 1, max_seconds, into.count()));
    into = std::chrono::seconds(value);
    return {};
  };
  BOOST_LEAF_CHECK(seconds("large_job_wait_s", parsed.large_job_wait));
  BOOST_LEAF_CHECK(seconds("checkpoint_grace_s", parsed.checkpoint_grace));
  BOOST_LEAF_CHECK(seconds("quarantine_s", parsed.quarantine));
  BOOST_LEAF_AUTO(attempts,
                  reader.integer("max_attempts", 1, 100, parsed.max_attempts));
  BOOST_LEAF_AUTO(failures, reader.integer("quarantine_failures", 1, 100,
                                           parsed.quarantine_failures));
  parsed.max_attempts = static_cast<std::uint32_t>(attempts);
  parsed.quarantine_failures = static_cast<std::uint32_t>(failures);
  return parsed;
}

}  // namespace

auto parse_site_config(const config_table& root) -> leaf::result<site_config> {
  table_reader reader(root, "");
  BOOST_LEAF_CHECK(reader.check_keys({"customers", "services", "policy"}));
  site_config parsed;
  BOOST_LEAF_ASSIGN(parsed.customers, reader.tables<customer_config>(
                                          "customers", parse_customer));
  BOOST_LEAF_ASSIGN(parsed.services,
                    reader.tables<service_config>("services", parse_service));
  if (const auto* policy = reader.find("policy")) {
    const auto* table = std::get_if<config_table>(&policy->data);
    if (table == nullptr)
      return reader.fail("policy", *policy, "must be a table");
    BOOST_LEAF_ASSIGN(parsed.policy,
                      parse_policy(table_reader(*table, "policy")));
  }
  return parsed;
}

}  // namespace parsleyledge
