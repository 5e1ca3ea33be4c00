#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/agreement/message.h"
#include "core/jobs/worker.h"
#include "core/membership/endpoint_record.h"
#include "core/state/command.h"
#include "core/state/command_result.h"
#include "core/state/state_tables.h"
#include "ports/platform.h"

namespace parsleyledge::wire {
class agreement_message;
class command;
class command_result;
class endpoint;
class log_entry;
class member;
class problem;
class worker_announcement;
}  // namespace parsleyledge::wire

namespace parsleyledge {

/// Translates between the core's types and the protobuf messages. Reading
/// returns nothing if the type of a command, result or message is unknown.
void write(const command& from, wire::command& to);
auto read(const wire::command& from) -> std::optional<command>;

void write(const command_result& from, wire::command_result& to);
auto read(const wire::command_result& from) -> std::optional<command_result>;

void write(const problem& from, wire::problem& to);
auto read(const wire::problem& from) -> problem;

void write(const agreement::message& from, wire::agreement_message& to);
auto read(const wire::agreement_message& from)
    -> std::optional<agreement::message>;

void write(const agreement::log_entry& from, wire::log_entry& to);
auto read(const wire::log_entry& from) -> agreement::log_entry;

void write(const agreement::member& from, wire::member& to);
auto read(const wire::member& from) -> agreement::member;

void write(const worker& from, wire::worker_announcement& to);
auto read(const wire::worker_announcement& from) -> worker;
void write(const task_report& from, wire::worker_announcement& to);
auto read_reports(const wire::worker_announcement& from)
    -> std::vector<task_report>;

/// An endpoint's age is sent instead of its time of receipt, because the steady
/// clocks of two processes differ.
void write(const endpoint_record& from, time_point now, wire::endpoint& to);
auto read(const wire::endpoint& from, time_point now) -> endpoint_record;

/// Encodes a command as the payload of a log entry. Decoding returns nothing if
/// the bytes are invalid or the command is of an unknown type.
auto encode(const command& from) -> std::string;
auto decode_command(std::string_view bytes) -> std::optional<command>;

/// Encodes the state as the content of a snapshot. Decoding returns nothing if
/// the bytes are invalid.
auto encode(const state_tables& tables) -> std::string;
auto decode_state(std::string_view bytes) -> std::optional<state_tables>;

}  // namespace parsleyledge
