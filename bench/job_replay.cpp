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

constexpr milliseconds stop_time{500};  // from a stop to free cells
constexpr milliseconds checkpoint_time{2000};
constexpr milliseconds claim_slack{2000};  // over the checkpoint grace
constexpr seconds poll{30};                // decisions without an event

struct finish_event {
  job_id job;
  std::uint32_t attempt;
};
struct saved_event {
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

using event_kind = std::variant<arrive_event, finish_event, saved_event,
                                stopped_event, poll_event>;

struct event {
  time_point at;
  std::uint64_t order;
  event_kind what;

  auto operator>(const event& other) const -> bool {
    return std::tie(at, order) > std::tie(other.at, other.order);
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
    largest_ = largest_guaranteed(mix.site);
    for (const auto& a : mix.arrivals) {
      biggest_ = std::max(biggest_, a.spec.gang.accelerators);
    }
    for (const auto& w : mix.workers) total_ += w.accelerators;
  }

  auto run() -> replay_result {
    now_ = mix_.arrivals.front().at;
    auto last_arrival = mix_.arrivals.back().at;
    push(now_ + poll, poll_event{});
    while (!events_.empty()) {
      auto next = events_.top();
      account(next.at, last_arrival);
      now_ = next.at;
      while (!events_.empty() && events_.top().at == now_) {
        auto e = events_.top();
        events_.pop();
        std::visit([&](const auto& what) { handle(what); }, e.what);
      }
      decide_now();
      if (done_ == mix_.arrivals.size()) break;
      // A policy that starves jobs for ever is cut off.
      if (now_ > last_arrival + std::chrono::hours(72)) break;
    }
    return result();
  }

 private:
  void push(time_point at, event_kind what) {
    events_.push({at, order_++, what});
  }

  auto apply(const command& what) -> command_result {
    return state_.apply(what, {++index_});
  }

  void account(time_point until, time_point last_arrival) {
    // Only while jobs arrive: the tail is not the load that was asked for.
    auto end = std::min(until, last_arrival);
    if (end <= now_) return;
    auto span = in_seconds(end - now_);
    auto free = cells_.free_count();
    time_ += span;
    busy_time_ += span * (total_ - free);
    if (free > 0) {
      fragment_time_ += span * cells_.stranded_count(largest_) / free;
      free_time_ += span;
    }
  }

  void handle(const arrive_event& e) {
    const auto& a = mix_.arrivals[e.index];
    auto r = apply(submit_job{a.spec, now_});
    auto id = std::get<job_accepted>(r).job;
    actual_[id] = a.actual;
    if (has_open_guarantee(a.spec)) claim_due_[id] = now_;
  }

  auto has_open_guarantee(const job_spec& spec) const -> bool {
    const auto& customer = mix_.site.customers.at(spec.customer);
    for (const auto& [name, promise] : customer.guarantees) {
      if (promise.shape != spec.gang) continue;
      std::uint32_t used = 0;
      for (auto id : state_.active_jobs()) {
        const auto& job = *state_.find_job(id);
        if (job.spec.customer != spec.customer) continue;
        // Those that hold it, or wait before this job and may use it first.
        bool holds = job.claim && job.claim->guarantee == name;
        bool waits = job.state == job_state::queued &&
                     job.spec.gang.accelerators <= spec.gang.accelerators;
        if (holds || waits) ++used;
      }
      if (used < promise.count) return true;
    }
    return false;
  }

  void handle(const finish_event& e) {
    const auto* job = current(e.job, e.attempt);
    if (job == nullptr || job->state != job_state::running) return;
    apply(end_attempt{e.job, e.attempt, attempt_result::done, false, "",
                      job->progress, "", now_});
    ++done_;
    const auto& actual = actual_.at(e.job);
    auto took = in_seconds(now_ - job->submitted_at);
    completion_.push_back(took);
    slowdown_.push_back(took / std::max(in_seconds(actual), 10.0));
    work_ += in_seconds(actual) * job->spec.gang.accelerators;
    release_later(e.job, e.attempt);
  }

