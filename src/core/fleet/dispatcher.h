#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/fleet/backlog.h"
#include "core/fleet/dispatch_limits.h"
#include "core/fleet/effect.h"
#include "core/fleet/evacuation_tracker.h"
#include "core/fleet/failure_log.h"
#include "core/fleet/placer.h"
#include "core/fleet/planning_pass.h"
#include "core/fleet/reclaim.h"
#include "core/fleet/speed_table.h"
#include "core/fleet/ticket_cache.h"
#include "core/fleet/tracked_run.h"
#include "core/fleet/wait_ledger.h"
#include "core/fleet/worker_state.h"

namespace parsleyledge::fleet {

/// The steady and the wall clock, read together.
struct clock_reading {
  time_point steady;
  time_point wall;
};

/// Decides for the leader which tasks run on which workers and when runs are
/// stopped, and handles the messages of workers, policies and the platform. A
/// state machine over the replicated tables that does no input or output: each
/// function takes an input and the time, and most return the effects that the
/// caller has to carry out.
class dispatcher {
 public:
  explicit dispatcher(dispatch_limits limits) : limits_(limits) {}

  /// Begins the leadership; `fence` goes with all requests. All runs in the
  /// tables are inherited: their state is unknown until a poll lists them.
  /// Those of ended jobs and broken gangs are stopped without waiting for a
  /// poll.
  void begin_leadership(std::uint64_t fence, const fleet_tables& tables,
                        clock_reading now);

  /// Ends the leadership and clears its state. Learned speeds are kept.
  void end_leadership();

  auto is_leader() const -> bool { return fence_ != 0; }

  /// The fence of the current leadership; 0 if there is none.
  auto fence() const -> std::uint64_t { return fence_; }

  /// Replaces the configuration.
  void set_config(std::shared_ptr<const site> config) {
    site_ = std::move(config);
    resynchronize_all_ = true;
  }

  /// Handles the report of a worker. Returns the command that has to be
  /// committed before the report may be acknowledged; nullopt if there is none.
  auto handle_report(const fleet_tables& tables, const worker_report& report,
                     clock_reading now) -> std::optional<command>;

  /// Handles the departure of a worker; `started_at_ms` may be 0 if it is
  /// unknown. Returns the command that has to be committed before the departure
  /// may be acknowledged; nullopt if it is not of the recorded incarnation.
  auto handle_departure(const fleet_tables& tables,
                        const worker_incarnation& departed) const
      -> std::optional<command>;

  /// Handles the response of a worker to the request `id`. A response to an
  /// unknown request is ignored.
  auto handle_response(const fleet_tables& tables, std::uint64_t id,
                       const worker_response& response, clock_reading now)
      -> std::vector<effect>;

  /// Handles the response of a queue's policy to the call `id`.
  auto handle_advice(const fleet_tables& tables, std::uint64_t id,
                     const advice_response& response, clock_reading now)
      -> std::vector<effect>;

  /// Handles the response of the platform of the machines to the request `id`.
  auto handle_machine_response(const fleet_tables& tables, std::uint64_t id,
                               const machine_response& response,
                               clock_reading now) -> std::vector<effect>;

  /// Records that the proposal `token` is committed. The caller then calls
  /// handle_change().
  void handle_commit(std::uint64_t token) {
    committed_proposals_.push_back(token);
  }

  /// Synchronizes with the tables after they have changed, and plans again.
  auto handle_change(const fleet_tables& tables, clock_reading now)
      -> std::vector<effect>;

  /// Handles timeouts and plans again. Called several times a second.
  auto tick(const fleet_tables& tables, clock_reading now)
      -> std::vector<effect>;

  /// The state of all workers by name.
  auto workers() const
      -> const std::map<std::string, worker_state, std::less<>>& {
    return workers_;
  }

  /// The evacuations of data centres.
  auto evacuations() const -> const evacuation_tracker& { return evacuations_; }

