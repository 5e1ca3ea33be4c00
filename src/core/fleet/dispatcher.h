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
#include "core/fleet/failure_log.h"
#include "core/fleet/placer.h"
#include "core/fleet/planning_pass.h"
#include "core/fleet/reclaim.h"
#include "core/fleet/speed_table.h"
#include "core/fleet/ticket_cache.h"
#include "core/fleet/tracked_run.h"
#include "core/fleet/worker_state.h"

namespace parsleyledge::fleet {

/// The steady and the wall clock, read together.
struct clock_reading {
  time_point steady;
  time_point wall;
};

/// The leader's decisions: which tasks go to which workers, when work is
/// stopped, and what is made of the workers' words. A pure state machine over
/// the replicated tables: input in, effects out, the time as an argument.
class dispatcher {
 public:
  explicit dispatcher(dispatch_limits limits) : limits_(limits) {}

  /// Begins to lead, with this number as the fence of all requests.
  void begin_leadership(std::uint64_t fence, const fleet_tables& tables,
                        clock_reading now);

  /// Ends the leadership and clears all state that only a leader may use.
  void end_leadership();

  auto is_leader() const -> bool { return fence_ != 0; }
  auto fence() const -> std::uint64_t { return fence_; }

  /// Decides by another configuration from now on.
  void set_config(std::shared_ptr<const site> config) {
    site_ = std::move(config);
    watch_all_anew_ = true;
  }

  /// Handles the report of a worker. Returns the command that has to
  /// be committed before the report may be acknowledged, if there is one.
  auto handle_report(const fleet_tables& tables, const worker_report& said,
                     clock_reading now) -> std::optional<command>;

  /// Handles the response of a worker.
  auto handle_response(const fleet_tables& tables, std::uint64_t id,
                       const worker_response& answer, clock_reading now)
      -> std::vector<effect>;

  /// Handles the response of a queue's policy.
  auto handle_advice(const fleet_tables& tables, std::uint64_t id,
                     const advice_response& answer, clock_reading now)
      -> std::vector<effect>;

  /// Handles the response of the platform of the machines.
  auto handle_machine_response(const fleet_tables& tables, std::uint64_t id,
                               const machine_response& answer,
                               clock_reading now) -> std::vector<effect>;

  /// Records that a proposal is committed; handle_change() follows.
  void handle_commit(std::uint64_t token) { committed_.push_back(token); }

  /// Decides anew after the tables have changed.
  auto handle_change(const fleet_tables& tables, clock_reading now)
      -> std::vector<effect>;

  /// Lets time pass. To be called several times a second.
  auto tick(const fleet_tables& tables, clock_reading now)
      -> std::vector<effect>;

  auto workers() const
      -> const std::map<std::string, worker_state, std::less<>>& {
    return workers_;
  }
  auto speeds() const -> const speed_table& { return speeds_; }
  auto runs() const
      -> const std::unordered_map<task_ref, tracked_run, task_hash>& {
    return runs_;
  }

 private:
  /// A request whose answer has not come.
  struct pending_request {
    worker_incarnation worker;
    worker_request what;
    time_point sent_at;
  };

  /// The runs of a job that are watched, as of a revision of its record.
  struct watched_job {
    std::optional<std::uint64_t> revision;  // none: to be watched anew
    std::vector<task_ref> runs;
  };

  /// Places that are being freed for a step by stopping others.
  struct reservation {
    std::vector<placement> placements;
    time_point until;
  };

  /// The call to a policy that is out.
  struct asked_advice {
    ask_advice what;
    milliseconds validity{0};  // of tickets, by the configuration
    time_point sent_at;
  };

  /// A machine on its way down for maintenance, or down.
  struct closing_machine {
    std::uint64_t wave = 0;
    time_point since;
    std::uint64_t request = 0;  // that is out; 0 if none
    time_point next_try;
    bool begun = false;
    bool over = false;  // its end is proposed
    bool tried = false;
    worker_incarnation incarnation;  // that the maintenance ends, unless a
                                     // request got no answer
    bool incarnation_is_certain = true;
  };

  /// Capacity reserved for a gang, by worker.
  struct gang_reservation {
    std::vector<std::pair<std::string, resources>> amounts;
    time_point since;
  };

  /// Runs that can only be stopped together, and what that would free.
  struct stoppable {
    std::vector<task_ref> tasks;
    victim what;
    std::int64_t accelerators = 0;
    time_point placed_at;
  };

