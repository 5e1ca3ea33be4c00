#include "core/jobs/gang_tracker.h"

#include <algorithm>
#include <set>

#include "core/state/state_tables.h"

namespace parsleyledge {

namespace {

// Consecutive reports of overuse after which a task is throttled, or its job
// is ended.
constexpr std::uint32_t throttle_reports = 3;
constexpr std::uint32_t stop_borrowed_reports = 10;
constexpr std::uint32_t stop_claimed_reports = 30;
constexpr double overuse_factor = 1.1;  // of the declared amount
// A job ends as failed after failures on `max_attempts` different workers, or
// after this many times `max_attempts` failures on any.
constexpr std::size_t max_failures_factor = 3;
constexpr milliseconds proposal_retry{2000};

}  // namespace

auto is_quarantined(std::span<const worker_failure> failures,
                    const policy_config& policy, time_point wall) -> bool {
  if (failures.size() < policy.quarantine_failures) return false;
  return wall - failures.back().at < policy.quarantine;
}

void gang_tracker::begin_leadership(time_point now) {
  leads_ = true;
  leader_since_ = now;
  gangs_.clear();
  for (auto& [name, c] : contacts_) {
    c.received_at = std::max(c.received_at, now);
    c.has_reported = false;
    c.renewal_pending = false;
  }
}

auto gang_tracker::find_worker(std::string_view name) -> worker* {
  auto it = std::ranges::lower_bound(workers_, name, {}, &worker::name);
  return it != workers_.end() && it->name == name ? &*it : nullptr;
}

void gang_tracker::handle_announcement(const worker& announced,
                                       std::span<const task_report> reports,
                                       time_point now) {
  auto it =
      std::ranges::lower_bound(workers_, announced.name, {}, &worker::name);
  if (it == workers_.end() || it->name != announced.name) {
    it = workers_.insert(it, announced);
    it->condition = worker_condition::ready;
  } else {
    if (announced.incarnation < it->incarnation) return;
    auto condition = it->condition;
    *it = announced;
    it->condition = condition;
  }
  auto& c = contacts_[announced.name];
  c.received_at = std::max(c.received_at, now);
  c.has_reported = true;
  c.incarnation = announced.incarnation;
  for (const auto& report : reports) record_report(announced.name, report);
}

auto gang_tracker::find_task(std::string_view worker, const task_ref& ref)
    -> task* {
  auto g = gangs_.find({ref.job, ref.attempt});
  if (g == gangs_.end()) return nullptr;
  auto t = g->second.tasks.find(std::string(worker));
  return t == g->second.tasks.end() ? nullptr : &t->second;
}

void gang_tracker::record_report(std::string_view worker,
                                 const task_report& report) {
  auto* t = find_task(worker, report.task);
  if (t == nullptr) return;
  // A report may be older than the recorded state, which never goes back.
  if (!t->state || report.state > *t->state) t->state = report.state;
  if (report.state == task_state::failed) t->failure_reason = report.reason;
  if (report.state != task_state::running) return;
  auto is_exceeded = [](double used, double declared) {
    return declared > 0 && used > declared * overuse_factor;
  };
  bool exceeds = is_exceeded(report.processors, t->cells.processors) ||
                 is_exceeded(static_cast<double>(report.memory_mb),
                             static_cast<double>(t->cells.memory_mb));
  t->overuse = exceeds ? t->overuse + 1 : 0;
}

void gang_tracker::handle_response(const platform_request& request,
                                   const platform_response& response,
                                   time_point sent_at, time_point now) {
  if (const auto* renewal = std::get_if<lease_renewal>(&request)) {
    auto& c = contacts_[renewal->worker];
    c.renewal_pending = false;
    const auto* accepted = std::get_if<worker_accepted>(&response);
    if (accepted == nullptr) return;
    c.received_at = std::max(c.received_at, now);
    c.has_reported = true;
    for (const auto& report : accepted->tasks) {
      record_report(renewal->worker, report);
    }
    for (const auto& ref : renewal->tasks) {
      auto* t = find_task(renewal->worker, ref);
      bool known = std::ranges::any_of(
          accepted->tasks, [&](const auto& r) { return r.task == ref; });
      if (t != nullptr && t->state && !known && t->started_at < sent_at) {
        t->unknown_to_worker = true;
      }
    }
    return;
  }
  const auto& call = std::get<worker_call>(request);
  auto* t = find_task(call.worker, call.task);
  if (t == nullptr) return;
  t->pending_verb.reset();
  if (std::holds_alternative<worker_no_response>(response)) return;
  contacts_[call.worker].received_at =
      std::max(contacts_[call.worker].received_at, now);
  if (const auto* rejected = std::get_if<worker_rejected>(&response)) {
    t->failure_reason = rejected->reason;
    if (t->failure_reason.empty()) t->failure_reason = "refused";
    return;
  }
  switch (call.verb) {
    case worker_verb::prepare:
      if (!t->state) t->state = task_state::prepared;
      break;
    case worker_verb::start:
      t->started_at = now;
      if (!t->state || *t->state < task_state::running) {
        t->state = task_state::running;
      }
      break;
    case worker_verb::stop:
      t->state = task_state::stopped;
      break;
    case worker_verb::checkpoint:
    case worker_verb::throttle:
      break;
  }
}

auto gang_tracker::update_conditions(const failure_table& failures,
                                     const drained_workers& draining,
                                     const policy_config& policy,
                                     time_point now, time_point wall) -> bool {
  bool changed = false;
  for (auto& w : workers_) {
    auto condition = worker_condition::ready;
    auto failed = failures.find(w.name);
    if (now - contacts_[w.name].received_at > timing_.ttl) {
      condition = worker_condition::lost;
    } else if (draining.contains(w.name)) {
      condition = worker_condition::draining;
    } else if (failed != failures.end() &&
               is_quarantined(failed->second, policy, wall)) {
      condition = worker_condition::quarantined;
    }
    changed = changed || condition != w.condition;
    w.condition = condition;
  }
  return changed;
}

auto gang_tracker::roster(const home_table& homes,
                          std::span<const job_record* const> jobs,
                          time_point now) const -> worker_roster {
  worker_roster roster;
  roster.workers = workers_;
  if (!leads_) return roster;
  for (const auto& [name, c] : contacts_) {
    if (c.has_reported) ++roster.reported;
  }
  std::set<std::string> awaited;
  auto await_unknown = [&](std::span<const assignment> cells) {
    for (const auto& a : cells) {
      if (!std::ranges::binary_search(workers_, a.worker, {}, &worker::name)) {
        awaited.insert(a.worker);
      }
    }
  };
  for (const auto& [slot, home] : homes) await_unknown(home);
  for (const auto* job : jobs) await_unknown(job->assignments);
  roster.awaited.assign(awaited.begin(), awaited.end());
  roster.leading = now - leader_since_;
  roster.is_complete =
      roster.awaited.empty() && roster.leading >= timing_.announce_limit;
  return roster;
}

auto gang_tracker::find_or_add_gang(const job_record& job, time_point now)
    -> gang& {
  auto [it, inserted] = gangs_.try_emplace({job.id, job.attempt});
  auto& g = it->second;
  if (inserted) {
    for (const auto& a : job.assignments) {
      auto& t = g.tasks[a.worker];
      t.cells = a;
      // An earlier leader may have renewed the lease just before.
      t.lease_until = now + timing_.ttl + timing_.margin;
      if (const auto* w = find_worker(a.worker)) t.incarnation = w->incarnation;
    }
  }
  return g;
}

void gang_tracker::add_call(const job_record& job, const assignment& cells,
                            task& t, worker_verb verb, time_point now,
                            std::vector<gang_action>& actions) {
  if (t.pending_verb == verb && now - t.requested_at < timing_.retry) return;
  const auto* w = find_worker(cells.worker);
  if (w == nullptr) return;
  if (t.incarnation == 0) t.incarnation = w->incarnation;
  t.pending_verb = verb;
  t.requested_at = now;
  if (verb == worker_verb::prepare || verb == worker_verb::start) {
    t.lease_until = now + timing_.ttl + timing_.margin;
  }
  worker_call call;
  call.worker = cells.worker;
  call.address = w->address;
  call.verb = verb;
  call.task = {job.id, job.attempt, job.fence};
  call.cells = cells;
  if (verb == worker_verb::prepare) call.payload = job.spec.payload;
  call.run_time = job.spec.run_time - job.progress;
  actions.emplace_back(platform_request(std::move(call)));
}

void gang_tracker::propose(const job_record& job, gang& g, command proposed,
                           time_point now, std::vector<gang_action>& actions) {
  if (g.proposed_in == job.state && now - g.proposed_at < proposal_retry) {
    return;
  }
  g.proposed_in = job.state;
  g.proposed_at = now;
  actions.emplace_back(std::move(proposed));
}

auto gang_tracker::find_lost_worker(const job_record& job, gang& g,
                                    time_point now)
    -> std::optional<std::string> {
  for (const auto& a : job.assignments) {
    const auto* w = find_worker(a.worker);
    auto& t = g.tasks[a.worker];
    if (w == nullptr) {
      // A new leader gives workers twice the time to live to announce
      // themselves.
      if (now - leader_since_ > 2 * timing_.ttl) return a.worker;
      continue;
    }
    if (t.incarnation == 0) t.incarnation = w->incarnation;
    bool restarted = w->incarnation != t.incarnation;
    if (restarted || t.unknown_to_worker ||
        w->condition == worker_condition::lost) {
      return a.worker;
    }
  }
  return {};
}

auto gang_tracker::next_actions(std::span<const job_record* const> jobs,
                                const site_config& site, time_point now,
                                time_point wall) -> std::vector<gang_action> {
  std::vector<gang_action> actions;
  std::map<gang_key, gang> current_gangs;
  for (const auto* job : jobs) {
    if (job->assignments.empty()) continue;
    auto& g = find_or_add_gang(*job, now);
    switch (job->state) {
      case job_state::placing:
        advance_placing(*job, g, now, wall, actions);
        break;
      case job_state::running:
        advance_running(*job, g, site, now, wall, actions);
        break;
      case job_state::checkpointing:
        advance_checkpointing(*job, g, now, wall, actions);
        break;
      default:
        advance_releasing(*job, g, now, actions);
        break;
    }
    auto node = gangs_.extract({job->id, job->attempt});
    current_gangs.insert(std::move(node));
  }
  gangs_ = std::move(current_gangs);
  renew_leases(jobs, now, actions);
  return actions;
}

void gang_tracker::advance_placing(const job_record& job, gang& g,
                                   time_point now, time_point wall,
                                   std::vector<gang_action>& actions) {
  auto interrupt = [&](std::string reason) {
    propose(job, g,
            end_attempt{job.id, job.attempt, attempt_result::interrupted, true,
                        "", job.progress, std::move(reason), wall},
            now, actions);
  };
  if (auto lost = find_lost_worker(job, g, now)) {
    interrupt("worker " + *lost + " was lost before the job started");
    return;
  }
  bool ready = true;
  for (const auto& a : job.assignments) {
    auto& t = g.tasks[a.worker];
    if (!t.failure_reason.empty()) {
      interrupt("worker " + a.worker + " did not prepare: " + t.failure_reason);
      return;
    }
    if (t.state) continue;
    ready = false;
    add_call(job, a, t, worker_verb::prepare, now, actions);
  }
  if (ready) {
    propose(job, g, start_job{job.id, job.attempt, wall}, now, actions);
  } else if (wall - job.placed_at > timing_.prepare_limit) {
    interrupt("the workers of the gang did not prepare in time");
  }
}

void gang_tracker::advance_running(const job_record& job, gang& g,
                                   const site_config& site, time_point now,
                                   time_point wall,
                                   std::vector<gang_action>& actions) {
  auto end = [&](attempt_result result, bool requeue, std::string worker,
                 std::string reason) {
    propose(job, g,
            end_attempt{job.id, job.attempt, result, requeue, std::move(worker),
                        job.progress, std::move(reason), wall},
            now, actions);
  };
  std::size_t done = 0;
  for (const auto& a : job.assignments) {
    auto& t = g.tasks[a.worker];
    if (t.state == task_state::failed || !t.failure_reason.empty()) {
      auto failures = job.failed_on;
      failures.push_back(a.worker);
      std::ranges::sort(failures);
      auto last = std::unique(failures.begin(), failures.end());
      auto count = static_cast<std::uint32_t>(last - failures.begin());
      bool may_retry = count < site.policy.max_attempts &&
                       job.failed_on.size() + 1 <
                           max_failures_factor * site.policy.max_attempts;
      end(attempt_result::failed, may_retry, a.worker,
          "failed on worker " + a.worker + ": " + t.failure_reason);
      return;
    }
    if (t.state == task_state::done) {
      ++done;
    } else if (!t.state || *t.state < task_state::running) {
      add_call(job, a, t, worker_verb::start, now, actions);
    }
  }
  if (done == job.assignments.size()) {
    end(attempt_result::done, false, "", "");
    return;
  }
  if (auto lost = find_lost_worker(job, g, now)) {
    end(attempt_result::interrupted, true, "", "worker " + *lost + " was lost");
    return;
  }
  check_overuse(job, g, site, now, wall, actions);
}

void gang_tracker::check_overuse(const job_record& job, gang& g,
                                 const site_config&, time_point now,
                                 time_point wall,
                                 std::vector<gang_action>& actions) {
  for (const auto& a : job.assignments) {
    auto& t = g.tasks[a.worker];
    auto limit = job.claim ? stop_claimed_reports : stop_borrowed_reports;
    if (t.overuse >= limit) {
      propose(job, g,
              end_attempt{
                  job.id, job.attempt, attempt_result::failed, false, "",
                  job.progress,
                  "used more than its declared resources on worker " + a.worker,
                  wall},
              now, actions);
      return;
    }
    if (t.overuse == throttle_reports) {
      add_call(job, a, t, worker_verb::throttle, now, actions);
    }
  }
}

void gang_tracker::advance_checkpointing(const job_record& job, gang& g,
                                         time_point now, time_point wall,
                                         std::vector<gang_action>& actions) {
  bool saved = true;
  for (const auto& a : job.assignments) {
    auto& t = g.tasks[a.worker];
    // A task that has ended has no progress to save.
    if (t.state && *t.state >= task_state::checkpointed) continue;
    saved = false;
    add_call(job, a, t, worker_verb::checkpoint, now, actions);
  }
  bool all_done = std::ranges::all_of(job.assignments, [&](const auto& a) {
    return g.tasks[a.worker].state == task_state::done;
  });
  if (all_done) {
    propose(job, g,
            end_attempt{job.id, job.attempt, attempt_result::done, false, "",
                        job.progress, "", wall},
            now, actions);
  } else if (saved) {
    auto progress = job.progress + (job.checkpoint_at - job.started_at);
    propose(job, g,
            end_attempt{job.id, job.attempt, attempt_result::interrupted, true,
                        "", progress, job.reason, wall},
            now, actions);
  } else if (auto lost = find_lost_worker(job, g, now)) {
    propose(
        job, g,
        end_attempt{job.id, job.attempt, attempt_result::interrupted, true, "",
                    job.progress, "worker " + *lost + " was lost", wall},
        now, actions);
  }
}

void gang_tracker::advance_releasing(const job_record& job, gang& g,
                                     time_point now,
                                     std::vector<gang_action>& actions) {
  release_workers release{job.id, job.attempt, {}};
  for (const auto& a : job.assignments) {
    auto& t = g.tasks[a.worker];
    const auto* w = find_worker(a.worker);
    bool restarted =
        w != nullptr && t.incarnation != 0 && w->incarnation != t.incarnation;
    if (t.state == task_state::stopped || restarted || now >= t.lease_until) {
      if (now - t.released_at < proposal_retry) continue;
      t.released_at = now;
      release.workers.push_back(a.worker);
    } else {
      add_call(job, a, t, worker_verb::stop, now, actions);
    }
  }
  if (release.workers.empty()) return;
  actions.emplace_back(command(std::move(release)));
}

void gang_tracker::renew_leases(std::span<const job_record* const> jobs,
                                time_point now,
                                std::vector<gang_action>& actions) {
  std::map<std::string_view, std::vector<task_ref>> tasks;
  for (const auto* job : jobs) {
    if (!is_placed(job->state)) continue;
    for (const auto& a : job->assignments) {
      tasks[a.worker].push_back({job->id, job->attempt, job->fence});
    }
  }
  for (const auto& w : workers_) {
    auto& c = contacts_[w.name];
    if (now - c.renewal_sent_at < timing_.renewal) continue;
    if (c.renewal_pending && now - c.renewal_sent_at < timing_.retry) continue;
    auto it = tasks.find(w.name);
    if (it == tasks.end()) continue;
    c.renewal_sent_at = now;
    c.renewal_pending = true;
    for (const auto& ref : it->second) {
      if (auto* t = find_task(w.name, ref)) {
        t->lease_until = now + timing_.ttl + timing_.margin;
      }
    }
    actions.emplace_back(platform_request(
        lease_renewal{w.name, w.address, it->second, timing_.ttl}));
  }
}

}  // namespace parsleyledge
