#include "core/fleet/loss_cause.h"

#include "core/fleet/records.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

auto to_string(const loss_cause& cause) -> std::string_view {
  using std::string_view;
  return std::visit(
      overloaded{
          [](const displaced&) -> string_view { return "displaced"; },
          [](const gang_member_ended&) -> string_view {
            return "gang_member_ended";
          },
          [](const gang_incomplete&) -> string_view {
            return "gang_incomplete";
          },
          [](const task_failed&) -> string_view { return "task_failed"; },
          [](const worker_ended&) -> string_view { return "worker_ended"; },
          [](const worker_drains&) -> string_view { return "worker_drains"; },
          [](const machine_maintenance&) -> string_view {
            return "maintenance";
          },
          [](const data_centre_evacuated&) -> string_view {
            return "evacuation";
          },
          [](const lease_over&) -> string_view { return "lease_expired"; },
          [](const run_stalled&) -> string_view { return "stalled"; },
          [](const job_over&) -> string_view { return "job_ended"; },
          [](const start_abandoned&) -> string_view {
            return "start_abandoned";
          }},
      cause);
}

auto describe(const loss_cause& cause) -> std::string {
  return std::visit(
      overloaded{
          [](const displaced& c) {
            return "reclaimed for " + fleet::to_string(c.by);
          },
          [](const gang_member_ended&) {
            return std::string("a gang member ended");
          },
          [](const gang_incomplete&) {
            return std::string("no response to the start request");
          },
          [](const task_failed&) { return std::string("failed"); },
          [](const worker_ended&) { return std::string("the worker ended"); },
          [](const worker_drains&) {
            return std::string("the worker is draining");
          },
          [](const machine_maintenance&) {
            return std::string("maintenance of its machine");
          },
          [](const data_centre_evacuated&) {
            return std::string("evacuation of its data centre");
          },
          [](const lease_over&) { return std::string("lease expired"); },
          [](const run_stalled&) { return std::string("stalled"); },
          [](const job_over& c) {
            return std::string(fleet::to_string(c.state));
          },
          [](const start_abandoned& c) { return c.reason; }},
      cause);
}

}  // namespace parsleyledge::fleet
