#include "plan.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <csignal>
#include <random>

namespace parsleyledge::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using machine_list = std::vector<int>;

constexpr milliseconds down_time{1600};  // of a machine without power
constexpr milliseconds longest_pause{3000};
// The platform's catch-up time, after which a successor counts.
constexpr milliseconds catch_up{4000};
// After the exchange of votes with a machine that still runs: no votes tolerate
// the losses of both sides of that moment.
constexpr milliseconds after_exchange = catch_up + milliseconds(1000);
// A machine that is stopped by then has ended before its successor counts.
constexpr milliseconds latest_early_stop{2500};
// A successor that is lost before it counts is lost by then, so that a late
// signal does not reach it after the catch-up time.
constexpr milliseconds latest_early_loss{3300};
// Between losses of disks: the catch-up time of the machines that lost them,
// and a margin for their restarts.
constexpr milliseconds between_disks{6500};
constexpr milliseconds longest_overlap{12000};  // of both machines

auto join(const machine_list& a, const machine_list& b) -> machine_list {
  auto result = a;
  result.insert(result.end(), b.begin(), b.end());
  return result;
}

auto without(machine_list from, const machine_list& removed) -> machine_list {
  std::erase_if(from,
                [&](int m) { return std::ranges::count(removed, m) > 0; });
  return from;
}

/// Draws the rounds of a plan one after the other.
class plan_drawer {
 public:
  plan_drawer(std::uint64_t seed, const fault_plan& plan)
      : random_(seed), tolerated_(plan.tolerated), sites_(plan.data_centres) {
    for (std::size_t i = 1; i <= sites_.size(); ++i) {
      counting_.push_back(static_cast<int>(i));
    }
  }

  auto draw_round() -> fault_round {
    round_ = {between_disks + draw(0, 1500), {}};
    auto kind = draw(0, 99).count();
    if (kind < 25) {
      lose_with_successors();
    } else if (kind < 50) {
      lose_with_replaced_machines();
    } else if (kind < 65) {
      lose_disks(draw(0, 1000), {}, counting_, counting_);
    } else if (kind < 85) {
      replace_beside_disturbances();
    } else if (kind < 92) {
      lose_disks_as_successors_count();
    } else {
      round_.rest = draw(500, 3000);
      disturb(pick(1, 3), seconds(6));
    }
    std::ranges::stable_sort(round_.faults, {}, &timed_fault::at);
    return std::move(round_);
  }

 private:
  // Not std::uniform_int_distribution, whose results depend on the library.
  auto pick(int low, int high) -> int {
    return low + static_cast<int>(random_() %
                                  static_cast<std::uint64_t>(high - low + 1));
  }
  auto draw(milliseconds::rep low, milliseconds::rep high) -> milliseconds {
    return milliseconds(pick(static_cast<int>(low), static_cast<int>(high)));
  }
  auto chance(int percent) -> bool { return pick(1, 100) <= percent; }

  auto sample(machine_list from, int count) -> machine_list {
    machine_list result;
    while (static_cast<int>(result.size()) < count && !from.empty()) {
      auto at = from.begin() + pick(0, static_cast<int>(from.size()) - 1);
      result.push_back(*at);
      from.erase(at);
    }
    return result;
  }

  void add(milliseconds at, fault what) {
    round_.faults.push_back({at, std::move(what)});
  }

  /// Starts successors of up to as many machines as may be lost together. In
  /// `counting_` they take the places of these machines.
  auto replace() -> std::vector<machine_replaced> {
    std::vector<machine_replaced> result;
    last_start_ = {};
    for (auto m : sample(counting_, tolerated_ > 1 && chance(35) ? 2 : 1)) {
      if (!result.empty()) last_start_ = draw(0, 1500);
      auto data_centre = sites_[static_cast<std::size_t>(m - 1)];
      sites_.push_back(data_centre);
      result.push_back({m, static_cast<int>(sites_.size()), data_centre});
      std::ranges::replace(counting_, m, result.back().successor);
      add(last_start_, result.back());
    }
    return result;
  }

  /// Loses machines permanently and disks of machines of `counting`. All others
  /// that run lose power at the same moment, or none, and sometimes all do once
  /// more. Returns when they are back.
  auto lose_disks(milliseconds at, machine_list gone,
                  const machine_list& counting, const machine_list& running)
      -> milliseconds {
    machines_lost lost{
        std::move(gone), sample(counting, pick(1, tolerated_)), {}};
    if (chance(50)) lost.power = without(running, lost.disks);
    add(at + down_time, machines_back{join(lost.disks, lost.power)});
    add(at, std::move(lost));
    if (!chance(30)) return at + down_time;
    return lose_power(at + down_time + draw(300, 3000), running);
  }

  auto lose_power(milliseconds at, const machine_list& running)
      -> milliseconds {
    add(at, machines_lost{{}, {}, running});
    add(at + down_time, machines_back{running});
    return at + down_time;
  }

  /// Successors are lost permanently before they count, together with disks.
  void lose_with_successors() {
    auto counting = counting_;
    auto replacements = replace();
    auto at = draw(last_start_.count() + 200, latest_early_loss.count());
    machine_list gone;
    machine_list stay;
    machine_list replaced;
    for (const auto& r : replacements) {
      if (gone.empty() || chance(70)) {
        gone.push_back(r.successor);
        std::ranges::replace(counting_, r.successor, r.machine);
      } else {
        stay.push_back(r.successor);
        replaced.push_back(r.machine);
      }
    }
    auto back = lose_disks(at, gone, counting, join(counting, stay));
    for (auto m : replaced) end_replaced(back + between_disks, m);
  }

