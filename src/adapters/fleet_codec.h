#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/fleet/command.h"
#include "core/fleet/request.h"

namespace parsleyledge::wire {
class fleet_reply;
class fleet_request;
}  // namespace parsleyledge::wire

namespace parsleyledge::fleet {

/// Encodes a command as the payload of a log entry. Decoding returns nothing if
/// the bytes are invalid or the command is of an unknown type.
auto encode(const command& from) -> std::string;
auto decode_command(std::string_view bytes) -> std::optional<command>;

/// Encodes the tables as the content of a snapshot. Decoding returns nothing if
/// the bytes are invalid.
auto encode(const fleet_tables& tables) -> std::string;
auto decode_tables(std::string_view bytes) -> std::optional<fleet_tables>;

/// Translates requests and replies between processes. Reading a request returns
/// nothing if its type is unknown.
void write(const request& from, wire::fleet_request& to);
auto read(const wire::fleet_request& from) -> std::optional<request>;
void write(const reply& from, wire::fleet_reply& to);
auto read(const wire::fleet_reply& from) -> reply;

}  // namespace parsleyledge::fleet
