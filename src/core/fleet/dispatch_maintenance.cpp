#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds busy_retry_delay{500};
constexpr milliseconds no_response_retry_delay{300};
// The platform accepts no requests, or none of this leader.
constexpr milliseconds later_retry_delay{1000};
// A machine returns from maintenance within 2 s; after three times as long its
// state is read from the platform's list of machines.
constexpr milliseconds return_timeout{6000};
constexpr milliseconds machine_list_interval{2000};
// Duration of the maintenance of one machine, with its start.
constexpr milliseconds maintenance_duration{3500};
// Upper limit of the time that runs without checkpoints may go on on a machine
// that is drained for maintenance.
constexpr milliseconds max_drain_time{8000};
// Progress of a long-running task that has finished its start.
constexpr std::uint32_t ready_percent = 100;

auto has_begun(const wave_record& wave, std::string_view machine) -> bool {
  return std::ranges::any_of(wave.started, [&](const maintenance_begun& begun) {
    return begun.machine == machine;
  });
}

auto is_requested(const wave_record& wave, std::string_view machine) -> bool {
  return std::ranges::find(wave.requested, machine) != wave.requested.end();
}

auto has_ended(const wave_record& wave, std::string_view machine) -> bool {
  return std::ranges::find(wave.ended, machine) != wave.ended.end();
}

/// How long the work on each machine may go on while it is drained, so that the
/// wave still ends in time.
auto drain_time_of(const wave_record& wave, time_point wall) -> milliseconds {
  auto machines_left = wave.machines.size() - wave.ended.size();
  auto rounds =
      static_cast<std::int64_t>((machines_left + wave.max_concurrent - 1) /
                                std::max<std::size_t>(wave.max_concurrent, 1));
  auto spare =
      wave.requested_at + wave.duration - wall - rounds * maintenance_duration;
  auto per_round = spare / std::max<std::int64_t>(rounds, 1);
  return std::clamp(std::chrono::duration_cast<milliseconds>(per_round),
                    milliseconds(0), max_drain_time);
}

}  // namespace

auto is_complete(const wave_record& wave) -> bool {
  return std::ranges::all_of(wave.machines, [&](const std::string& machine) {
    return has_ended(wave, machine);
  });
}

// Advances the waves of maintenance. A wave takes no more machines at once than
// it allows, those with the fewest runs first.
void dispatcher::advance_waves(const fleet_tables& tables, clock_reading now) {
  bool has_open_wave = std::ranges::any_of(
      tables.waves, [](const auto& item) { return !is_complete(item.second); });
  if (!has_open_wave && drains_.empty()) return;
  for (auto& [name, worker] : workers_) worker.under_maintenance = false;
  std::erase_if(drains_, [&](const auto& item) {
    auto wave = tables.waves.find(item.second.wave);
    return wave == tables.waves.end() || has_ended(wave->second, item.first);
  });
  workers_by_machine by_machine;
  for (const auto& [name, record] : tables.workers) {
    by_machine[machine_of(record)] = &record;
  }
  for (const auto& [number, wave] : tables.waves) {
    if (is_complete(wave)) continue;
    inherit_requested_machines(number, wave, now);
    handle_returned_machines(number, wave, by_machine, now);
    choose_machines(number, wave, by_machine, now);
  }
  for (auto& [machine, drain] : drains_) {
    if (drain.end_proposed) continue;
    auto it = by_machine.find(machine);
    const auto* record = it == by_machine.end() ? nullptr : it->second;
    auto* worker = mark_under_maintenance(record);
    if (!drain.in_maintenance)
      drain_machine(tables, machine, drain, record, worker, now);
  }
}

// Takes over the machines whose maintenance an earlier leader may have
// requested without seeing a response: the maintenance may have begun, or begin
// at any time. It is requested again, which changes nothing if it has begun.
void dispatcher::inherit_requested_machines(std::uint64_t number,
                                            const wave_record& wave,
                                            clock_reading now) {
  for (const auto& machine : wave.requested) {
    bool is_known = has_begun(wave, machine) || has_ended(wave, machine) ||
                    drains_.contains(machine);
    if (is_known) continue;
    auto& drain = drains_[machine];
    drain.wave = number;
    drain.since = now.steady;
    drain.was_requested = true;
    log_decision("upkeep_inherited",
                 {{"machine", machine}, {"wave", std::to_string(number)}});
  }
}

// Keeps work away from a worker. Returns its state, or null if it has none.
auto dispatcher::mark_under_maintenance(const worker_record* record)
    -> worker_state* {
  if (record == nullptr) return nullptr;
  auto it = workers_.find(record->incarnation.name);
  if (it == workers_.end() || it->second.incarnation != record->incarnation)
    return nullptr;
  it->second.under_maintenance = true;
  return &it->second;
}

