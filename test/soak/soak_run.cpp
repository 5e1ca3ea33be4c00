#include "soak_run.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace parsleyledge::soak {

namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int port_ranges = 80;  // of 100 ports each, from 24000 on
constexpr seconds start_limit{30};
constexpr seconds settle_time{5};  // the catch-up time and a margin
// The platform's bounds: for the service to recover, and for a process to end
// after SIGTERM.
constexpr seconds recovery_bound{12};
constexpr seconds grace{6};

auto first_port(std::uint64_t seed) -> int {
  auto range = (static_cast<std::uint64_t>(::getpid()) + seed) % port_ranges;
  return 24000 + static_cast<int>(range) * 100;
}

auto name_of(int machine) -> std::string {
  return absl::StrCat("fleet-control-", machine);
}

}  // namespace

/// Plays one fault.
struct soak_run::fault_player {
  soak_run& run;

  void operator()(const machine_replaced& f) const {
    run.site_.set_fleet_data_centre(f.successor, f.data_centre);
    run.start(f.successor, false);
  }
  void operator()(const machines_lost& f) const {
    run.seen_.suspend_recovery();
    for (const auto* group : {&f.gone, &f.disks, &f.power}) {
      for (auto machine : *group) run.signal(machine, SIGKILL);
    }
    for (const auto* group : {&f.gone, &f.disks, &f.power}) {
      for (auto machine : *group) run.await_end(machine);
    }
    for (auto machine : f.gone) run.machines_[machine] = machine_state::gone;
    for (auto machine : f.disks) run.site_.erase_fleet_data(machine);
    if (f.disks.empty() && f.power.empty()) run.seen_.expect_recovery();
  }
  void operator()(const machine_signalled& f) const {
    if (!run.is_running(f.machine)) return;
    run.seen_.suspend_recovery();
    if (f.signal != SIGSTOP) run.signal(f.machine, SIGCONT);
    run.signal(f.machine, f.signal);
    if (f.signal == SIGSTOP) return;
    run.machines_[f.machine] =
        f.for_good ? machine_state::gone : machine_state::stopping;
    if (f.for_good) run.seen_.expect_recovery();
  }
  void operator()(const machines_back& f) const {
    for (auto machine : f.machines) {
      auto state = run.machines_.find(machine);
      if (state == run.machines_.end()) continue;
      if (state->second == machine_state::running) run.signal(machine, SIGCONT);
      if (state->second == machine_state::stopping) run.await_end(machine);
      if (state->second == machine_state::down) run.start(machine, false);
    }
    run.seen_.expect_recovery();
  }
};

soak_run::soak_run(const fault_plan& plan, std::string folder)
    : plan_(plan),
      folder_(std::move(folder)),
      site_(first_port(plan.arguments.seed)),
      seen_(folder_ + "/history.jsonl"),
      clients_(site_, seen_, plan.arguments.seed) {}

auto soak_run::play() -> bool {
  std::ofstream(folder_ + "/plan.txt") << describe(plan_);
  auto kept = play_rounds();
  auto broken = seen_.broken();
  if (broken) write_first_page(*broken);
  return kept && !broken;
}

auto soak_run::play_rounds() -> bool {
  if (!start_group()) return false;
  for (const auto& round : plan_.rounds) {
    if (!play_round(round)) return false;
  }
  return true;
}

auto soak_run::start_group() -> bool {
  site_.set_tolerated_machines(plan_.tolerated);
  for (int i = 1; i <= plan_.arguments.machines; ++i) {
    site_.set_fleet_data_centre(
        i, plan_.data_centres[static_cast<std::size_t>(i - 1)]);
    start(i, true);
  }
  // Of an even number of machines one has no vote.
  auto voters = plan_.arguments.machines - 1 + plan_.arguments.machines % 2;
  auto started = fakes::eventually(
      [this, voters] {
        return seen_.newest_confirmed() > 0 &&
               site_.fleet_metric(1, "group_voters") == voters;
      },
      start_limit);
  if (!started)
    seen_.report({"a new group serves with all its machines", 0, 0, ""});
  return started && seen_.await_time(steady_clock::now() + settle_time);
}

// A fault that takes long delays those after it, so that the time between two
// faults is never shorter than the plan says.
auto soak_run::play_round(const fault_round& round) -> bool {
  if (!seen_.await_time(steady_clock::now() + round.rest)) return false;
  // A replaced machine that was asked to end has had its grace.
  for (const auto& [machine, state] : machines_) {
    if (state == machine_state::gone) signal(machine, SIGKILL);
  }
  std::chrono::milliseconds last{};
  for (const auto& f : round.faults) {
    if (!seen_.await_time(steady_clock::now() + (f.at - last))) return false;
    last = f.at;
    check_unexpected_ends();
    seen_.add_fault(describe(f.what));
    std::visit(fault_player{*this}, f.what);
    update_machines();
  }
  if (!seen_.await_recovery()) return false;
  seen_.expect_recovery();
  return seen_.await_recovery() && check_all_machines();
}

auto soak_run::check_all_machines() -> bool {
  check_unexpected_ends();
  auto newest = seen_.newest_confirmed();
  auto deadline = steady_clock::now() + recovery_bound;
  for (auto machine : running()) {
    while (!clients_.reads(machine, newest)) {
      if (!seen_.await_time(steady_clock::now() + seconds(1))) return false;
      if (steady_clock::now() < deadline) continue;
      seen_.report({"all machines read the newest confirmed configuration",
                    newest, machine, ""});
      return false;
    }
  }
  return !seen_.broken();
}

void soak_run::check_unexpected_ends() {
  for (auto machine : running()) {
    if (site_.is_running(name_of(machine))) continue;
    seen_.report({"a process runs until it is asked to end", 0, machine, ""});
  }
}

void soak_run::start(int machine, bool first_start) {
  if (!first_start) site_.set_fleet_seeds(known());
  site_.start_fleet_control(machine, first_start);
  machines_[machine] = machine_state::running;
  update_machines();
}

void soak_run::signal(int machine, int number) {
  if (site_.is_running(name_of(machine)))
    site_.signal(name_of(machine), number);
}

void soak_run::await_end(int machine) {
  auto state = machines_.find(machine);
  if (state == machines_.end()) return;
  auto ended = [&] { return !site_.is_running(name_of(machine)); };
  if (!fakes::eventually(ended, grace)) site_.kill(name_of(machine));
  if (state->second != machine_state::gone) state->second = machine_state::down;
}

auto soak_run::is_running(int machine) const -> bool {
  auto state = machines_.find(machine);
  return state != machines_.end() && state->second == machine_state::running;
}

auto soak_run::running() const -> std::vector<int> {
  std::vector<int> result;
  for (const auto& [machine, state] : machines_) {
    if (state == machine_state::running) result.push_back(machine);
  }
  return result;
}

auto soak_run::known() const -> std::vector<int> {
  std::vector<int> result;
  for (const auto& [machine, state] : machines_) {
    if (state != machine_state::gone) result.push_back(machine);
  }
  return result;
}

void soak_run::update_machines() {
  clients_.set_machines(running());
}

void soak_run::write_first_page(const broken_promise& broken) {
  site_.copy_logs(folder_);
  std::ofstream page(folder_ + "/first-page.txt");
  page << "promise: " << broken.promise << "\nversion: " << broken.version
       << "\nmachine: " << broken.machine << "\ndetail: " << broken.detail
       << "\nfaults before it, the last one last:\n";
  for (const auto& line : seen_.latest_faults(3)) page << "  " << line << "\n";
  page << "logs, plan and history: " << folder_ << "\n";
}

}  // namespace parsleyledge::soak
