#include "core/fleet/dispatcher.h"

#include <algorithm>
#include <array>

#include "core/fleet/task_name.h"
#include "core/overloaded.h"

namespace parsleyledge::fleet {

namespace {

// How long a poll waits while the state of a run has to be settled, such as the
// end of a stopped run.
constexpr milliseconds unsettled_poll_wait{250};
// While listed ends are not committed, polls serve only to renew the lease.
constexpr milliseconds renewal_interval{1000};

auto is_unsettled(run_phase phase) -> bool {
  return phase == run_phase::inherited || phase == run_phase::stopped ||
         phase == run_phase::unconfirmed;
}

/// Whether a request for the run is in flight.
auto is_requested(const tracked_run& run) -> bool {
  return run.phase == run_phase::starting || run.phase == run_phase::stopping;
}

/// Whether a run may use capacity of its worker. One that is to be stopped does
/// so until its end is listed.
auto may_be_running(const tracked_run& run) -> bool {
  return run.phase != run_phase::to_start || run.start_unconfirmed;
}

auto has_same_attributes(worker_record recorded, const worker_record& reported)
    -> bool {
  recorded.sequence = reported.sequence;
  return recorded == reported;
}

auto reserved_for(const fleet_tables& tables, const task_ref& task)
    -> resources {
  auto job = tables.jobs.find(task.job);
  return job == tables.jobs.end()
             ? resources{}
             : reserved_by(job->second.spec.steps[task.step]);
}

}  // namespace

void dispatcher::begin_leadership(std::uint64_t fence,
                                  const fleet_tables& tables,
                                  clock_reading now) {
  // Workers still carry out starts that were sent with the same fence.
  bool may_start_late = fence_ == fence;
  end_leadership();
  fence_ = fence;
  for (const auto& [name, record] : tables.workers) {
    auto& worker = workers_[name];
    worker.incarnation = record.incarnation;
    worker.reported_at = now.steady;
    worker.report_sequence = record.sequence;
    // An earlier leader may just have granted the longest lease.
    worker.clock.assume_granted_until(longest_lease_end(now.steady));
  }
  for (const auto& [machine, speed] : tables.speeds) {
    speeds_.restore(machine, speed);
  }
  evacuations_.restore(tables);
  inherit_runs(tables, may_start_late, now);
  synchronize_runs(tables, now);
  auto to_stop = std::ranges::count_if(runs_, [](const auto& item) {
    return item.second.phase == run_phase::to_stop;
  });
  log_decision("leading", {{"fence", std::to_string(fence)},
                           {"runs", std::to_string(runs_.size())},
                           {"to_stop", std::to_string(to_stop)},
                           {"workers", std::to_string(workers_.size())}});
}

// The end of the longest lease that a worker can grant at `from`: its clock may
// run 2 % slow.
auto dispatcher::longest_lease_end(time_point from) const -> time_point {
  return from + limits_.max_lease * 100 / 98;
}

void dispatcher::end_leadership() {
  fence_ = 0;
  workers_.clear();
  runs_.clear();
  tracked_jobs_.clear();
  requests_.clear();
  proposed_placements_.clear();
  committed_proposals_.clear();
  reclaim_reservations_.clear();
  reclaim_tried_at_.clear();
  gang_reservations_.clear();
  waiting_since_.clear();
  waits_.clear();
  gang_losses_.clear();
  failed_steps_ = {};
  tickets_ = {};
  pending_advice_.reset();
  next_advice_at_ = {};
  drains_.clear();
  evacuations_ = {};
  machine_list_request_ = 0;
  failing_jobs_.clear();
  lost_runs_.clear();
  effects_.clear();
}

auto dispatcher::take_effects() -> std::vector<effect> {
  return std::exchange(effects_, {});
}

void dispatcher::log_decision(
    std::string_view event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  effects_.emplace_back(decision{event, std::move(fields)});
}

auto dispatcher::propose_command(command proposed) -> std::uint64_t {
  auto token = next_id_++;
  effects_.emplace_back(propose{token, std::move(proposed)});
  return token;
}

auto dispatcher::handle_report(const fleet_tables& tables,
                               const worker_report& report, clock_reading now)
    -> std::optional<command> {
  auto known = tables.workers.find(report.incarnation.name);
  bool is_known = known != tables.workers.end();
  if (is_known && known->second.incarnation.started_at_ms >
                      report.incarnation.started_at_ms)
    return {};
  auto& worker = workers_[report.incarnation.name];
  if (worker.incarnation != report.incarnation) {
    worker = {};
    worker.incarnation = report.incarnation;
    // A poll of the earlier incarnation may still reach this one, whose clock
    // has started again, and grant it the longest lease.
    worker.clock.assume_granted_until(
        longest_lease_end(now.steady + limits_.request_timeout));
    resynchronize_all_ = true;
  }
  bool is_stale = report.sequence < worker.report_sequence;
  if (!is_stale) {
    worker.report_sequence = report.sequence;
    worker.reported_at = now.steady;
    if (report.clock_ms) worker.clock.sample(*report.clock_ms, now.steady);
    if (report.draining) worker.drain_deadline = now.steady + report.remaining;
  }
  worker_record reported{
      report.incarnation, report.address, report.machine, report.service,
      report.data_centre, report.rack,    report.labels,  report.capacity,
      report.draining,    report.sequence};
  bool is_unchanged = is_known && has_same_attributes(known->second, reported);
  // A draining worker accepts no work again in the same incarnation.
  bool ends_drain = is_known &&
                    known->second.incarnation == report.incarnation &&
                    known->second.draining && !report.draining;
  if (is_unchanged || ends_drain || is_stale) return {};
  std::vector<suspected_run> suspects;
  for (const auto& [name, record] : tables.workers) {
    bool same_machine =
        !report.machine.empty() && record.machine == report.machine;
    bool ends =
        (name == report.incarnation.name || same_machine) &&
        record.incarnation.started_at_ms < report.incarnation.started_at_ms;
    if (!ends) continue;
    auto found = crash_suspects(tables, record.incarnation);
    suspects.insert(suspects.end(), found.begin(), found.end());
  }
  return put_worker{std::move(reported), std::move(suspects)};
}

// A worker drains before it leaves. A departure without a start time that names
// a worker which does not drain may have been delayed, and be of an earlier
// incarnation: to remove the record would end the runs of the later one in the
// tables while they go on.
auto dispatcher::handle_departure(const fleet_tables& tables,
                                  const worker_incarnation& departed) const
    -> std::optional<command> {
  auto known = tables.workers.find(departed.name);
  if (known == tables.workers.end()) return {};
  const auto& record = known->second;
  bool is_recorded = departed.started_at_ms == 0
                         ? record.draining
                         : departed == record.incarnation;
  if (!is_recorded) return {};
  return remove_worker{record.incarnation, {}};
}

auto dispatcher::handle_change(const fleet_tables& tables, clock_reading now)
    -> std::vector<effect> {
  if (!is_leader()) return {};
  synchronize_runs(tables, now);
  for (auto& [name, worker] : workers_)
    acknowledge_committed_ends(tables, worker);
  plan_placements(tables, now);
  dispatch_to_workers(tables, now);
  return take_effects();
}

auto dispatcher::tick(const fleet_tables& tables, clock_reading now)
    -> std::vector<effect> {
  if (!is_leader()) return {};
  for (auto& [name, worker] : workers_) {
    if (worker.runs.empty() || worker.missed_responses < 2) continue;
    if (!worker.clock.has_expired(now.steady)) continue;
    mark_runs_lost(tables, worker.incarnation, lease_over{}, now);
  }
  for (const auto& [name, worker] : workers_) drain_worker(tables, worker, now);
  move_evacuated_work(tables, now);
  record_learned_speeds(now);
  advance_waves(tables, now);
  plan_placements(tables, now);
  dispatch_to_workers(tables, now);
  return take_effects();
}

void dispatcher::move_evacuated_work(const fleet_tables& tables,
                                     clock_reading now) {
  evacuations_.synchronize(tables);
  if (evacuations_.is_choice_due(now.steady)) {
    auto pass = begin_pass(tables, now);
    renew_gang_reservations(tables, pass, now);
    auto may_stop = [&](const task_ref& task) {
      return can_stop_for_maintenance(tables, task);
    };
    auto moved = evacuations_.choose_moves(
        {tables, *site_, runs_, pass, now.steady, may_stop});
    for (const auto& task : moved)
      stop_run(runs_.at(task), data_centre_evacuated{});
  }
  for (auto& one : evacuations_.take_decisions())
    effects_.emplace_back(std::move(one));
}

void dispatcher::record_learned_speeds(clock_reading now) {
  if (now.steady - speeds_recorded_at_ < limits_.speed_record_interval) return;
  speeds_recorded_at_ = now.steady;
  speeds_.update();
  auto changes = speeds_.take_changes();
  if (changes.empty()) return;
  log_decision("speeds_learned",
               {{"machines", std::to_string(changes.size())},
                {"known", std::to_string(speeds_.compared_count())}});
  propose_command(record_speeds{std::move(changes)});
}

void dispatcher::dispatch_to_workers(const fleet_tables& tables,
                                     clock_reading now) {
  for (auto& [name, worker] : workers_) dispatch_to_worker(tables, worker, now);
}

void dispatcher::dispatch_to_worker(const fleet_tables& tables,
                                    worker_state& worker, clock_reading now) {
  auto is_due = [&](const tracked_run* run) {
    return (run->phase == run_phase::to_start ||
            run->phase == run_phase::to_stop) &&
           run->next_attempt_at <= now.steady;
  };
  bool has_requests = std::ranges::any_of(worker.runs, is_due);
  if (!has_requests && !needs_poll(worker, now)) return;
  const auto* record = find_worker(tables, worker.incarnation);
  if (record == nullptr) return;
  auto in_flight = static_cast<std::size_t>(std::ranges::count_if(
      worker.runs, [](const tracked_run* run) { return is_requested(*run); }));
  // Stops go first, as they make room for the starts.
  for (auto phase : {run_phase::to_stop, run_phase::to_start}) {
    for (auto* run : worker.runs) {
      if (in_flight >= limits_.max_requests_per_worker) break;
      if (run->phase != phase || !is_due(run)) continue;
      send_run_request(tables, *record, worker, *run, now);
      if (is_requested(*run)) ++in_flight;
    }
  }
  if (needs_probe(worker, now)) {
    send_poll(*record, worker, milliseconds(0), now);
  } else if (needs_poll(worker, now)) {
    send_poll(*record, worker, poll_wait_for(tables, worker), now);
  }
}

void dispatcher::send_run_request(const fleet_tables& tables,
                                  const worker_record& record,
                                  worker_state& worker, tracked_run& run,
                                  clock_reading now) {
  const auto& ref = run.task;
  if (run.phase == run_phase::to_stop) {
    run.phase = run_phase::stopping;
    send(record, stop_request{ref, run.run}, limits_.request_timeout,
         now.steady);
    return;
  }
  if (lost_runs_.contains(ref)) return;  // its end is proposed
  if (record.draining) {
    return abandon_start(tables, run, "the worker is draining", now);
  }
  if (is_evacuated(tables, record)) {
    return abandon_start(tables, run, "its data centre is evacuated", now);
  }
  if (!is_confirmed(worker, now)) return;  // needs_probe() holds
  if (start_exceeds_capacity(tables, record, worker, run)) {
    return abandon_start(tables, run, "the worker's capacity has shrunk", now);
  }
  auto lease = lease_for(worker, now);
  if (lease == 0) return;  // a poll has to read the worker's clock first
  const auto& job = tables.jobs.at(ref.job);
  const auto& step = job.open.at(ref.occurrence).steps[ref.step];
  const auto& snapshot = job.spec.steps[ref.step].gang
                             ? step.snapshot
                             : step.tasks[ref.index].snapshot;
  const auto* queue = queue_of(*site_, job.spec);
  std::string_view ticket;
  if (queue != nullptr && queue->advice) {
    ticket = tickets_.ticket({ref.job, ref.occurrence, ref.step}, run.worker,
                             now.steady);
    if (ticket.empty())
      return abandon_start(tables, run, "no valid ticket", now);
  }
  run.phase = run_phase::starting;
  worker.clock.record_grant(lease);
  send(record,
       start_request{ref, run.run, job.spec.payload, lease, snapshot,
                     std::string(ticket)},
       limits_.request_timeout, now.steady);
  // Of other starts that is recorded if their worker does not respond, but this
  // one may crash it just before the leader changes.
  if (step.tasks[ref.index].suspected) record_sent_starts(std::array{&run});
}

// Whether the capacity has shrunk so far since the placement that the run does
// not fit beside those that may be running. Other placed runs do not count, so
// that as many start as fit.
auto dispatcher::start_exceeds_capacity(const fleet_tables& tables,
                                        const worker_record& record,
                                        const worker_state& worker,
                                        const tracked_run& run) const -> bool {
  auto used = reserved_for(tables, run.task);
  if (used == resources{} || !exceeds(worker.used, record.capacity)) {
    return false;
  }
  for (const auto* other : worker.runs) {
    if (other != &run && may_be_running(*other))
      used += reserved_for(tables, other->task);
  }
  return exceeds(used, record.capacity);
}

// The end of the lease to grant now, on the worker's clock; 0 while the clock
// is unknown. A worker that does not respond gets no extension: it may receive
// all requests, so its lease would never expire and its runs could not be
// marked as lost.
auto dispatcher::lease_for(const worker_state& worker, clock_reading now) const
    -> std::int64_t {
  if (worker.missed_responses > 0 && worker.clock.latest_end() != 0) {
    return worker.clock.latest_end();
  }
  return worker.clock.lease_end(now.steady, limits_.lease).value_or(0);
}

auto dispatcher::needs_poll(const worker_state& worker, clock_reading now) const
    -> bool {
  if (worker.poll_pending || worker.probe_pending ||
      worker.next_poll > now.steady) {
    return false;
  }
  bool has_unconfirmed_end = worker.confirmed_end < worker.acknowledged;
  // A worker that did not respond is polled while it reports, since only a
  // response makes it usable again.
  bool needs_probe = worker.missed_responses > 0 &&
                     now.steady - worker.reported_at < limits_.report_timeout;
  if (worker.runs.empty() && !has_unconfirmed_end && !needs_probe) return false;
  // Until the listed ends are committed, a poll would list them again.
  return worker.uncommitted.empty() ||
         now.steady - worker.responded_at >= renewal_interval;
}

// Whether a start that is sent now cannot reach a later incarnation of the
// worker, which has the same name and address and would carry it out. The start
// may be in flight for the timeout.
auto dispatcher::is_confirmed(const worker_state& worker,
                              clock_reading now) const -> bool {
  if (worker.confirmed_at == time_point{}) return false;
  auto max_age = std::max(limits_.min_restart_time - limits_.request_timeout,
                          limits_.request_timeout);
  return now.steady - worker.confirmed_at <= max_age;
}

// Whether a start waits for a poll that shows which incarnation is running. A
// poll that waits for an end may be in flight meanwhile.
auto dispatcher::needs_probe(const worker_state& worker,
                             clock_reading now) const -> bool {
  if (worker.probe_pending || worker.next_poll > now.steady ||
      is_confirmed(worker, now)) {
    return false;
  }
  return std::ranges::any_of(worker.runs, [&](const tracked_run* run) {
    return waits_to_start(*run, now);
  });
}

auto dispatcher::waits_to_start(const tracked_run& run, clock_reading now) const
    -> bool {
  return run.phase == run_phase::to_start &&
         run.next_attempt_at <= now.steady && !lost_runs_.contains(run.task);
}

auto dispatcher::poll_wait_for(const fleet_tables& tables,
                               const worker_state& worker) const
    -> milliseconds {
  if (worker.runs.empty()) return milliseconds(0);
  bool has_unsettled_run = std::ranges::any_of(
      worker.runs,
      [](const tracked_run* run) { return is_unsettled(run->phase); });
  if (has_unsettled_run) return unsettled_poll_wait;
  return shares_processors(tables, worker) ? limits_.throttled_poll_wait
                                           : limits_.poll_wait;
}

void dispatcher::send_poll(const worker_record& record, worker_state& worker,
                           milliseconds wait, clock_reading now) {
  auto lease = lease_for(worker, now);
  worker.clock.record_grant(lease);
  (wait.count() > 0 ? worker.poll_pending : worker.probe_pending) = true;
  send(record, poll_request{lease, worker.acknowledged, wait},
       limits_.request_timeout + wait, now.steady);
}

void dispatcher::send(const worker_record& to, worker_request request,
                      milliseconds timeout, time_point now) {
  auto id = next_id_++;
  requests_[id] = {to.incarnation, request, now};
  effects_.emplace_back(send_worker_request{
      id, to.incarnation, to.address, fence_, std::move(request), timeout});
}

}  // namespace parsleyledge::fleet
