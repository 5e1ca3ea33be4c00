#pragma once

#include <absl/strings/string_view.h>

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// A checked IP address and port, as text; empty if the flag is not set.
struct socket_address {
  std::string text;

  auto operator<=>(const socket_address&) const = default;
};

/// Addresses, written as a comma-separated list.
struct address_list {
  std::vector<std::string> addresses;
};

/// A replica's number and peer address, written `1=ip:port`.
struct numbered_address {
  std::uint32_t number = 0;
  std::string address;
};

/// Numbered addresses, written as a comma-separated list.
struct numbered_address_list {
  std::vector<numbered_address> items;
};

/// Whether and for how long a command waits: the flag may stand alone or have a
/// duration such as 90s, which is above 0 and at most a day.
struct wait_option {
  bool enabled = false;
  std::optional<std::chrono::milliseconds> limit;
};

/// Functions that Abseil calls to parse and print flags of these types.
auto AbslParseFlag(absl::string_view text, socket_address* result,
                   std::string* error) -> bool;
auto AbslUnparseFlag(const socket_address& value) -> std::string;
auto AbslParseFlag(absl::string_view text, address_list* result,
                   std::string* error) -> bool;
auto AbslUnparseFlag(const address_list& value) -> std::string;
auto AbslParseFlag(absl::string_view text, numbered_address_list* result,
                   std::string* error) -> bool;
auto AbslUnparseFlag(const numbered_address_list& value) -> std::string;
auto AbslParseFlag(absl::string_view text, wait_option* result,
                   std::string* error) -> bool;
auto AbslUnparseFlag(const wait_option& value) -> std::string;

/// Sets every flag from its environment variable PARSLEYLEDGE_NAME, then from
/// the command line. Returns the positional arguments. Ends the process with
/// status 2, after printing the invalid flag on stderr, or with 0 after --help
/// or a successful --check.
auto parse_command_line(int argc, char** argv, std::string_view usage,
                        std::span<const std::string_view> required = {})
    -> std::vector<std::string>;

/// Ends the process with status 2 after printing the flag and the error on
/// stderr.
[[noreturn]] void exit_with_flag_error(std::string_view flag,
                                       std::string_view detail);

/// Splits an ip:port that `is_address` accepts into host and port.
auto split_address(std::string_view address)
    -> std::pair<std::string, std::uint16_t>;

/// Whether the text is an IP address and a port, separated by a colon.
auto is_address(std::string_view text) -> bool;

/// Whether the text is a numeric IPv4 address and a port from 1 to 65535,
/// separated by a colon.
auto is_ipv4_address(std::string_view text) -> bool;

}  // namespace parsleyledge