  /// The learned speeds of machines.
  auto speeds() const -> const speed_table& { return speeds_; }

  /// The runs that are assigned to a worker.
  auto runs() const
      -> const std::unordered_map<task_ref, tracked_run, task_hash>& {
    return runs_;
  }

 private:
  /// A request to a worker that is in flight.
  struct pending_request {
    worker_incarnation worker;
    worker_request request;
    time_point sent_at;
  };

  /// The tracked runs of a job, as of a revision of its record.
  struct tracked_job {
    std::optional<std::uint64_t> revision;  // none: to be synchronized
    std::vector<task_ref> runs;
  };

  /// Placements of a step whose capacity becomes free once other runs end.
  struct reclaim_reservation {
    std::vector<placement> placements;
    time_point until;
    std::vector<task_ref> ending;  // not stopped unless they run at `stop_at`
    time_point stop_at;
  };

  /// The call to a policy that is in flight.
  struct pending_advice {
    ask_advice request;
    milliseconds validity{0};  // of tickets, as configured
    time_point sent_at;
  };

  /// A machine that is drained for maintenance or under it.
  struct machine_drain {
    std::uint64_t wave = 0;
    time_point since;           // start of the drain, then of the maintenance
    std::uint64_t request = 0;  // in flight; 0 if none
    time_point next_attempt_at;
    bool in_maintenance = false;
    bool end_proposed = false;
    bool request_proposed = false;  // to the log, before it is sent
    bool was_requested = false;     // by this leader or an earlier one
    // The incarnation that the maintenance ends. It is uncertain after a
    // request without a response, which may have begun the maintenance.
    worker_incarnation incarnation;
    bool incarnation_is_certain = true;
  };

  /// What ended the first member of a gang's run.
  struct gang_loss {
    std::uint32_t run = 0;
    loss_cause cause;
  };

  /// Capacity reserved for a gang, by worker.
  struct gang_reservation {
    std::vector<std::pair<std::string, resources>> amounts;
    time_point since;
  };

  /// Runs that can only be stopped together, and the capacity this would free.
  struct stoppable_work {
    std::vector<task_ref> tasks;
    victim as_victim;
    std::int64_t accelerators = 0;
    time_point placed_at;
    // The time until all its runs end by themselves; nullopt if it is unknown.
    std::optional<milliseconds> time_left = milliseconds(0);
  };

  // Synchronization with the tables, in dispatch_tracking.cpp.
  void inherit_runs(const fleet_tables& tables, bool may_start_late,
                    clock_reading now);
  void inherit_throttle(tracked_run& run);
  void synchronize_runs(const fleet_tables& tables, clock_reading now);
  void erase_obsolete_state(const fleet_tables& tables, clock_reading now);
  void track_job(const fleet_tables& tables, const job_record& job,
                 tracked_job& tracked, clock_reading now);
  void track_step(const fleet_tables& tables, const job_record& job,
                  const step_ref& ref, tracked_job& tracked, clock_reading now);
  void track_run(const fleet_tables& tables, const job_record& job,
                 const task_record& task, const task_ref& name,
                 clock_reading now);
  void untrack_run(tracked_run& run, const resources& reserved);
  void stop_run(tracked_run& run, loss_cause cause);
  void fail_if_hopeless(const job_record& job, clock_reading now);

