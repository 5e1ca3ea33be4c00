#include "adapters/settings.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>

ABSL_FLAG(bool, check, false,
          "print the effective settings with their sources and exit");

namespace parsleyledge {

namespace {

constexpr std::string_view environment_prefix = "PARSLEYLEDGE_";
constexpr int usage_error_status = 2;
// More than the longest IPv6 address with a scope and a port.
constexpr std::size_t max_address_bytes = 100;
constexpr absl::Duration max_wait = absl::Hours(24);

/// Whether a flag may be set without a value, which sets it to "true".
auto may_stand_alone(const absl::CommandLineFlag& flag) -> bool {
  return flag.IsOfType<bool>() || flag.IsOfType<wait_option>();
}

auto program_flags() -> std::map<std::string, absl::CommandLineFlag*> {
  std::map<std::string, absl::CommandLineFlag*> flags;
  for (auto& [name, flag] : absl::GetAllFlags()) {
    auto file = flag->Filename();
    bool is_abseil_flag = file.find("absl") != std::string::npos;
    if (!is_abseil_flag) flags.emplace(std::string(name), flag);
  }
  return flags;
}

void set_flag(absl::CommandLineFlag& flag, std::string_view value,
              std::string_view source) {
  std::string error;
  if (flag.ParseFrom({value.data(), value.size()}, &error)) return;
  exit_with_flag_error(std::string(flag.Name()),
                       "invalid value \"" + std::string(value) + "\" from " +
                           std::string(source) +
                           (error.empty() ? "" : ": " + error));
}

void print_help(std::string_view usage) {
  std::cout << usage << "\n\n";
  for (const auto& [name, flag] : program_flags()) {
    std::cout << "  --" << name << " (" << flag->DefaultValue() << ")\n      "
              << flag->Help() << "\n";
  }
}

/// Parses a decimal port; 0 lets the system choose one for a listener.
auto parse_port(std::string_view text) -> std::optional<std::uint16_t> {
  std::uint16_t port = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return port;
}

}  // namespace

void exit_with_flag_error(std::string_view flag, std::string_view detail) {
  std::cerr << "--" << flag << ": " << detail << "\n";
  std::exit(usage_error_status);
}

auto is_address(std::string_view text) -> bool {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos || text.size() > max_address_bytes ||
      text.find('\0') != std::string_view::npos) {
    return false;
  }
  auto host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(host, ec);
  return !ec && parse_port(text.substr(colon + 1));
}

auto is_ipv4_address(std::string_view text) -> bool {
  if (!is_address(text)) return false;
  auto [host, port] = split_address(text);
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(host, ec);
  return !ec && port != 0;
}

auto split_address(std::string_view address)
    -> std::pair<std::string, std::uint16_t> {
  auto colon = address.rfind(':');
  auto host = address.substr(0, colon);
  if (host.starts_with('[')) host = host.substr(1, host.size() - 2);
  auto port = parse_port(address.substr(colon + 1));
  return {std::string(host), port.value_or(0)};
}

auto AbslParseFlag(absl::string_view text, socket_address* result,
                   std::string* error) -> bool {
  if (!text.empty() && !is_address({text.data(), text.size()})) {
    *error = "expected ip:port";
    return false;
  }
  result->text = std::string(text);
  return true;
}

auto AbslUnparseFlag(const socket_address& value) -> std::string {
  return value.text;
}

auto AbslParseFlag(absl::string_view text, address_list* result,
                   std::string* error) -> bool {
  result->addresses.clear();
  for (absl::string_view piece :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    std::string part(piece);
    if (!is_address(part)) {
      *error = "expected ip:port,... but found \"" + part + "\"";
      return false;
    }
    result->addresses.push_back(part);
  }
  return true;
}

auto AbslUnparseFlag(const address_list& value) -> std::string {
  std::string text;
  for (const auto& address : value.addresses) {
    if (!text.empty()) text += ',';
    text += address;
  }
  return text;
}

auto AbslParseFlag(absl::string_view text, numbered_address_list* result,
                   std::string* error) -> bool {
  result->items.clear();
  for (absl::string_view piece :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    std::string part(piece);
    auto equals = part.find('=');
    numbered_address item;
    bool is_valid = equals != std::string::npos &&
                    absl::SimpleAtoi(part.substr(0, equals), &item.number) &&
                    item.number > 0 && is_address(part.substr(equals + 1));
    if (!is_valid) {
      *error = "expected 1=ip:port,2=ip:port,... but found \"" + part + "\"";
      return false;
    }
    item.address = part.substr(equals + 1);
    result->items.push_back(std::move(item));
  }
  return true;
}

auto AbslUnparseFlag(const numbered_address_list& value) -> std::string {
  std::string text;
  for (const auto& item : value.items) {
    if (!text.empty()) text += ',';
    text += std::to_string(item.number) + "=" + item.address;
  }
  return text;
}

auto AbslParseFlag(absl::string_view text, wait_option* result,
                   std::string* error) -> bool {
  *result = {};
  if (text == "false") return true;
  result->enabled = true;
  if (text == "true") return true;
  absl::Duration limit;
  bool is_valid = absl::ParseDuration(text, &limit) &&
                  limit > absl::ZeroDuration() && limit <= max_wait;
  if (!is_valid) {
    *error = "expected a duration above 0 and up to 24h, such as 90s or 2m";
    return false;
  }
  result->limit = absl::ToChronoMilliseconds(limit);
  return true;
}

auto AbslUnparseFlag(const wait_option& value) -> std::string {
  if (!value.limit) return value.enabled ? "true" : "false";
  return absl::FormatDuration(absl::FromChrono(*value.limit));
}

auto parse_command_line(int argc, char** argv, std::string_view usage,
                        std::span<const std::string_view> required)
    -> std::vector<std::string> {
  std::map<std::string, std::string> sources;
  auto flags = program_flags();
  for (auto& [name, flag] : flags) {
    std::string variable(environment_prefix);
    variable += absl::AsciiStrToUpper(name);
    if (const char* value = std::getenv(variable.c_str())) {
      set_flag(*flag, value, variable);
      sources[name] = variable;
    }
  }
  std::vector<std::string> positional_arguments;
  for (int i = 1; i < argc; ++i) {
    std::string_view argument = argv[i];
    if (!argument.starts_with("--") || argument == "--") {
      positional_arguments.emplace_back(argument);
      continue;
    }
    argument.remove_prefix(2);
    if (argument == "help") {
      print_help(usage);
      std::exit(0);
    }
    auto equals = argument.find('=');
    std::string name(argument.substr(0, equals));
    auto it = flags.find(name);
    if (it == flags.end()) exit_with_flag_error(name, "unknown flag");
    std::string value;
    if (equals != std::string_view::npos) {
      value = argument.substr(equals + 1);
    } else if (may_stand_alone(*it->second)) {
      value = "true";
    } else if (i + 1 < argc) {
      value = argv[++i];
    } else {
      exit_with_flag_error(name, "requires a value");
    }
    set_flag(*it->second, value, "the command line");
    sources[name] = "command line";
  }
  for (auto name : required) {
    if (flags.at(std::string(name))->CurrentValue().empty()) {
      exit_with_flag_error(name, "is required");
    }
  }
  if (absl::GetFlag(FLAGS_check)) {
    for (const auto& [name, flag] : flags) {
      if (name == "check") continue;
      auto it = sources.find(name);
      std::cout << "--" << name << "=" << flag->CurrentValue() << "  ("
                << (it == sources.end() ? "default" : it->second) << ")\n";
    }
    std::exit(0);
  }
  return positional_arguments;
}

}  // namespace parsleyledge