  // Watches of runs in line with the tables, in dispatch_watch.cpp.
  void sweep(const fleet_tables& tables, clock_reading now);
  void forget_what_is_over(const fleet_tables& tables, clock_reading now);
  void watch_job(const job_record& job, watched_job& watched,
                 clock_reading now);
  void watch_step(const job_record& job, const step_ref& ref,
                  watched_job& watched, clock_reading now);
  void watch_run(const step_spec& spec, const task_record& task,
                 const task_ref& name, clock_reading now);
  void unwatch(tracked_run& run, const resources& need);
  void stop_run(tracked_run& run, std::string_view reason);
  void fail_if_out_of_attempts(const job_record& job, clock_reading now);

  // Orders, in dispatcher.cpp; what comes of them, in dispatch_answers.cpp.
  void act(const fleet_tables& tables, clock_reading now);
  void act_on(const fleet_tables& tables, worker_state& worker,
              clock_reading now);
  void act_on_run(const fleet_tables& tables, const worker_record& record,
                  worker_state& worker, tracked_run& run, clock_reading now);
  auto needs_poll(const worker_state& worker, clock_reading now) const -> bool;
  void act_on_worker(const fleet_tables& tables, const worker_record& record,
                     worker_state& worker, clock_reading now);
  auto lease_for(const worker_state& worker, clock_reading now) const
      -> std::int64_t;
  void send(const worker_record& to, worker_request what, milliseconds timeout,
            time_point now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const request_accepted& answer, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const poll_response& answer, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const request_rejected& answer, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const wrong_incarnation& answer, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const worker_unavailable& answer, clock_reading now);
  void handle(const fleet_tables& tables, const pending_request& asked,
              const worker_no_response& answer, clock_reading now);
  auto requested_run(const worker_request& what) -> tracked_run*;
  void note_running(const fleet_tables& tables, worker_state& worker,
                    const poll_response& answer, time_point sent_at,
                    clock_reading now);
  void measure(const fleet_tables& tables, const task_ref& ref,
               const tracked_run& run, std::uint32_t percent,
               clock_reading now);
  void note_ends(const fleet_tables& tables, worker_state& worker,
                 const poll_response& answer, clock_reading now);
  void retain_capacity(const fleet_tables& tables, worker_state& worker,
                       const task_ref& task, clock_reading now);
  void confirm_ends(const fleet_tables& tables, worker_state& worker);
  void give_up_runs(const fleet_tables& tables,
                    const worker_incarnation& incarnation,
                    std::string_view reason, clock_reading now);
  void give_up_start(tracked_run& run, std::string_view reason,
                     clock_reading now);
  void end_as_lost(const task_ref& ref, tracked_run& run,
                   std::string_view reason, clock_reading now);
  void record_learned_speeds(clock_reading now);
  auto propose_command(command what) -> std::uint64_t;
  void note(std::string_view event,
            std::vector<std::pair<std::string_view, std::string>> fields);
  auto take_effects() -> std::vector<effect>;

  // Sound and unsound workers, in dispatch_health.cpp.
  void attribute_failure(worker_state& worker, const task_ref& task,
                         run_end how, clock_reading now);
  void clear_failures(const failure_attribution& attribution);
  void quarantine(worker_state& worker, std::string_view reason,
                  clock_reading now);
  auto is_stalled(const fleet_tables& tables, const tracked_run& run,
                  clock_reading now) const -> bool;
  auto has_other_progress(const worker_incarnation& incarnation,
                          const step_ref& step, clock_reading now) const
      -> bool;
  void restart_stalled(const fleet_tables& tables, const task_ref& ref,
                       clock_reading now);
  void evacuate(const fleet_tables& tables, const worker_state& worker,
                clock_reading now);
  auto time_left(const tracked_run& run, clock_reading now) const
      -> std::optional<milliseconds>;

  // Advice, in dispatch_advice.cpp.
  auto permission_of(const backlog_item& item, const worker_incarnation& worker,
                     clock_reading now) const -> permission;
  void ask_for_advice(const backlog_item& item,
                      std::span<const std::size_t> rows,
                      const planning_pass& pass, clock_reading now);

  // The throttle of backfill tasks, in dispatch_throttle.cpp.
  void throttle_backfill(const fleet_tables& tables, worker_state& worker,
                         const poll_response& answer, clock_reading now);
  auto shares_processors(const fleet_tables& tables,
                         const worker_state& worker) const -> bool;