  /// Replaced machines are lost permanently after their successors count,
  /// together with disks. Some get a SIGTERM just before.
  void lose_with_replaced_machines() {
    auto replacements = replace();
    auto at = last_start_ + after_exchange + draw(200, 5000);
    machine_list gone;
    machine_list stay;
    for (const auto& r : replacements) {
      (chance(70) ? gone : stay).push_back(r.machine);
    }
    for (auto m : gone) {
      if (chance(30))
        add(at - draw(0, 50), machine_signalled{m, SIGTERM, true});
    }
    auto back = lose_disks(at, gone, counting_, join(counting_, stay));
    for (auto m : stay) end_replaced(back + between_disks, m);
  }

  /// Machines are lost or stopped before their successors count, and disks are
  /// lost just after these have begun to.
  void lose_disks_as_successors_count() {
    for (const auto& r : replace()) {
      if (chance(50)) {
        add(last_start_ + draw(0, 500), machines_lost{{r.machine}, {}, {}});
      } else {
        add(last_start_ + draw(0, latest_early_stop.count()),
            machine_signalled{r.machine, SIGTERM, true});
      }
    }
    auto at = last_start_ + catch_up + draw(200, 1000);
    lose_disks(at, {}, counting_, counting_);
  }

  void end_replaced(milliseconds at, int machine) {
    at += draw(0, 4000);
    if (chance(50)) {
      add(at, machine_signalled{machine, SIGTERM, true});
    } else {
      add(at, machines_lost{{machine}, {}, {}});
    }
  }

  void replace_beside_disturbances() {
    machine_list replaced;
    for (const auto& r : replace()) {
      end_replaced(draw(0, (longest_overlap - seconds(4)).count()), r.machine);
      replaced.push_back(r.machine);
    }
    disturb(pick(0, 2), longest_overlap, replaced);
  }

  /// Disturbances that lose no disk. A machine of `leaving` that has ended does
  /// not return.
  void disturb(int count, milliseconds until,
               const machine_list& leaving = {}) {
    for (int i = 0; i < count; ++i) {
      auto at = draw(0, until.count());
      auto machines = sample(counting_, 1);
      auto kind = pick(0, 3);
      if (kind == 0) machines = join(counting_, leaving);
      if (kind <= 1) {
        lose_power(at, machines);
        continue;
      }
      auto signal = kind == 2 ? SIGTERM : SIGSTOP;
      auto back = signal == SIGTERM ? down_time : longest_pause;
      add(at, machine_signalled{machines[0], signal, false});
      add(at + draw(300, back.count()), machines_back{machines});
    }
  }

  std::mt19937_64 random_;
  int tolerated_;
  machine_list sites_;  // the data centres of machines 1, 2 and so on
  machine_list counting_;
  milliseconds last_start_{};  // of a successor in this round
  fault_round round_;
};

struct fault_describer {
  auto operator()(const machine_replaced& f) const -> std::string {
    return absl::StrCat("machine ", f.successor, " starts and replaces ",
                        f.machine, " in data centre ", f.data_centre);
  }
  auto operator()(const machines_lost& f) const -> std::string {
    return absl::StrCat("lost for good: [", absl::StrJoin(f.gone, ","),
                        "], with their disks: [", absl::StrJoin(f.disks, ","),
                        "], without power: [", absl::StrJoin(f.power, ","),
                        "]");
  }
  auto operator()(const machine_signalled& f) const -> std::string {
    return absl::StrCat("machine ", f.machine,
                        f.signal == SIGSTOP ? " is paused" : " gets SIGTERM",
                        f.for_good ? " and ends for good" : "");
  }
  auto operator()(const machines_back& f) const -> std::string {
    return absl::StrCat("back: [", absl::StrJoin(f.machines, ","), "]");
  }
};

}  // namespace

auto draw_plan(const plan_arguments& arguments) -> fault_plan {
  fault_plan plan{arguments, arguments.machines == 3 ? 1 : 2, {}, {}};
  auto data_centres = arguments.machines == 6 ? 3 : arguments.machines;
  for (int i = 0; i < arguments.machines; ++i) {
    plan.data_centres.push_back(i % data_centres + 1);
  }
  plan_drawer drawer(arguments.seed, plan);
  for (int i = 0; i < arguments.rounds; ++i) {
    plan.rounds.push_back(drawer.draw_round());
  }
  return plan;
}

auto describe(const fault& what) -> std::string {
  return std::visit(fault_describer{}, what);
}

auto describe(const fault_plan& plan) -> std::string {
  auto text = absl::StrCat("seed ", plan.arguments.seed, ", machines ",
                           plan.arguments.machines, "\n");
  for (const auto& round : plan.rounds) {
    absl::StrAppend(&text, "after ", round.rest.count(), " ms of rest:\n");
    for (const auto& f : round.faults) {
      absl::StrAppend(&text, "  ", f.at.count(), " ms: ", describe(f.what),
                      "\n");
    }
  }
  return text;
}

}  // namespace parsleyledge::soak
