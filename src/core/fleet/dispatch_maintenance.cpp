#include <algorithm>

#include "core/fleet/dispatcher.h"
#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

constexpr milliseconds refused_pause{500};  // the machine is busy
constexpr milliseconds silent_pause{300};
constexpr milliseconds later_pause{1000};  // the platform takes no calls
// A machine comes back within two seconds; after three times as long the
// platform is asked what became of it.
constexpr milliseconds return_patience{6000};
constexpr milliseconds list_interval{2000};
// What one machine's maintenance takes with its start.
constexpr milliseconds maintenance_time{3500};
// Work that saves nothing may go on so long on a machine that is to go down.
constexpr milliseconds most_patience{8000};
constexpr std::uint32_t at_work = 100;  // per cent of a long-running task

auto has_begun(const wave_record& wave, std::string_view machine) -> bool {
  return std::ranges::any_of(wave.begun, [&](const maintenance_begun& one) {
    return one.machine == machine;
  });
}

auto has_ended(const wave_record& wave, std::string_view machine) -> bool {
  return std::ranges::find(wave.ended, machine) != wave.ended.end();
}

/// How long each machine's own work may be waited for, so that the wave still
/// ends in time.
auto patience_of(const wave_record& wave, time_point wall) -> milliseconds {
  auto left = wave.machines.size() - wave.ended.size();
  auto rounds =
      static_cast<std::int64_t>((left + wave.max_concurrent - 1) /
                                std::max<std::size_t>(wave.max_concurrent, 1));
  auto spare = wave.asked_at + wave.duration - wall - rounds * maintenance_time;
  auto each = spare / std::max<std::int64_t>(rounds, 1);
  return std::clamp(std::chrono::duration_cast<milliseconds>(each),
                    milliseconds(0), most_patience);
}

}  // namespace

auto is_complete(const wave_record& wave) -> bool {
  return std::ranges::all_of(wave.machines, [&](const std::string& machine) {
    return has_ended(wave, machine);
  });
}

// Moves the waves of maintenance on: no more machines at once than a wave
// allows, those first that cost the least work.
void dispatcher::run_waves(const fleet_tables& tables, clock_reading now) {
  bool open = std::ranges::any_of(
      tables.waves, [](const auto& item) { return !is_complete(item.second); });
  if (!open && closing_.empty()) return;
  for (auto& [name, worker] : workers_) worker.under_maintenance = false;
  std::erase_if(closing_, [&](const auto& item) {
    auto wave = tables.waves.find(item.second.wave);
    return wave == tables.waves.end() || has_ended(wave->second, item.first);
  });
  workers_by_machine by_machine;
  for (const auto& [name, record] : tables.workers) {
    by_machine[machine_of(record)] = &record;
  }
  for (const auto& [number, wave] : tables.waves) {
    if (is_complete(wave)) continue;
    note_returns(number, wave, by_machine, now);
    choose_machines(number, wave, by_machine, now);
  }
  for (auto& [machine, closing] : closing_) {
    if (closing.begun || closing.over) continue;
    auto it = by_machine.find(machine);
    const auto* record = it == by_machine.end() ? nullptr : it->second;
    empty_machine(tables, machine, closing, record, now);
  }
}

// A machine is back once another incarnation reports from it.
void dispatcher::note_returns(std::uint64_t number, const wave_record& wave,
                              const workers_by_machine& by_machine,
                              clock_reading now) {
  for (const auto& one : wave.begun) {
    if (has_ended(wave, one.machine)) continue;
    auto& closing = closing_[one.machine];
    if (!closing.begun) {
      closing.wave = number;
      closing.since = now.steady;
      closing.begun = true;
    }
    if (closing.over) continue;
    auto it = by_machine.find(one.machine);
    bool back = it != by_machine.end() &&
                it->second->incarnation.started_at_ms > one.started_at_ms;
    if (back) {
      end_maintenance(one.machine, closing, "a new life reports");
    } else if (now.steady - closing.since > return_patience) {
      ask_for_machines(now);
    }
  }
}

void dispatcher::end_maintenance(std::string_view machine,
                                 closing_machine& closing,
                                 std::string_view reason) {
  closing.over = true;
  note("upkeep_ended", {{"machine", std::string(machine)},
                        {"wave", std::to_string(closing.wave)},
                        {"reason", std::string(reason)}});
  propose_command(
      record_maintenance{closing.wave, std::string(machine), true, 0});
}

void dispatcher::ask_for_machines(clock_reading now) {
  if (listing_ != 0 || now.steady - listed_at_ < list_interval) return;
  listing_ = next_id_++;
  listed_at_ = now.steady;
  effects_.emplace_back(
      send_machine_request{listing_, fence_, list_machines{}});
}

void dispatcher::choose_machines(std::uint64_t number, const wave_record& wave,
                                 const workers_by_machine& by_machine,
                                 clock_reading now) {
  auto away = static_cast<std::size_t>(std::ranges::count_if(
      closing_, [&](const auto& item) { return item.second.wave == number; }));
  while (away < wave.max_concurrent) {
    const std::string* best = nullptr;
    std::size_t least = 0;
    for (const auto& machine : wave.machines) {
      if (has_ended(wave, machine) || has_begun(wave, machine) ||
          closing_.contains(machine)) {
        continue;
      }
      auto it = by_machine.find(machine);
      auto worker = it == by_machine.end()
                        ? workers_.end()
                        : workers_.find(it->second->incarnation.name);
      auto busy = worker == workers_.end() ? 0 : worker->second.runs.size();
      if (best != nullptr && busy >= least) continue;
      best = &machine;
      least = busy;
    }
    if (best == nullptr) return;
    auto& closing = closing_[*best];
    closing.wave = number;
    closing.since = now.steady;
    ++away;
    note("upkeep_chosen", {{"machine", *best},
                           {"wave", std::to_string(number)},
                           {"runs", std::to_string(least)}});
  }
}