  // Requests to workers, in dispatcher.cpp; their responses, in
  // dispatch_responses.cpp.
  void dispatch_to_workers(const fleet_tables& tables, clock_reading now);
  void dispatch_to_worker(const fleet_tables& tables, worker_state& worker,
                          clock_reading now);
  void send_run_request(const fleet_tables& tables, const worker_record& record,
                        worker_state& worker, tracked_run& run,
                        clock_reading now);
  auto start_exceeds_capacity(const fleet_tables& tables,
                              const worker_record& record,
                              const worker_state& worker,
                              const tracked_run& run) const -> bool;
  auto needs_poll(const worker_state& worker, clock_reading now) const -> bool;
  auto is_confirmed(const worker_state& worker, clock_reading now) const
      -> bool;
  auto needs_probe(const worker_state& worker, clock_reading now) const -> bool;
  auto waits_to_start(const tracked_run& run, clock_reading now) const -> bool;
  auto poll_wait_for(const fleet_tables& tables,
                     const worker_state& worker) const -> milliseconds;
  void send_poll(const worker_record& record, worker_state& worker,
                 milliseconds wait, clock_reading now);
  auto longest_lease_end(time_point from) const -> time_point;
  auto lease_for(const worker_state& worker, clock_reading now) const
      -> std::int64_t;
  void send(const worker_record& to, worker_request request,
            milliseconds timeout, time_point now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const request_accepted& response, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const poll_response& response, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const request_rejected& response, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const wrong_incarnation& response, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const worker_unavailable& response, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& pending,
              const worker_no_response& response, clock_reading now);
  auto find_requested_run(const worker_request& request) -> tracked_run*;
  void reconcile_running(const fleet_tables& tables, worker_state& worker,
                         const poll_response& response, time_point sent_at,
                         clock_reading now);
  void measure_speed(const fleet_tables& tables, const task_ref& ref,
                     const tracked_run& run, std::uint32_t percent,
                     clock_reading now);
  void stop_unassigned_runs(const fleet_tables& tables,
                            const worker_state& worker,
                            const poll_response& response, clock_reading now);
  void handle_ends(const fleet_tables& tables, worker_state& worker,
                   const poll_response& response, clock_reading now);
  void retain_capacity(const fleet_tables& tables, worker_state& worker,
                       const task_ref& task, clock_reading now);
  void acknowledge_committed_ends(const fleet_tables& tables,
                                  worker_state& worker);
  void mark_runs_lost(const fleet_tables& tables,
                      const worker_incarnation& incarnation,
                      const loss_cause& cause, clock_reading now);
  void log_unconfirmed_stop(tracked_run& run);
  void abandon_start(const fleet_tables& tables, tracked_run& run,
                     std::string_view reason, clock_reading now);
  void mark_lost(const fleet_tables& tables, tracked_run& run, loss_cause cause,
                 clock_reading now);
  void record_learned_speeds(clock_reading now);
  auto propose_command(command proposed) -> std::uint64_t;
  void log_decision(
      std::string_view event,
      std::vector<std::pair<std::string_view, std::string>> fields);
  auto take_effects() -> std::vector<effect>;

  // Failures, stalled runs and draining workers, in dispatch_health.cpp.
  void attribute_failure(worker_state& worker, const task_ref& task,
                         run_end outcome, clock_reading now);
  void clear_failures(const failure_attribution& attribution);
  void quarantine(worker_state& worker, std::string_view reason,
                  clock_reading now);
  auto crash_suspects(const fleet_tables& tables,
                      const worker_incarnation& ended)
      -> std::vector<suspected_run>;
  void record_sent_starts(std::span<tracked_run* const> runs);
  auto is_stalled(const fleet_tables& tables, const tracked_run& run,
                  clock_reading now) const -> bool;
  auto has_other_progress(const worker_incarnation& incarnation,
                          const step_ref& step, clock_reading now) const
      -> bool;
  void restart_stalled(const fleet_tables& tables, const task_ref& ref,
                       clock_reading now);
  void drain_worker(const fleet_tables& tables, const worker_state& worker,
                    clock_reading now);
  void move_evacuated_work(const fleet_tables& tables, clock_reading now);

  // Advice of the queues' policies, in dispatch_advice.cpp.
  auto permission_of(const backlog_item& item, const worker_incarnation& worker,
                     clock_reading now) const -> permission;
  void request_advice(const backlog_item& item,
                      std::span<const std::size_t> rows,
                      const planning_pass& pass, clock_reading now);