  void handle(const saved_event& e) {
    const auto* job = current(e.job, e.attempt);
    if (job == nullptr || job->state != job_state::checkpointing) return;
    auto progress = job->progress + (job->checkpoint_at - job->started_at);
    lost_ +=
        in_seconds(now_ - job->checkpoint_at) * job->spec.gang.accelerators;
    apply(end_attempt{e.job, e.attempt, attempt_result::interrupted, true, "",
                      progress, "reclaimed", now_});
    release_later(e.job, e.attempt);
  }

  void handle(const stopped_event& e) {
    const auto* job = state_.find_job(e.job);
    if (job == nullptr || job->attempt != e.attempt) return;
    release_workers release{e.job, e.attempt, {}};
    for (const auto& a : job->assignments) {
      release.workers.push_back(a.worker);
      cells_.vacate(a);
    }
    apply(release);
  }

  void handle(const poll_event&) { push(now_ + poll, poll_event{}); }

  auto current(job_id id, std::uint32_t attempt) const -> const job_record* {
    const auto* job = state_.find_job(id);
    return job != nullptr && job->attempt == attempt ? job : nullptr;
  }

  void release_later(job_id id, std::uint32_t attempt) {
    push(now_ + stop_time, stopped_event{id, attempt});
  }

  void decide_now() {
    std::vector<const job_record*> jobs;
    jobs.reserve(state_.active_jobs().size());
    for (auto id : state_.active_jobs()) jobs.push_back(state_.find_job(id));
    auto begun = std::chrono::steady_clock::now();
    auto plan = decide(policy_, {mix_.workers, jobs, state_.tables().homes,
                                 state_.tables().histories, mix_.site, now_});
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begun;
    decision_us_.push_back(took.count());
    for (const auto& c : plan.commands) carry_out(c);
  }

  void carry_out(const command& what) {
    std::visit(
        overloaded{
            [&](const place_job& p) { started(p); },
            [&](const checkpoint_job& c) {
              apply(what);
              ++reclaims_;
              push(now_ + checkpoint_time, saved_event{c.job, c.attempt});
            },
            [&](const end_attempt& e) {
              const auto& job = *state_.find_job(e.job);
              lost_ += in_seconds(now_ - job.started_at) *
                       job.spec.gang.accelerators;
              ++reclaims_;
              apply(what);
              release_later(e.job, e.attempt);
            },
            [&](const auto&) { apply(what); }},
        what);
  }

  void started(const place_job& p) {
    apply(p);
    const auto& job = *state_.find_job(p.job);
    for (const auto& a : job.assignments) cells_.occupy(a);
    apply(start_job{p.job, job.attempt, now_});
    auto left = std::max(actual_.at(p.job) - job.progress, milliseconds(1));
    push(now_ + left, finish_event{p.job, job.attempt});
    if (job.attempt > 1) return;
    auto waited = in_seconds(now_ - job.submitted_at);
    if (job.spec.gang.accelerators == biggest_) large_waits_.push_back(waited);
    if (job.spec.how_urgent == urgency::urgent) urgent_.push_back(waited);
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
    r.utilisation = busy_time_ / (time_ * total_);
    r.lost_work = work_ > 0 ? lost_ / work_ : 0;
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
  cell_map cells_;  // for the measures only
  gang_shape largest_;
  std::uint32_t biggest_ = 0;
  double total_ = 0;
  replicated_state state_;
  std::uint64_t index_ = 0;
  std::uint64_t order_ = 0;
  time_point now_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<job_id, milliseconds> actual_;
  std::map<job_id, time_point> claim_due_;
  std::size_t done_ = 0;
  std::vector<double> completion_, slowdown_, large_waits_, urgent_;
  std::vector<double> decision_us_;
  double time_ = 0, busy_time_ = 0, fragment_time_ = 0, free_time_ = 0;
  double lost_ = 0, work_ = 0;
  std::uint64_t claims_ = 0, claims_late_ = 0, reclaims_ = 0;
};

}  // namespace

auto replay(const job_mix& mix, const placement_policy& policy)
    -> replay_result {
  return replayer(mix, policy).run();
}

}  // namespace parsleyledge::bench
