#pragma once

#include <map>
#include <string>
#include <vector>

#include "clients.h"
#include "fakes/process_site.h"
#include "history.h"
#include "plan.h"

namespace parsleyledge::soak {

/// Plays a plan of faults on real processes, with clients that check what they
/// see.
class soak_run {
 public:
  /// `folder` exists and receives the history and, if a promise is broken, the
  /// first page and the logs.
  soak_run(const fault_plan& plan, std::string folder);

  /// Plays the plan. Returns whether all promises were kept.
  auto play() -> bool;

  auto call_count() const -> std::size_t { return seen_.call_count(); }

 private:
  enum class machine_state { running, stopping, down, gone };
  struct fault_player;

  auto play_rounds() -> bool;
  auto start_group() -> bool;
  auto play_round(const fault_round& round) -> bool;
  auto check_all_machines() -> bool;
  void check_unexpected_ends();

  void start(int machine, bool first_start);
  void signal(int machine, int number);
  void await_end(int machine);
  auto is_running(int machine) const -> bool;
  auto running() const -> std::vector<int>;

  /// The machines on the operator's list: all but those that are gone.
  auto known() const -> std::vector<int>;
  void update_machines();
  void write_first_page(const broken_promise& broken);

  const fault_plan& plan_;
  std::string folder_;
  fakes::process_site site_;
  history seen_;
  std::map<int, machine_state> machines_;
  clients clients_;  // stops before what it uses
};

}  // namespace parsleyledge::soak
