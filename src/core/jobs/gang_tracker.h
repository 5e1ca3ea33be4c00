#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/job.h"
#include "core/jobs/worker.h"
#include "core/jobs/worker_failure.h"
#include "core/state/command.h"
#include "ports/platform.h"

namespace parsleyledge {

/// Delays of the worker protocol.
struct lease_timing {
  milliseconds ttl{6000};      // a task without renewal stops itself
  milliseconds margin{500};    // drift between the clocks of two VMs
  milliseconds renewal{1000};  // between renewals of a worker
  milliseconds retry{1000};    // before a call without answer is repeated
  milliseconds prepare_limit{4000};
};

/// What the leader does next: commit a command or ask a worker.
using gang_action = std::variant<command, platform_request>;

/// The leader's view of the tasks of every placed gang. It starts a gang in
/// two steps, renews leases, and gives accelerators up only once their stop
/// is confirmed or their lease has run out. Soft state: a new leader builds
/// it anew and assumes that every lease was renewed just before.
class gang_tracker {
 public:
  explicit gang_tracker(lease_timing timing) : timing_(timing) {}

  /// Forgets what an earlier leadership knew of tasks. Workers get the time
  /// of a lease to make themselves heard.
  void begin_leadership(time_point now);

  /// Handles a worker's announcement.
  void handle_announcement(const worker& announced,
                           std::span<const task_report> reports,
                           time_point now);

  /// Handles the response to a request that was sent at `sent_at`.
  void handle_response(const platform_request& request,
                       const platform_response& reply, time_point sent_at,
                       time_point now);

  /// The next actions for the jobs that are placed or hold accelerators.
  /// `wall` is the time written into commands, `now` the monotonic one.
  auto step(std::span<const job_record* const> jobs, const site_config& site,
            time_point now, time_point wall) -> std::vector<gang_action>;

  /// Sets each worker's condition from its contacts and recorded failures.
  /// Returns whether any of them changed.
  auto update_conditions(const failure_table& failures,
                         const policy_config& policy, time_point now,
                         time_point wall) -> bool;

  /// Excludes a worker from new work, or takes it back.
  void drain(std::string_view name, bool draining);

  /// All workers known, by name.
  auto workers() const -> std::span<const worker> { return workers_; }

 private:
  struct contact {
    time_point received_at;
    time_point renewal_sent_at;
    bool renewal_open = false;
    std::uint64_t incarnation = 0;
  };
  struct task {
    std::optional<task_state> state;  // as last confirmed
    std::optional<worker_verb> asked;
    time_point asked_at;
    time_point lease_until;
    time_point started_at;
    std::uint64_t incarnation = 0;  // of the worker when first asked
    assignment cells;
    std::uint32_t overuse = 0;  // reports in a row above the declaration
    time_point released_at;     // when its release was proposed
    std::string refusal;
    bool missing = false;  // the worker no longer knows the task
  };
  struct gang {
    std::map<std::string, task> tasks;
    std::optional<job_state> proposed_in;  // state left by the last proposal
    time_point proposed_at;
  };
  using gang_key = std::pair<job_id, std::uint32_t>;

  auto find_worker(std::string_view name) -> worker*;
  auto gang_of(const job_record& job, time_point now) -> gang&;
  void ask(const job_record& job, const assignment& cells, task& t,
           worker_verb verb, time_point now, std::vector<gang_action>& actions);
  void propose(const job_record& job, gang& g, command what, time_point now,
               std::vector<gang_action>& actions);
  void step_placing(const job_record& job, gang& g, time_point now,
                    time_point wall, std::vector<gang_action>& actions);
  void step_running(const job_record& job, gang& g, const site_config& site,
                    time_point now, time_point wall,
                    std::vector<gang_action>& actions);
  void step_checkpointing(const job_record& job, gang& g, time_point now,
                          time_point wall, std::vector<gang_action>& actions);
  void step_releasing(const job_record& job, gang& g, time_point now,
                      std::vector<gang_action>& actions);
  void step_overuse(const job_record& job, gang& g, const site_config& site,
                    time_point now, time_point wall,
                    std::vector<gang_action>& actions);
  auto lost_worker(const job_record& job, gang& g, time_point now)
      -> std::optional<std::string>;
  void renew_leases(std::span<const job_record* const> jobs, time_point now,
                    std::vector<gang_action>& actions);
  void note_report(std::string_view worker, const task_report& report);
  auto find_task(std::string_view worker, const task_ref& ref) -> task*;

  lease_timing timing_;
  time_point led_since_;
  std::vector<worker> workers_;  // sorted by name
  std::map<std::string, contact, std::less<>> contacts_;
  std::map<std::string, bool, std::less<>> draining_;
  std::map<gang_key, gang> gangs_;
};

/// Whether recorded failures keep new work off a worker at this time.
auto is_quarantined(std::span<const worker_failure> failures,
                    const policy_config& policy, time_point wall) -> bool;

}  // namespace parsleyledge