// Ends the maintenance of machines from which a later incarnation reports. If
// none reports in time, the platform is asked for its list of machines.
void dispatcher::handle_returned_machines(std::uint64_t number,
                                          const wave_record& wave,
                                          const workers_by_machine& by_machine,
                                          clock_reading now) {
  for (const auto& begun : wave.started) {
    if (has_ended(wave, begun.machine)) continue;
    auto& drain = drains_[begun.machine];
    if (!drain.in_maintenance) {
      drain.wave = number;
      drain.since = now.steady;
      drain.in_maintenance = true;
    }
    if (drain.end_proposed) continue;
    auto it = by_machine.find(begun.machine);
    bool reports = it != by_machine.end() &&
                   it->second->incarnation.started_at_ms > begun.started_at_ms;
    // Without a record at the start, the report may be a delayed one of an
    // earlier incarnation.
    bool is_certain = begun.started_at_ms != 0;
    if (reports && is_certain) {
      end_maintenance(begun.machine, drain, "a new incarnation reports");
    } else if (reports || now.steady - drain.since > return_timeout) {
      request_machine_list(now);
    }
  }
}

void dispatcher::end_maintenance(std::string_view machine, machine_drain& drain,
                                 std::string_view reason) {
  drain.end_proposed = true;
  log_decision("upkeep_ended", {{"machine", std::string(machine)},
                                {"wave", std::to_string(drain.wave)},
                                {"reason", std::string(reason)}});
  propose_command(
      record_maintenance{drain.wave, std::string(machine), true, 0});
}

void dispatcher::request_machine_list(clock_reading now) {
  if (machine_list_request_ != 0 ||
      now.steady - machine_list_requested_at_ < machine_list_interval)
    return;
  machine_list_request_ = next_id_++;
  machine_list_requested_at_ = now.steady;
  effects_.emplace_back(
      send_machine_request{machine_list_request_, fence_, list_machines{}});
}

void dispatcher::choose_machines(std::uint64_t number, const wave_record& wave,
                                 const workers_by_machine& by_machine,
                                 clock_reading now) {
  auto draining_count = static_cast<std::size_t>(std::ranges::count_if(
      drains_, [&](const auto& item) { return item.second.wave == number; }));
  while (draining_count < wave.max_concurrent) {
    const std::string* best = nullptr;
    std::size_t fewest_runs = 0;
    for (const auto& machine : wave.machines) {
      if (has_ended(wave, machine) || has_begun(wave, machine) ||
          drains_.contains(machine)) {
        continue;
      }
      auto it = by_machine.find(machine);
      auto worker = it == by_machine.end()
                        ? workers_.end()
                        : workers_.find(it->second->incarnation.name);
      auto run_count =
          worker == workers_.end() ? 0 : worker->second.runs.size();
      if (best != nullptr && run_count >= fewest_runs) continue;
      best = &machine;
      fewest_runs = run_count;
    }
    if (best == nullptr) return;
    auto& drain = drains_[*best];
    drain.wave = number;
    drain.since = now.steady;
    ++draining_count;
    log_decision("upkeep_chosen", {{"machine", *best},
                                   {"wave", std::to_string(number)},
                                   {"runs", std::to_string(fewest_runs)}});
  }
}

// Whether the task may be stopped for maintenance without exceeding the number
// of unavailable tasks that its step allows.
auto dispatcher::can_stop_for_maintenance(const fleet_tables& tables,
                                          const task_ref& task) const -> bool {
  const auto& job = tables.jobs.at(task.job);
  const auto& spec = job.spec.steps[task.step];
  if (spec.max_unavailable == 0) return true;
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    if (i == task.index) continue;
    auto run = runs_.find({task.job, task.occurrence, task.step, i});
    bool is_available = run != runs_.end() && is_at_work(run->second);
    if (!is_available) ++unavailable;
  }
  return unavailable < spec.max_unavailable;
}

// Whether a long-running task has finished its start and its worker responds.
// The task of a worker that does not, or is unhealthy, may have ended.
auto dispatcher::is_at_work(const tracked_run& run) const -> bool {
  auto worker = workers_.find(run.worker.name);
  bool responds =
      worker != workers_.end() && worker->second.incarnation == run.worker &&
      worker->second.missed_responses == 0 && !worker->second.is_unhealthy;
  return responds && run.phase == run_phase::started &&
         run.percent >= ready_percent;
}