  // The throttle of backfill tasks, in dispatch_throttle.cpp.
  void throttle_backfill(const fleet_tables& tables, worker_state& worker,
                         const poll_response& response, clock_reading now);
  auto shares_processors(const fleet_tables& tables,
                         const worker_state& worker) const -> bool;

  // Waves of maintenance, in dispatch_maintenance.cpp.
  using workers_by_machine = std::map<std::string_view, const worker_record*>;
  void advance_waves(const fleet_tables& tables, clock_reading now);
  void inherit_requested_machines(std::uint64_t number, const wave_record& wave,
                                  clock_reading now);
  void handle_returned_machines(std::uint64_t number, const wave_record& wave,
                                const workers_by_machine& by_machine,
                                clock_reading now);
  void choose_machines(std::uint64_t number, const wave_record& wave,
                       const workers_by_machine& by_machine, clock_reading now);
  void drain_machine(const fleet_tables& tables, std::string_view machine,
                     machine_drain& drain, const worker_record* record,
                     worker_state* worker, clock_reading now);
  auto mark_under_maintenance(const worker_record* record) -> worker_state*;
  auto can_stop_for_maintenance(const fleet_tables& tables,
                                const task_ref& task) const -> bool;
  auto is_at_work(const tracked_run& run) const -> bool;
  void end_maintenance(std::string_view machine, machine_drain& drain,
                       std::string_view reason);
  void handle_maintenance_rejection(std::string_view machine,
                                    machine_drain& drain, machine_rejection why,
                                    clock_reading now);
  void request_machine_list(clock_reading now);
  void handle_machine_list(const machine_list& listed);

  // Records of discarded work and of waiting, in dispatch_accounting.cpp.
  void record_end(const job_record& job, tracked_run& run, run_end outcome,
                  clock_reading now);
  void record_loss(const job_record& job, tracked_run& run,
                   const loss_cause& cause, clock_reading now);
  void record_unlisted_end(const fleet_tables& tables, const job_record& job,
                           tracked_run& run, clock_reading now);
  void attribute_to_gang(work_discarded& lost);
  void record_wait(const backlog_item& item,
                   std::span<const candidate> candidates,
                   const placement_need& need, const planning_pass& pass,
                   clock_reading now);
  void record_pending_wait(const step_ref& step, clock_reading now);
  void finish_wait(const step_ref& step, std::string_view queue,
                   clock_reading now);
  auto unreserved_candidates(const backlog_item& item,
                             std::span<const std::size_t> rows,
                             const planning_pass& pass) const
      -> std::vector<candidate>;

  // Capacity reserved for gangs that wait, in
  // dispatch_gang_reservations.cpp.
  void renew_gang_reservations(const fleet_tables& tables, planning_pass& pass,
                               clock_reading now);
  void reserve_for_gang(const backlog_item& item, const fleet_tables& tables,
                        std::span<const candidate> candidates,
                        std::span<const std::size_t> rows,
                        const placement_need& need, planning_pass& pass,
                        clock_reading now);
  auto available_without_lower_priority(const fleet_tables& tables,
                                        const worker_record& record,
                                        std::uint32_t priority) const
      -> resources;
  auto candidates_for(const backlog_item& item,
                      std::span<const std::size_t> rows,
                      const planning_pass& pass) const
      -> std::vector<candidate>;

  // Placement, in dispatch_plan.cpp.
  void plan_placements(const fleet_tables& tables, clock_reading now);
  static auto trial_of(const fleet_tables& tables, const worker_state& worker)
      -> start_trial;
  auto begin_pass(const fleet_tables& tables, clock_reading now) const
      -> planning_pass;
  void propose_ready_reservations(const fleet_tables& tables,
                                  clock_reading now);
  void stop_ending(const step_ref& step, reclaim_reservation& reservation);
  auto has_pending_placement(const step_ref& step) const -> bool;
  auto need_of(const backlog_item& item, clock_reading now) const
      -> placement_need;
  void place_step(const backlog_item& item, const fleet_tables& tables,
                  planning_pass& pass, clock_reading now);
  void track_waiting(std::span<const backlog_item> backlog, time_point now);
  auto has_waited_long(const backlog_item& item, time_point now) const -> bool;
  auto is_overdue(const backlog_item& item, planning_pass& pass,
                  time_point now) const -> bool;
  auto is_usable(const worker_record& record, const worker_state& worker,
                 clock_reading now) const -> bool;
  auto make_placements(const backlog_item& item, std::span<const choice> chosen,
                       std::span<const std::size_t> rows,
                       const planning_pass& pass) const
      -> std::vector<placement>;