  // Waves of maintenance, in dispatch_maintenance.cpp.
  using workers_by_machine = std::map<std::string_view, const worker_record*>;
  void run_waves(const fleet_tables& tables, clock_reading now);
  void note_returns(std::uint64_t number, const wave_record& wave,
                    const workers_by_machine& by_machine, clock_reading now);
  void choose_machines(std::uint64_t number, const wave_record& wave,
                       const workers_by_machine& by_machine, clock_reading now);
  void empty_machine(const fleet_tables& tables, std::string_view machine,
                     closing_machine& closing, const worker_record* record,
                     clock_reading now);
  auto can_spare_one(const fleet_tables& tables, const task_ref& task) const
      -> bool;
  void end_maintenance(std::string_view machine, closing_machine& closing,
                       std::string_view reason);
  void handle_maintenance_rejection(std::string_view machine,
                                    closing_machine& closing,
                                    machine_rejection why, clock_reading now);
  void ask_for_machines(clock_reading now);
  void note_listed(const machine_list& listed);

  // Capacity reserved for gangs that wait, in dispatch_hold.cpp.
  void renew_holds(const fleet_tables& tables, planning_pass& pass,
                   clock_reading now);
  void hold_place(const backlog_item& item, const fleet_tables& tables,
                  std::span<const candidate> candidates,
                  std::span<const std::size_t> rows, const placement_need& need,
                  planning_pass& pass, clock_reading now);
  auto available_without_lower(const fleet_tables& tables,
                               const worker_record& record,
                               std::uint32_t priority) const -> resources;
  auto candidates_for(const backlog_item& item,
                      std::span<const std::size_t> rows,
                      const planning_pass& pass) const
      -> std::vector<candidate>;

  // Placement, in dispatch_plan.cpp.
  void plan(const fleet_tables& tables, clock_reading now);
  auto begin_pass(const fleet_tables& tables, clock_reading now) const
      -> planning_pass;
  void settle_reservations(const fleet_tables& tables, clock_reading now);
  auto is_planned(const step_ref& step) const -> bool;
  auto need_of(const backlog_item& item, clock_reading now) const
      -> placement_need;
  void place(const backlog_item& item, const fleet_tables& tables,
             planning_pass& pass, clock_reading now);
  auto is_guaranteed(const backlog_item& item, const fleet_tables& tables) const
      -> bool;
  auto urgent_use(const fleet_tables& tables) const
      -> std::map<std::string_view, std::int64_t>;
  auto guarantee_of(std::string_view customer) const -> std::int64_t;
  void add_stoppable(const job_record& job, const step_ref& ref,
                     const std::map<std::string_view, std::size_t>& index,
                     clock_reading now, std::vector<stoppable>& found) const;
  auto find_victims(const fleet_tables& tables, const backlog_item& item,
                    bool guaranteed,
                    const std::map<std::string_view, std::size_t>& index,
                    clock_reading now) const -> std::vector<stoppable>;
  void reclaim(const backlog_item& item, const fleet_tables& tables,
               std::span<const candidate> candidates,
               std::span<const std::size_t> rows, placement_need need,
               planning_pass& pass, clock_reading now);
  auto is_usable(const worker_record& record, const worker_state& worker,
                 clock_reading now) const -> bool;
  auto make_placements(const backlog_item& item, std::span<const choice> chosen,
                       std::span<const std::size_t> rows,
                       const planning_pass& pass) const
      -> std::vector<placement>;

  dispatch_limits limits_;
  std::shared_ptr<const site> site_ = std::make_shared<site>();
  std::uint64_t fence_ = 0;  // 0 while it does not lead
  std::uint64_t next_id_ = 1;
  std::map<std::string, worker_state, std::less<>> workers_;
  std::unordered_map<task_ref, tracked_run, task_hash> runs_;
  std::map<job_id, watched_job> watched_;
  bool watch_all_anew_ = false;
  time_point swept_at_;  // when what is over was last forgotten
  std::map<std::uint64_t, pending_request> requests_;
  std::map<std::uint64_t, std::vector<placement>> planned_;  // by token
  // Committed proposals that the use of workers does not count yet.
  std::vector<std::uint64_t> committed_;
  std::map<step_ref, reservation> reservations_;
  std::map<step_ref, time_point> reclaim_tried_;
  std::map<step_ref, gang_reservation> held_;
  speed_table speeds_;
  time_point speeds_recorded_at_;
  failure_log failed_steps_;
  ticket_cache tickets_;
  std::optional<asked_advice> asked_;
  time_point advice_after_;  // the policy is busy until then
  std::map<std::string, closing_machine, std::less<>> closing_;  // by machine
  std::uint64_t listing_ = 0;  // the list of machines that is asked for
  time_point listed_at_;
  std::set<job_id> failing_;   // jobs whose end as failed is proposed
  std::set<task_ref> ending_;  // runs whose end as lost is proposed
  std::vector<effect> effects_;
};

}  // namespace parsleyledge::fleet