// Empties a machine, then requests its maintenance. Runs with checkpoints are
// stopped at once, long-running tasks as their step allows, and others once the
// drain time is over. The request is sent once the intention is committed: if
// the leader changes before the response, the next one has to know of it.
void dispatcher::drain_machine(const fleet_tables& tables,
                               std::string_view machine, machine_drain& drain,
                               const worker_record* record,
                               worker_state* worker, clock_reading now) {
  if (worker != nullptr && !worker->runs.empty()) {
    auto drain_time = drain_time_of(tables.waves.at(drain.wave), now.wall);
    bool timed_out = now.steady - drain.since >= drain_time;
    for (auto* run : worker->runs) {
      if (run->phase != run_phase::started) continue;
      const auto& spec =
          tables.jobs.at(run->task.job).spec.steps[run->task.step];
      bool stops = spec.long_running
                       ? can_stop_for_maintenance(tables, run->task)
                       : spec.checkpoints || timed_out;
      if (stops) stop_run(*run, machine_maintenance{});
    }
    return;
  }
  if (drain.request != 0 || drain.next_attempt_at > now.steady) return;
  if (!is_requested(tables.waves.at(drain.wave), machine)) {
    if (std::exchange(drain.request_proposed, true)) return;
    propose_command(
        record_maintenance_request{drain.wave, std::string(machine)});
    return;
  }
  bool responds = worker != nullptr && worker->missed_responses == 0 &&
                  worker->unavailable_until <= now.steady;
  bool is_recorded_one = worker != nullptr && is_confirmed(*worker, now);
  if (responds && !is_recorded_one) {
    bool can_probe = !worker->probe_pending && worker->next_poll <= now.steady;
    if (can_probe) send_poll(*record, *worker, milliseconds(0), now);
    return;
  }
  drain.request = next_id_++;
  auto incarnation =
      record == nullptr ? worker_incarnation{} : record->incarnation;
  // A later incarnation may have started without a report yet, before the
  // maintenance. If an earlier request got no response, a changed incarnation
  // may have started before the maintenance or after it. Only the platform's
  // list of machines can tell.
  drain.incarnation_is_certain =
      is_recorded_one &&
      (!drain.was_requested || drain.incarnation == incarnation);
  drain.incarnation = incarnation;
  drain.was_requested = true;
  effects_.emplace_back(send_machine_request{
      drain.request, fence_,
      begin_maintenance{std::string(machine), drain.wave}});
}

auto dispatcher::handle_machine_response(const fleet_tables& tables,
                                         std::uint64_t id,
                                         const machine_response& response,
                                         clock_reading now)
    -> std::vector<effect> {
  if (id == machine_list_request_) {
    machine_list_request_ = 0;
    if (const auto* listed = std::get_if<machine_list>(&response)) {
      handle_machine_list(*listed);
    }
    return take_effects();
  }
  auto it = std::ranges::find_if(
      drains_, [&](const auto& item) { return item.second.request == id; });
  if (it == drains_.end()) return {};
  const auto& machine = it->first;
  auto& drain = it->second;
  drain.request = 0;
  std::visit(
      overloaded{
          [&](const machine_accepted&) {
            drain.in_maintenance = true;
            drain.since = now.steady;
            log_decision(
                "upkeep_begun",
                {{"machine", machine}, {"wave", std::to_string(drain.wave)}});
            auto started_at_ms = drain.incarnation_is_certain
                                     ? drain.incarnation.started_at_ms
                                     : 0;
            propose_command(
                record_maintenance{drain.wave, machine, false, started_at_ms});
            if (drain.incarnation_is_certain &&
                !drain.incarnation.name.empty()) {
              propose_command(remove_worker{drain.incarnation, {}});
            }
          },
          [&](const machine_rejected& rejected) {
            handle_maintenance_rejection(machine, drain, rejected.reason, now);
          },
          [&](const auto&) {
            drain.next_attempt_at = now.steady + no_response_retry_delay;
          }},
      response);
  advance_waves(tables, now);
  return take_effects();
}

void dispatcher::handle_maintenance_rejection(std::string_view machine,
                                              machine_drain& drain,
                                              machine_rejection why,
                                              clock_reading now) {
  switch (why) {
    case machine_rejection::unknown:
      end_maintenance(machine, drain, "machine not found");
      break;
    case machine_rejection::wave:
      end_maintenance(machine, drain, "machine is not part of the wave");
      break;
    case machine_rejection::busy:
      drain.next_attempt_at = now.steady + busy_retry_delay;
      break;
    case machine_rejection::fence:
    case machine_rejection::later:
      drain.next_attempt_at = now.steady + later_retry_delay;
      break;
  }
}

// Ends the maintenance of machines that the platform no longer lists as under
// maintenance, whether or not a worker reports from them.
void dispatcher::handle_machine_list(const machine_list& listed) {
  for (auto& [machine, drain] : drains_) {
    if (!drain.in_maintenance || drain.end_proposed) continue;
    auto it =
        std::ranges::find(listed.machines, machine, &listed_machine::name);
    bool under_way = it != listed.machines.end() &&
                     (it->state == machine_state::maintenance ||
                      it->state == machine_state::moving);
    if (!under_way)
      end_maintenance(machine, drain, "not under maintenance on the platform");
  }
}

}  // namespace parsleyledge::fleet