// Whether one more task of a long-running step may be stopped for maintenance.
auto dispatcher::can_spare_one(const fleet_tables& tables,
                               const task_ref& task) const -> bool {
  const auto& job = tables.jobs.at(task.job);
  const auto& spec = job.spec.steps[task.step];
  if (spec.max_unavailable == 0) return true;
  std::uint32_t away = 0;
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    if (i == task.index) continue;
    auto run = runs_.find({task.job, task.occurrence, task.step, i});
    bool works = run != runs_.end() &&
                 run->second.phase == run_phase::started &&
                 run->second.percent >= at_work;
    if (!works) ++away;
  }
  return away < spec.max_unavailable;
}

// Moves work off a machine that is to go down, then requests its maintenance.
void dispatcher::empty_machine(const fleet_tables& tables,
                               std::string_view machine,
                               closing_machine& closing,
                               const worker_record* record, clock_reading now) {
  worker_state* worker = nullptr;
  if (record != nullptr) {
    auto it = workers_.find(record->incarnation.name);
    if (it != workers_.end() && it->second.incarnation == record->incarnation) {
      worker = &it->second;
      worker->under_maintenance = true;
    }
  }
  if (worker != nullptr && !worker->runs.empty()) {
    auto patience = patience_of(tables.waves.at(closing.wave), now.wall);
    bool waited = now.steady - closing.since >= patience;
    for (auto* run : worker->runs) {
      if (run->phase != run_phase::started) continue;
      const auto& spec =
          tables.jobs.at(run->task.job).spec.steps[run->task.step];
      bool stops = spec.long_running ? can_spare_one(tables, run->task)
                                     : spec.checkpoints || waited;
      if (stops) stop_run(*run, "upkeep of its machine");
    }
    return;
  }
  if (closing.request != 0 || closing.next_try > now.steady) return;
  closing.request = next_id_++;
  auto incarnation =
      record == nullptr ? worker_incarnation{} : record->incarnation;
  // After a request without an answer another incarnation may be that of before
  // the maintenance or of after it: only the platform's list tells.
  closing.incarnation_is_certain =
      !closing.tried || closing.incarnation == incarnation;
  closing.incarnation = incarnation;
  closing.tried = true;
  effects_.emplace_back(send_machine_request{
      closing.request, fence_,
      begin_maintenance{std::string(machine), closing.wave}});
}

auto dispatcher::handle_machine_response(const fleet_tables& tables,
                                         std::uint64_t id,
                                         const machine_response& answer,
                                         clock_reading now)
    -> std::vector<effect> {
  if (id == listing_) {
    listing_ = 0;
    if (const auto* listed = std::get_if<machine_list>(&answer)) {
      note_listed(*listed);
    }
    return take_effects();
  }
  auto it = std::ranges::find_if(
      closing_, [&](const auto& item) { return item.second.request == id; });
  if (it == closing_.end()) return {};
  const auto& machine = it->first;
  auto& closing = it->second;
  closing.request = 0;
  std::visit(
      overloaded{
          [&](const machine_accepted&) {
            closing.begun = true;
            closing.since = now.steady;
            note("upkeep_begun", {{"machine", machine},
                                  {"wave", std::to_string(closing.wave)}});
            propose_command(
                record_maintenance{closing.wave, machine, false,
                                   closing.incarnation.started_at_ms});
            if (closing.incarnation_is_certain &&
                !closing.incarnation.name.empty()) {
              propose_command(remove_worker{closing.incarnation});
            }
          },
          [&](const machine_rejected& refused) {
            handle_maintenance_rejection(machine, closing, refused.why, now);
          },
          [&](const auto&) { closing.next_try = now.steady + silent_pause; }},
      answer);
  run_waves(tables, now);
  return take_effects();
}

void dispatcher::handle_maintenance_rejection(std::string_view machine,
                                              closing_machine& closing,
                                              machine_rejection why,
                                              clock_reading now) {
  switch (why) {
    case machine_rejection::unknown:
      end_maintenance(machine, closing, "there is no such machine");
      break;
    case machine_rejection::wave:
      end_maintenance(machine, closing, "the machine is not of this wave");
      break;
    case machine_rejection::busy:
      closing.next_try = now.steady + refused_pause;
      break;
    case machine_rejection::fence:
    case machine_rejection::later:
      closing.next_try = now.steady + later_pause;
      break;
  }
}

// Machines that are no longer under maintenance count as back, whatever else
// ails them.
void dispatcher::note_listed(const machine_list& listed) {
  for (auto& [machine, closing] : closing_) {
    if (!closing.begun || closing.over) continue;
    auto it =
        std::ranges::find(listed.machines, machine, &listed_machine::name);
    bool under_way = it != listed.machines.end() &&
                     (it->state == machine_state::maintenance ||
                      it->state == machine_state::moving);
    if (!under_way) end_maintenance(machine, closing, "the platform says so");
  }
}

}  // namespace parsleyledge::fleet
