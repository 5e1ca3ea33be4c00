#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/config/site_config.h"
#include "core/jobs/job.h"
#include "core/jobs/scheduler.h"
#include "core/jobs/worker.h"
#include "core/jobs/worker_failure.h"
#include "core/jobs/worker_roster.h"
#include "core/state/command.h"
#include "ports/platform.h"

namespace parsleyledge {

/// Time limits of the worker protocol.
struct lease_timing {
  milliseconds ttl{6000};            // a task stops when its lease expires
  milliseconds margin{500};          // clock drift between two VMs
  milliseconds renewal{1000};        // interval of renewals to a worker
  milliseconds retry{1000};          // until an unanswered request is repeated
  milliseconds prepare_limit{4000};  // from placement until all prepared
  // From taking the lead until every running worker has announced itself.
  milliseconds announce_limit{30'000};
};

/// An action of the leader: a command to commit or a request to a worker.
using gang_action = std::variant<command, platform_request>;

/// The leader's view of the tasks of every placed gang. It starts a gang in two
/// phases (prepare on every worker, then start), renews leases, and releases
/// accelerators only once their task's stop is confirmed, their worker has
/// restarted or their lease has expired. The view is not replicated: a new
/// leader rebuilds it and assumes that every lease was renewed just before.
class gang_tracker {
 public:
  explicit gang_tracker(lease_timing timing) : timing_(timing) {}

  /// Clears the tasks of an earlier leadership. A worker counts as lost only
  /// after it has sent nothing for the time to live of a lease from `now`.
  void begin_leadership(time_point now);

  /// Marks the leadership as over, so that the roster is not complete.
  void end_leadership() { leads_ = false; }

  /// Adds or updates a worker that announced itself, and handles its reports.
  /// Ignores an earlier incarnation.
  void handle_announcement(const worker& announced,
                           std::span<const task_report> reports,
                           time_point now);

  /// Handles the response to a request sent at `sent_at`. Both times are
  /// monotonic.
  void handle_response(const platform_request& request,
                       const platform_response& response, time_point sent_at,
                       time_point now);

  /// Returns the next actions for the jobs that have accelerators, and removes
  /// the gangs of all others. `now` is monotonic, `wall` the time written into
  /// commands.
  auto next_actions(std::span<const job_record* const> jobs,
                    const site_config& site, time_point now, time_point wall)
      -> std::vector<gang_action>;

  /// Sets each worker's condition from the time of its last message, whether
  /// the operator drains it and its recorded failures. Returns whether any
  /// changed.
  auto update_conditions(const failure_table& failures,
                         const drained_workers& draining,
                         const policy_config& policy, time_point now,
                         time_point wall) -> bool;

  /// All known workers, sorted by name.
  auto workers() const -> std::span<const worker> { return workers_; }

  /// The workers and how many of them have reported to this leader. It is
  /// complete once all workers of the replicated homes and jobs are known and
  /// the leadership has lasted long enough for others to announce themselves.
  auto roster(const home_table& homes, std::span<const job_record* const> jobs,
              time_point now) const -> worker_roster;

 private:
  struct contact {
    time_point received_at;
    bool has_reported = false;  // since the leadership began
    time_point renewal_sent_at;
    bool renewal_pending = false;
    std::uint64_t incarnation = 0;
  };
  struct task {
    std::optional<task_state> state;  // last one confirmed by the worker
    std::optional<worker_verb> pending_verb;  // request without a response
    time_point requested_at;
    time_point lease_until;
    time_point started_at;
    std::uint64_t incarnation = 0;  // of the worker at the first request
    assignment cells;
    std::uint32_t overuse = 0;       // consecutive reports of overuse
    time_point released_at;          // when its release was proposed
    std::string failure_reason;      // of a rejection or a failure
    bool unknown_to_worker = false;  // a renewal did not list it
  };
  struct gang {
    std::map<std::string, task> tasks;
    std::optional<job_state> proposed_in;  // job state at the last proposal
    time_point proposed_at;
  };
  using gang_key = std::pair<job_id, std::uint32_t>;

  auto find_worker(std::string_view name) -> worker*;
  auto find_or_add_gang(const job_record& job, time_point now) -> gang&;
  void add_call(const job_record& job, const assignment& cells, task& t,
                worker_verb verb, time_point now,
                std::vector<gang_action>& actions);
  void propose(const job_record& job, gang& g, command proposed, time_point now,
               std::vector<gang_action>& actions);
  void advance_placing(const job_record& job, gang& g, time_point now,
                       time_point wall, std::vector<gang_action>& actions);
  void advance_running(const job_record& job, gang& g, const site_config& site,
                       time_point now, time_point wall,
                       std::vector<gang_action>& actions);
  void advance_checkpointing(const job_record& job, gang& g, time_point now,
                             time_point wall,
                             std::vector<gang_action>& actions);
  void advance_releasing(const job_record& job, gang& g, time_point now,
                         std::vector<gang_action>& actions);
  void check_overuse(const job_record& job, gang& g, const site_config& site,
                     time_point now, time_point wall,
                     std::vector<gang_action>& actions);
  auto find_lost_worker(const job_record& job, gang& g, time_point now)
      -> std::optional<std::string>;
  void renew_leases(std::span<const job_record* const> jobs, time_point now,
                    std::vector<gang_action>& actions);
  void record_report(std::string_view worker, const task_report& report);
  auto find_task(std::string_view worker, const task_ref& ref) -> task*;

  lease_timing timing_;
  bool leads_ = false;
  time_point leader_since_;
  std::vector<worker> workers_;  // sorted by name
  std::map<std::string, contact, std::less<>> contacts_;
  std::map<gang_key, gang> gangs_;
};

/// Whether recorded failures exclude a worker from new work at `wall`: there
/// are at least `quarantine_failures`, the last one no longer ago than
/// `quarantine`.
auto is_quarantined(std::span<const worker_failure> failures,
                    const policy_config& policy, time_point wall) -> bool;

}  // namespace parsleyledge
