#include "job_replay.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>
#include <span>
#include <variant>

#include "core/jobs/cell_map.h"
#include "core/jobs/scheduler.h"
#include "core/overloaded.h"
#include "core/state/replicated_state.h"

namespace parsleyledge::bench {

namespace {

using std::chrono::seconds;

constexpr milliseconds stop_time{500};  // from a stop until cells are free
constexpr milliseconds checkpoint_time{2000};
constexpr milliseconds claim_slack{2000};  // beyond the checkpoint grace
constexpr seconds poll_interval{30};       // of decisions without another event

struct finish_event {
  job_id job;
  std::uint32_t attempt;
};
struct checkpointed_event {
  job_id job;
  std::uint32_t attempt;
};
struct stopped_event {
  job_id job;
  std::uint32_t attempt;
};
struct arrive_event {
  std::size_t index;
};
struct poll_event {};

using event_kind = std::variant<arrive_event, finish_event, checkpointed_event,
                                stopped_event, poll_event>;

struct event {
  time_point at;
  std::uint64_t sequence;
  event_kind kind;

  auto operator>(const event& other) const -> bool {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

auto in_seconds(milliseconds t) -> double {
  return static_cast<double>(t.count()) / 1000;
}

auto quantile(std::vector<double> values, double q) -> double {
  if (values.empty()) return 0;
  auto at = static_cast<std::size_t>(q * static_cast<double>(values.size()));
  at = std::min(at, values.size() - 1);
  std::ranges::nth_element(values,
                           values.begin() + static_cast<std::ptrdiff_t>(at));
  return values[at];
}

auto mean(std::span<const double> values) -> double {
  double sum = 0;
  for (auto v : values) sum += v;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

class replayer {
 public:
  replayer(const job_mix& mix, const placement_policy& policy)
      : mix_(mix), policy_(policy), cells_(mix.workers) {
    for (std::size_t i = 0; i < mix.arrivals.size(); ++i) {
      push(mix.arrivals[i].at, arrive_event{i});
    }
    largest_guarantee_ = largest_guaranteed(mix.site);
    for (const auto& a : mix.arrivals) {
      max_gang_size_ = std::max(max_gang_size_, a.spec.gang.accelerators);
    }
    for (const auto& w : mix.workers) accelerators_ += w.accelerators;
  }

  auto run() -> replay_result {
    now_ = mix_.arrivals.front().at;
    auto last_arrival = mix_.arrivals.back().at;
    push(now_ + poll_interval, poll_event{});
    while (!events_.empty()) {
      auto next = events_.top();
      record_usage(next.at, last_arrival);
      now_ = next.at;
      while (!events_.empty() && events_.top().at == now_) {
        auto e = events_.top();
        events_.pop();
        std::visit([&](const auto& kind) { handle(kind); }, e.kind);
      }
      decide_now();
      if (done_ == mix_.arrivals.size()) break;
      // Ends the replay of a policy that starves jobs.
      if (now_ > last_arrival + std::chrono::hours(72)) break;
    }
    return result();
  }

 private:
  void push(time_point at, event_kind kind) {
    events_.push({at, next_sequence_++, kind});
  }

  auto apply(const command& proposed) -> command_result {
    return state_.apply(proposed, {++index_});
  }

  void record_usage(time_point until, time_point last_arrival) {
    // Only while jobs arrive: after the last arrival the load is lower than
    // requested.
    auto end = std::min(until, last_arrival);
    if (end <= now_) return;
    auto span = in_seconds(end - now_);
    auto free = cells_.free_count();
    measured_time_ += span;
    busy_time_ += span * (accelerators_ - free);
    if (free > 0) {
      fragment_time_ += span * cells_.stranded_count(largest_guarantee_) / free;
      free_time_ += span;
    }
  }

  void handle(const arrive_event& e) {
    const auto& a = mix_.arrivals[e.index];
    auto r = apply(submit_job{a.spec, now_});
    auto id = std::get<job_accepted>(r).job;
    actual_run_times_[id] = a.actual_run_time;
    if (has_open_guarantee(a.spec)) claim_due_[id] = now_;
  }

  auto has_open_guarantee(const job_spec& spec) const -> bool {
    const auto& customer = mix_.site.customers.at(spec.customer);
    for (const auto& [name, guarantee] : customer.guarantees) {
      if (guarantee.shape != spec.gang) continue;
      std::uint32_t used = 0;
      for (auto id : state_.active_jobs()) {
        const auto& job = *state_.find_job(id);
        if (job.spec.customer != spec.customer) continue;
        // Jobs that use the guarantee, or wait ahead of this one and may use it
        // first.
        bool uses = job.claim && job.claim->guarantee == name;
        bool waits = job.state == job_state::queued &&
                     job.spec.gang.accelerators <= spec.gang.accelerators;
        if (uses || waits) ++used;
      }
      if (used < guarantee.count) return true;
    }
    return false;
  }

  void handle(const finish_event& e) {
    const auto* job = current(e.job, e.attempt);
    if (job == nullptr || job->state != job_state::running) return;
    apply(end_attempt{e.job, e.attempt, attempt_result::done, false, "",
                      job->progress, "", now_});
    ++done_;
    const auto& actual = actual_run_times_.at(e.job);
    auto took = in_seconds(now_ - job->submitted_at);
    completion_.push_back(took);
    slowdown_.push_back(took / std::max(in_seconds(actual), 10.0));
    total_work_ += in_seconds(actual) * job->spec.gang.accelerators;
    schedule_release(e.job, e.attempt);
  }

  void handle(const checkpointed_event& e) {
    const auto* job = current(e.job, e.attempt);
    if (job == nullptr || job->state != job_state::checkpointing) return;
    auto progress = job->progress + (job->checkpoint_at - job->started_at);
    lost_work_ +=
        in_seconds(now_ - job->checkpoint_at) * job->spec.gang.accelerators;
    apply(end_attempt{e.job, e.attempt, attempt_result::interrupted, true, "",
                      progress, "reclaimed", now_});
    schedule_release(e.job, e.attempt);
  }

  void handle(const stopped_event& e) {
    const auto* job = state_.find_job(e.job);
    if (job == nullptr || job->attempt != e.attempt) return;
    release_workers release{e.job, e.attempt, {}};
    for (const auto& a : job->assignments) {
      release.workers.push_back(a.worker);
      cells_.release(a);
    }
    apply(release);
  }

  void handle(const poll_event&) { push(now_ + poll_interval, poll_event{}); }

  auto current(job_id id, std::uint32_t attempt) const -> const job_record* {
    const auto* job = state_.find_job(id);
    return job != nullptr && job->attempt == attempt ? job : nullptr;
  }

  void schedule_release(job_id id, std::uint32_t attempt) {
    push(now_ + stop_time, stopped_event{id, attempt});
  }

  void decide_now() {
    std::vector<const job_record*> jobs;
    jobs.reserve(state_.active_jobs().size());
    for (auto id : state_.active_jobs()) jobs.push_back(state_.find_job(id));
    auto started = std::chrono::steady_clock::now();
    auto plan =
        schedule_jobs(policy_, {mix_.workers, jobs, state_.tables().homes,
                                state_.tables().histories, mix_.site, now_});
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - started;
    decision_us_.push_back(took.count());
    for (const auto& c : plan.commands) execute(c);
  }

  void execute(const command& planned) {
    std::visit(overloaded{[&](const place_job& p) { start(p); },
                          [&](const checkpoint_job& c) {
                            apply(planned);
                            ++reclaims_;
                            push(now_ + checkpoint_time,
                                 checkpointed_event{c.job, c.attempt});
                          },
                          [&](const end_attempt& e) {
                            const auto& job = *state_.find_job(e.job);
                            lost_work_ += in_seconds(now_ - job.started_at) *
                                          job.spec.gang.accelerators;
                            ++reclaims_;
                            apply(planned);
                            schedule_release(e.job, e.attempt);
                          },
                          [&](const auto&) { apply(planned); }},
               planned);
  }

  void start(const place_job& p) {
    apply(p);
    const auto& job = *state_.find_job(p.job);
    for (const auto& a : job.assignments) cells_.occupy(a);
    apply(start_job{p.job, job.attempt, now_});
    auto left =
        std::max(actual_run_times_.at(p.job) - job.progress, milliseconds(1));
    push(now_ + left, finish_event{p.job, job.attempt});
    if (job.attempt > 1) return;
    auto waited = in_seconds(now_ - job.submitted_at);
    if (job.spec.gang.accelerators == max_gang_size_)
      large_waits_.push_back(waited);
    if (job.spec.urgency == job_urgency::urgent) urgent_.push_back(waited);
    auto due = claim_due_.find(p.job);
    if (due == claim_due_.end()) return;
    ++claims_;
    auto limit = mix_.site.policy.checkpoint_grace + claim_slack;
    if (now_ - due->second > limit) ++claims_late_;
    claim_due_.erase(due);
  }

  auto result() -> replay_result {
    replay_result r;
    r.mean_completion = mean(completion_);
    r.p95_completion = quantile(completion_, 0.95);
    r.mean_slowdown = mean(slowdown_);
    r.fragmentation = free_time_ > 0 ? fragment_time_ / free_time_ : 0;
    r.large_wait_p99 = quantile(large_waits_, 0.99);
    r.urgent_start_p99 = quantile(urgent_, 0.99);
    r.utilisation = busy_time_ / (measured_time_ * accelerators_);
    r.lost_work = total_work_ > 0 ? lost_work_ / total_work_ : 0;
    r.claims = claims_;
    r.claims_late = claims_late_;
    r.reclaims = reclaims_;
    r.unfinished = mix_.arrivals.size() - done_;
    r.decision_p50_us = quantile(decision_us_, 0.5);
    r.decision_p99_us = quantile(decision_us_, 0.99);
    r.decision_max_us = quantile(decision_us_, 1);
    return r;
  }

  const job_mix& mix_;
  const placement_policy& policy_;
  cell_map cells_;  // for the measurements only
  gang_shape largest_guarantee_;
  std::uint32_t max_gang_size_ = 0;
  double accelerators_ = 0;
  replicated_state state_;
  std::uint64_t index_ = 0;
  std::uint64_t next_sequence_ = 0;
  time_point now_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<job_id, milliseconds> actual_run_times_;
  std::map<job_id, time_point> claim_due_;
  std::size_t done_ = 0;
  std::vector<double> completion_, slowdown_, large_waits_, urgent_;
  std::vector<double> decision_us_;
  double measured_time_ = 0, busy_time_ = 0, fragment_time_ = 0, free_time_ = 0;
  double lost_work_ = 0, total_work_ = 0;
  std::uint64_t claims_ = 0, claims_late_ = 0, reclaims_ = 0;
};

}  // namespace

auto replay(const job_mix& mix, const placement_policy& policy)
    -> replay_result {
  return replayer(mix, policy).run();
}

}  // namespace parsleyledge::bench