  // Capacity reclaimed for urgent work, in dispatch_reclaim.cpp.
  auto is_guaranteed(const backlog_item& item, const fleet_tables& tables) const
      -> bool;
  auto urgent_accelerators(const fleet_tables& tables) const
      -> std::map<std::string_view, std::int64_t>;
  auto guarantee_of(std::string_view customer) const -> std::int64_t;
  static void limit_stops(std::vector<stoppable_work>& tasks,
                          std::size_t limit);
  auto max_stops(const step_spec& spec, const step_ref& ref) const
      -> std::size_t;
  void add_stoppable_work(const job_record& job, const step_ref& ref,
                          bool guaranteed,
                          const std::map<std::string_view, std::size_t>& index,
                          clock_reading now,
                          std::vector<stoppable_work>& found) const;
  auto find_victims(const fleet_tables& tables, const backlog_item& item,
                    bool guaranteed,
                    const std::map<std::string_view, std::size_t>& index,
                    clock_reading now) const -> std::vector<stoppable_work>;
  void reclaim(const backlog_item& item, const fleet_tables& tables,
               std::span<const candidate> candidates,
               std::span<const std::size_t> rows, placement_need need,
               planning_pass& pass, clock_reading now);
  static void wait_for_ends(const backlog_item& item,
                            std::span<stoppable_work> found);

  dispatch_limits limits_;
  std::shared_ptr<const site> site_ = std::make_shared<site>();
  std::uint64_t fence_ = 0;  // 0 if not the leader
  std::uint64_t next_id_ = 1;
  std::map<std::string, worker_state, std::less<>> workers_;
  std::unordered_map<task_ref, tracked_run, task_hash> runs_;
  std::map<job_id, tracked_job> tracked_jobs_;
  bool resynchronize_all_ = false;
  time_point cleaned_up_at_;  // last call of erase_obsolete_state()
  std::map<std::uint64_t, pending_request> requests_;
  std::map<std::uint64_t, std::vector<placement>>
      proposed_placements_;  // by token
  // Proposals that are committed but not yet counted in the used capacity of
  // workers.
  std::vector<std::uint64_t> committed_proposals_;
  std::map<step_ref, reclaim_reservation> reclaim_reservations_;
  std::map<step_ref, time_point> reclaim_tried_at_;
  std::map<step_ref, gang_reservation> gang_reservations_;
  // Since when steps wait, of jobs of which nothing runs and of long-running
  // tasks.
  std::map<step_ref, time_point> waiting_since_;
  wait_ledger waits_;
  std::map<step_ref, gang_loss> gang_losses_;  // of the latest run
  speed_table speeds_;
  time_point speeds_recorded_at_;
  failure_log failed_steps_;
  ticket_cache tickets_;
  std::optional<pending_advice> pending_advice_;
  time_point next_advice_at_;  // the policy is busy until then
  std::map<std::string, machine_drain, std::less<>> drains_;  // by machine
  evacuation_tracker evacuations_;
  // The request for the list of machines in flight; 0 if none.
  std::uint64_t machine_list_request_ = 0;
  time_point machine_list_requested_at_;
  std::set<job_id> failing_jobs_;  // jobs whose end as failed is proposed
  std::set<task_ref> lost_runs_;   // runs whose end as lost is proposed
  std::vector<effect> effects_;
};

}  // namespace parsleyledge::fleet
