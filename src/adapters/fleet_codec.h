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

/// A command as the opaque payload of a log entry.
auto encode(const command& what) -> std::string;
auto decode_command(std::string_view bytes) -> std::optional<command>;

/// The tables as the bytes of a snapshot.
auto encode(const fleet_tables& tables) -> std::string;
auto decode_tables(std::string_view bytes) -> std::optional<fleet_tables>;

/// Requests and replies between the processes.
void write(const request& from, wire::fleet_request& to);
auto read(const wire::fleet_request& from) -> std::optional<request>;
void write(const reply& from, wire::fleet_reply& to);
auto read(const wire::fleet_reply& from) -> reply;

}  // namespace parsleyledge::fleet
