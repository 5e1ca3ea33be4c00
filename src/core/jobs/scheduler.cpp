#include "core/jobs/scheduler.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/jobs/cell_map.h"
#include "core/jobs/home_planner.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

using std::chrono::seconds;

constexpr std::size_t max_reclaim_candidates = 8;
constexpr std::size_t max_reserved_ahead = 4;  // gangs
constexpr std::size_t max_reservations = 8;    // jobs
// Longest estimated run time of work in an idle home that has no checkpoint
// and is not urgent: reclaiming the home loses that work.
constexpr seconds idle_home_run_time_limit{300};
// Reservation in advance begins after this fraction of the wait bound.
constexpr int reserve_ahead_divisor = 4;
constexpr seconds aging_time{3600};    // a wait of this length halves the score
constexpr double failure_weight = 10;  // per failure, in the score
constexpr seconds min_estimate{1};
constexpr std::size_t max_listed_workers = 8;  // in the text of a problem

auto need_of(const job_spec& spec) -> gang_need {
  return {spec.gang, spec.processors, spec.memory_mb};
}

auto accelerators_of(const job_record& job) -> std::uint32_t {
  return std::max<std::uint32_t>(job.spec.gang.accelerators, 1);
}

/// Whether `whole` contains all accelerators of `part`.
auto covers(std::span<const assignment> whole, std::span<const assignment> part)
    -> bool {
  return std::ranges::all_of(part, [&](const assignment& p) {
    auto it = std::ranges::find(whole, p.worker, &assignment::worker);
    return it != whole.end() && (p.accelerators & ~it->accelerators) == 0;
  });
}

auto overlaps(std::span<const assignment> a, std::span<const assignment> b)
    -> bool {
  for (const auto& x : a) {
    for (const auto& y : b) {
      if (x.worker == y.worker && (x.accelerators & y.accelerators) != 0) {
        return true;
      }
    }
  }
  return false;
}

/// Needs that did not fit in this pass. A need that asks for at least as much
/// as one of them does not fit either, and is not searched for again.
class unplaceable_needs {
 public:
  void add(const gang_need& need) { needs_.push_back(need); }

  auto covers(const gang_need& need) const -> bool {
    return std::ranges::any_of(needs_, [&](const gang_need& failed) {
      return failed.shape.within >= need.shape.within &&
             failed.shape.accelerators <= need.shape.accelerators &&
             per_accelerator(failed, failed.processors) <=
                 per_accelerator(need, need.processors) &&
             per_accelerator(failed, failed.memory_mb) <=
                 per_accelerator(need, need.memory_mb) &&
             (failed.shape.accelerators == 0) == (need.shape.accelerators == 0);
    });
  }

 private:
  static auto per_accelerator(const gang_need& need, std::uint64_t total)
      -> std::uint64_t {
    auto n = std::max<std::uint32_t>(need.shape.accelerators, 1);
    return (total + n - 1) / n;
  }

  std::vector<gang_need> needs_;
};

/// How many workers have reported to the leader, in which time, and which ones
/// are missing.
auto describe(const worker_roster& roster) -> std::string {
  auto text = std::to_string(roster.reported) +
              (roster.reported == 1 ? " worker has" : " workers have") +
              " reported to the leader, which has led for " +
              std::to_string(roster.leading.count()) + " ms";
  if (roster.awaited.empty()) return text;
  text += "; not yet reported:";
  auto listed = std::min(roster.awaited.size(), max_listed_workers);
  for (std::size_t i = 0; i < listed; ++i) text += " " + roster.awaited[i];
  if (listed < roster.awaited.size()) {
    text += " and " + std::to_string(roster.awaited.size() - listed) + " more";
  }
  return text;
}

/// Why the configuration does not allow a job, or nothing.
auto find_permission_conflict(const job_spec& spec, const site_config& site)
    -> std::optional<std::string> {
  auto customer = site.customers.find(spec.customer);
  if (customer == site.customers.end()) {
    return "customer " + spec.customer + " is not configured";
  }
  if (spec.borrow) return {};
  bool fits =
      std::ranges::any_of(customer->second.guarantees, [&](const auto& item) {
        const auto& shape = item.second.shape;
        return shape.accelerators >= spec.gang.accelerators &&
               shape.within <= spec.gang.within;
      });
  if (!fits) return "no guarantee fits and the job may not borrow";
  return {};
}

/// Why a job does not fit on idle workers, or nothing. It fits if there are
/// none.
auto find_capacity_conflict(const job_spec& spec,
                            std::span<const worker> workers)
    -> std::optional<std::string> {
  if (workers.empty()) return {};
  cell_map cells(workers);
  if (!cells.find(need_of(spec), cell_scope::all, {}).empty()) return {};
  return "no " + std::string(to_string(spec.gang.within)) +
         " has capacity for " + std::to_string(spec.gang.accelerators) +
         " accelerators with " + std::to_string(spec.processors) +
         " processors and " + std::to_string(spec.memory_mb) + " MB";
}

auto reject_job_for_good(std::string detail) -> problem {
  return {422, "Job can never run", std::move(detail), run_outcome::not_run};
}

/// One scheduling pass over all waiting jobs.
class scheduling_pass {
 public:
  explicit scheduling_pass(const schedule_view& view)
      : view_(view), cells_(view.workers) {
    for (const auto* job : view_.jobs) {
      for (const auto& a : job->assignments) cells_.occupy(a);
      if (job->state == job_state::queued && job->assignments.empty()) {
        waiting_.push_back(job);
      }
    }
  }

  auto run(const cell_policy&) -> schedule {
    weights_ = {largest_guaranteed(view_.site),
                view_.site.policy.fragmentation_weight, false};
    large_gang_size_ = large_gang_size();
    mark_claimed_and_borrowed();
    update_homes();
    end_overdue_checkpoints();
    order_queue();
    for (const auto*& job : waiting_) {
      if (!job->reserved.empty() && try_reservation(*job)) job = nullptr;
    }
    std::erase(waiting_, nullptr);
    reserve_ahead_for_large();
    unplaceable_needs failed;
    // Urgent jobs and large gangs past their wait bound are placed before the
    // claims of other jobs, which would otherwise take the cells that were
    // freed for them although they have homes of their own.
    for (const auto*& job : waiting_) {
      if (!has_precedence(*job)) break;
      if (!try_claim(*job)) try_borrow(*job, failed);
      job = nullptr;
    }
    for (const auto*& job : waiting_) {
      if (job != nullptr && try_claim(*job)) job = nullptr;
    }
    std::erase(waiting_, nullptr);
    for (const auto* job : waiting_) try_borrow(*job, failed);
    return std::move(result_);
  }

  auto run(const first_fit&) -> schedule { return run_baseline(true); }
  auto run(const best_fit&) -> schedule { return run_baseline(false); }

 private:
  auto run_baseline(bool first_fit) -> schedule {
    weights_.first_fit = first_fit;
    unplaceable_needs failed;
    for (const auto* job : waiting_) {
      place_free(*job, cell_scope::free, failed);
    }
    return std::move(result_);
  }

  void mark_claimed_and_borrowed() {
    for (const auto* job : view_.jobs) {
      if (job->assignments.empty()) continue;
      if (job->claim) {
        claimed_.push_back(*job->claim);
        continue;
      }
      for (const auto& a : job->assignments) {
        cells_.mark_reclaimable(a);
        if (auto w = cells_.find_worker(a.worker)) {
          borrowers_[*w].push_back(job);
        }
      }
      borrowed_[job->spec.customer] += accelerators_of(*job);
    }
  }

  void update_homes() {
    auto plan = plan_homes(view_.site, view_.homes, claimed_, cells_);
    homes_ = view_.homes;
    for (const auto& slot : plan.change.removed) homes_.erase(slot);
    for (const auto& home : plan.change.homes) homes_[home.slot] = home.cells;
    result_.unmet = std::move(plan.unmet);
    if (!plan.change.homes.empty() || !plan.change.removed.empty()) {
      result_.commands.emplace_back(std::move(plan.change));
    }
  }

  void end_overdue_checkpoints() {
    for (const auto* job : view_.jobs) {
      if (job->state != job_state::checkpointing) continue;
      if (view_.now - job->checkpoint_at < view_.site.policy.checkpoint_grace) {
        continue;
      }
      interrupt(*job, "reclaimed; its checkpoint exceeded the grace period");
    }
  }

  auto estimate(const job_record& job) const -> milliseconds {
    auto it = view_.histories.find(job.spec.customer);
    auto whole = it == view_.histories.end()
                     ? job.spec.run_time
                     : corrected_run_time(it->second.ratios, job.spec.run_time);
    return std::max<milliseconds>(whole - job.progress, min_estimate);
  }

  auto share(const job_record& job) const -> double {
    auto it = view_.site.customers.find(job.spec.customer);
    return it == view_.site.customers.end() ? 1 : it->second.share;
  }

  /// The accelerators from which a gang is large: half the largest guaranteed
  /// shape, or those of the largest worker if no shape above one accelerator is
  /// guaranteed.
  auto large_gang_size() const -> std::uint32_t {
    auto guaranteed = weights_.largest.accelerators;
    if (guaranteed > 1) return std::max<std::uint32_t>(guaranteed / 2, 2);
    std::uint32_t size = 2;
    for (const auto& w : view_.workers) size = std::max(size, w.accelerators);
    return size;
  }

  auto is_starving(const job_record& job) const -> bool {
    return job.spec.gang.accelerators >= large_gang_size_ &&
           view_.now - job.submitted_at >= view_.site.policy.large_job_wait;
  }

  auto has_precedence(const job_record& job) const -> bool {
    return job.spec.urgency == job_urgency::urgent || is_starving(job);
  }

  // Lower scores are placed first. Short and small jobs come first, which
  // lowers the mean completion time. A job's wait and its customer's unused
  // share lower the score.
  auto score(const job_record& job) const -> double {
    auto work = std::chrono::duration<double>(estimate(job)).count() *
                accelerators_of(job);
    auto waited = std::chrono::duration<double>(view_.now - job.submitted_at) /
                  aging_time;
    auto it = borrowed_.find(job.spec.customer);
    double used = it == borrowed_.end() ? 0 : it->second / share(job);
    double total =
        std::max<double>(static_cast<double>(view_.workers.size()), 1);
    // A job that failed before yields to other jobs, so that it does not
    // return to the worker that it failed on at once.
    auto failure_factor =
        1 + failure_weight * static_cast<double>(job.failed_on.size());
    return work * failure_factor * (1 + used / total) / (1 + waited);
  }

  void order_queue() {
    struct ranked {
      int rank;
      double score;
      const job_record* job;
    };
    std::vector<ranked> queue;
    queue.reserve(waiting_.size());
    for (const auto* job : waiting_) {
      if (job->spec.urgency == job_urgency::urgent) {
        queue.push_back(
            {0, static_cast<double>(to_ms(job->submitted_at)), job});
      } else if (is_starving(*job)) {
        queue.push_back(
            {1, static_cast<double>(to_ms(job->submitted_at)), job});
      } else {
        queue.push_back({2, score(*job), job});
      }
    }
    std::ranges::sort(queue, [](const ranked& a, const ranked& b) {
      return std::tie(a.rank, a.score, a.job->id) <
             std::tie(b.rank, b.score, b.job->id);
    });
    for (std::size_t i = 0; i < queue.size(); ++i) waiting_[i] = queue[i].job;
  }

  // Reserves cells in advance for large gangs that approach their wait bound.
  // Work that would still run when a gang is due, and could not be reclaimed,
  // is not placed there any more.
  void reserve_ahead_for_large() {
    auto bound = view_.site.policy.large_job_wait;
    std::vector<const job_record*> due;
    for (const auto* job : waiting_) {
      if (job->spec.gang.accelerators >= large_gang_size_ && job->spec.borrow &&
          job->spec.urgency == job_urgency::normal &&
          view_.now - job->submitted_at >= bound / reserve_ahead_divisor) {
        due.push_back(job);
      }
    }
    std::ranges::sort(due, {}, [](const auto* job) {
      return std::pair(job->submitted_at, job->id);
    });
    if (due.size() > max_reserved_ahead) due.resize(max_reserved_ahead);
    auto weights = weights_;
    for (const auto* job : due) {
      auto due_at = std::max(job->submitted_at + bound, view_.now);
      auto need = need_of(job->spec);
      auto best = find_cheapest_reclaim(*job, need, weights, due_at);
      reserve_ahead(best.cells, due_at);
    }
  }

  /// Cells for a gang, and the jobs to stop so that they become free. `loss` is
  /// the work that the jobs would repeat, in accelerator seconds.
  struct reclaim_plan {
    std::vector<assignment> cells;
    std::vector<const job_record*> victims;
    double loss = 0;
  };

  /// The cells whose victims lose the least work if stopped at `at`. Empty if
  /// the gang does not fit even with reclaim.
  auto find_cheapest_reclaim(const job_record& job, const gang_need& need,
                             const placement_weights& weights, time_point at)
      -> reclaim_plan {
    mark_reclaimable_for(job);
    auto found = cells_.find(need, cell_scope::reclaimable, weights,
                             max_reclaim_candidates);
    reclaim_plan best;
    for (const auto& candidate : found) {
      auto cells = cells_.assignments(candidate.cells, need);
      auto victims = victims_of(cells, &job);
      double loss = 0;
      for (const auto* v : victims) loss += loss_of(*v, at);
      if (!best.cells.empty() && loss >= best.loss) continue;
      best = {std::move(cells), std::move(victims), loss};
    }
    return best;
  }

  /// The unclaimed slots of the job's customer that are large enough for it,
  /// the smallest first.
  auto fitting_slots(const job_record& job) const
      -> std::vector<std::pair<guarantee_slot, gang_shape>> {
    std::vector<std::pair<guarantee_slot, gang_shape>> slots;
    auto customer = view_.site.customers.find(job.spec.customer);
    if (customer == view_.site.customers.end()) return slots;
    const auto& gang = job.spec.gang;
    for (const auto& [name, guarantee] : customer->second.guarantees) {
      if (guarantee.shape.accelerators < gang.accelerators ||
          guarantee.shape.within > gang.within || gang.accelerators == 0) {
        continue;
      }
      for (std::uint32_t i = 0; i < guarantee.count; ++i) {
        guarantee_slot slot{job.spec.customer, name, i};
        bool taken = std::ranges::find(claimed_, slot) != claimed_.end();
        if (!taken && homes_.contains(slot)) {
          slots.emplace_back(slot, guarantee.shape);
        }
      }
    }
    std::ranges::stable_sort(
        slots, {}, [](const auto& s) { return s.second.accelerators; });
    return slots;
  }

  /// The cells that a gang uses of a home.
  auto choose_from_home(std::span<const assignment> home,
                        const job_record& job) const
      -> std::vector<assignment> {
    auto rest = job.spec.gang.accelerators;
    std::vector<cell> cells;
    for (const auto& a : home) {
      if (rest == 0) break;
      auto have = static_cast<std::uint32_t>(std::popcount(a.accelerators));
      auto n = std::min(rest, have);
      cells.push_back(
          {*cells_.find_worker(a.worker), choose_buddies(a.accelerators, n)});
      rest -= n;
    }
    return cells_.assignments(cells, need_of(job.spec));
  }

  auto is_available(std::span<const assignment> cells) const -> bool {
    return std::ranges::all_of(cells, [&](const assignment& a) {
      return cells_.is_free(a) && cells_.has_capacity(a);
    });
  }

  /// Places a job on the cells reserved for it if they are free; otherwise
  /// reclaims the jobs that occupy them. False if the reservation is no longer
  /// valid.
  auto try_reservation(const job_record& job) -> bool {
    const auto& claim = job.reserved_claim;
    if (claim) {
      bool taken = std::ranges::find(claimed_, *claim) != claimed_.end();
      auto home = homes_.find(*claim);
      if (taken || home == homes_.end() ||
          !covers(home->second, job.reserved)) {
        return false;
      }
    } else if (!cells_.is_borrowable(job.reserved)) {
      return false;
    }
    if (is_available(job.reserved)) {
      place(job, job.reserved, claim, {});
      return true;
    }
    auto victims = victims_of(job.reserved, claim ? nullptr : &job);
    if (!claim && must_wait_for(job, victims)) {
      reserve_ahead(job.reserved, view_.now);
      return true;
    }
    reclaim(victims, reclaim_reason(job, claim.has_value()));
    if (claim) claimed_.push_back(*claim);
    for (const auto& a : job.reserved) cells_.reserve(a);
    ++reservations_;
    return true;
  }

  // Up to twice its wait bound, a large gang waits for victims without
  // checkpoints to end, because stopping them loses their work. Victims with
  // checkpoints run on meanwhile.
  auto must_wait_for(const job_record& job,
                     std::span<const job_record* const> victims) const -> bool {
    auto waited = view_.now - job.submitted_at;
    if (job.spec.urgency == job_urgency::urgent ||
        waited >= 2 * view_.site.policy.large_job_wait) {
      return false;
    }
    return std::ranges::any_of(victims, [](const job_record* v) {
      return v->state == job_state::running && !v->spec.checkpoint;
    });
  }

  void reserve_ahead(std::span<const assignment> cells, time_point due_at) {
    reserved_ahead_from_ =
        reserved_ahead_from_ ? std::min(*reserved_ahead_from_, due_at) : due_at;
    for (const auto& a : cells) cells_.reserve_ahead(a);
  }

  static auto reclaim_reason(const job_record& job, bool claim) -> std::string {
    if (claim) return "reclaimed for a guarantee of " + job.spec.customer;
    return job.spec.urgency == job_urgency::urgent
               ? "reclaimed for urgent work"
               : "reclaimed for a large gang past its wait bound";
  }

  /// Reserves cells for a job and reclaims the jobs that occupy them, unless
  /// the job must wait for them.
  void reserve(const job_record& job, std::optional<guarantee_slot> claim,
               std::span<const assignment> cells,
               std::span<const job_record* const> victims) {
    if (!claim && must_wait_for(job, victims)) {
      reserve_ahead(cells, view_.now);
    } else {
      reclaim(victims, reclaim_reason(job, claim.has_value()));
      if (claim) claimed_.push_back(*claim);
      for (const auto& a : cells) cells_.reserve(a);
    }
    ++reservations_;
    result_.commands.emplace_back(
        reserve_cells{job.id, std::move(claim), {cells.begin(), cells.end()}});
  }

  auto try_claim(const job_record& job) -> bool {
    auto slots = fitting_slots(job);
    if (slots.empty()) return false;
    // A small job uses a large guarantee only if it fits nowhere outside the
    // homes.
    if (slots.front().second.accelerators >= 2 * accelerators_of(job) &&
        job.spec.borrow && job.spec.urgency == job_urgency::normal &&
        !cells_.find(need_of(job.spec), cell_scope::outside_homes, weights_)
             .empty()) {
      return false;
    }
    struct option {
      const guarantee_slot* slot;
      std::vector<assignment> cells;
      std::vector<const job_record*> victims;
      double loss;
    };
    std::optional<option> best;
    for (const auto& [slot, shape] : slots) {
      auto part = choose_from_home(homes_.at(slot), job);
      if (!std::ranges::all_of(part, [&](const assignment& a) {
            return cells_.fits_proportional_share(a);
          })) {
        continue;
      }
      auto victims = victims_of(part);
      // Jobs placed on these cells in this pass can be reclaimed in the next.
      if (victims.empty() && !is_available(part)) continue;
      double loss = 0;
      for (const auto* v : victims) loss += loss_of(*v, view_.now);
      if (!best || loss < best->loss) {
        best = option{&slot, std::move(part), std::move(victims), loss};
      }
      if (best->victims.empty()) break;
    }
    if (!best) return false;
    if (best->victims.empty()) {
      place(job, best->cells, *best->slot, {});
      return true;
    }
    const auto& shape = slots.front().second;
    if (shape == job.spec.gang) {
      auto outside =
          cells_.find(need_of(job.spec), cell_scope::outside_homes, weights_);
      if (!outside.empty()) {
        auto cells =
            cells_.assignments(outside.front().cells, need_of(job.spec));
        bool fits_share = std::ranges::all_of(cells, [&](const auto& a) {
          return cells_.fits_proportional_share(a);
        });
        if (fits_share) {
          for (const auto& a : homes_.at(slots.front().first)) {
            cells_.remove_home(a);
          }
          place(job, cells, slots.front().first, cells);
          return true;
        }
      }
    }
    reserve(job, *best->slot, best->cells, best->victims);
    return true;
  }

  /// The borrowers to stop so that the assignments become free: those that
  /// `reclaimer` may reclaim, or all of them if it is null, for a claim.
  auto victims_of(std::span<const assignment> wanted,
                  const job_record* reclaimer = nullptr) const
      -> std::vector<const job_record*> {
    std::vector<const job_record*> victims;
    auto add = [&](const job_record* job) {
      if (reclaimer != nullptr && !may_reclaim(*reclaimer, *job)) return;
      if (std::ranges::find(victims, job) == victims.end()) {
        victims.push_back(job);
      }
    };
    for (const auto& a : wanted) {
      auto index = cells_.find_worker(a.worker);
      if (!index) continue;
      auto it = borrowers_.find(*index);
      if (it == borrowers_.end()) continue;
      for (const auto* job : it->second) {
        if (overlaps(job->assignments, {&a, 1})) add(job);
      }
      if (cells_.has_capacity(a)) continue;
      // Other jobs on the worker use the processors or memory it needs.
      for (const auto* job : it->second) add(job);
    }
    return victims;
  }

  // The work that the job would repeat if it were stopped at `at`, in
  // accelerator seconds; zero if its estimate says that it has ended by then.
  auto loss_of(const job_record& job, time_point at) const -> double {
    if (job.state != job_state::running) return 0;
    if (at > view_.now && job.started_at + estimate(job) <= at) return 0;
    seconds grace = view_.site.policy.checkpoint_grace;
    auto lost = job.spec.checkpoint
                    ? std::chrono::duration<double>(grace)
                    : std::chrono::duration<double>(view_.now - job.started_at);
    return lost.count() * accelerators_of(job);
  }

  void interrupt(const job_record& job, std::string_view reason) {
    if (!interrupted_.insert(job.id).second) return;
    result_.commands.emplace_back(
        end_attempt{job.id, job.attempt, attempt_result::interrupted, true, "",
                    job.progress, std::string(reason), view_.now});
  }

  void reclaim(std::span<const job_record* const> victims,
               std::string_view reason) {
    for (const auto* job : victims) {
      if (job->state == job_state::running && job->spec.checkpoint) {
        if (!interrupted_.insert(job->id).second) continue;
        result_.commands.emplace_back(checkpoint_job{
            job->id, job->attempt, std::string(reason), view_.now});
      } else if (job->state == job_state::running ||
                 job->state == job_state::placing) {
        interrupt(*job, reason);
      }
    }
  }

  void place(const job_record& job, std::span<const assignment> cells,
             std::optional<guarantee_slot> claim,
             std::span<const assignment> new_home) {
    if (claim) claimed_.push_back(*claim);
    for (const auto& a : cells) {
      cells_.occupy(a);
      if (claim) cells_.add_home(a, false);
    }
    if (!claim) borrowed_[job.spec.customer] += accelerators_of(job);
    result_.commands.emplace_back(place_job{job.id,
                                            std::move(claim),
                                            {cells.begin(), cells.end()},
                                            {new_home.begin(), new_home.end()},
                                            view_.now});
  }

  // The customer of a guarantee may claim its home at any time, so work that
  // would lose much by a reclaim is not placed in idle homes.
  auto borrow_scope(const job_record& job) const -> cell_scope {
    bool risky = !job.spec.checkpoint &&
                 estimate(job) > idle_home_run_time_limit &&
                 job.spec.urgency == job_urgency::normal;
    return risky ? cell_scope::outside_homes : cell_scope::free;
  }

  auto may_use_reserved_ahead(const job_record& job) const -> bool {
    return job.spec.checkpoint || has_precedence(job) ||
           job.spec.gang.accelerators >= large_gang_size_ ||
           view_.now + estimate(job) <= *reserved_ahead_from_;
  }

  auto place_free(const job_record& job, cell_scope scope,
                  unplaceable_needs& failed) -> bool {
    auto need = need_of(job.spec);
    if (failed.covers(need)) return false;
    auto weights = weights_;
    weights.reserved_ahead =
        !reserved_ahead_from_ || may_use_reserved_ahead(job);
    auto found = cells_.find(need, scope, weights);
    if (found.empty()) {
      // A search of fewer cells does not show that the need fits nowhere.
      if (weights.reserved_ahead && scope == cell_scope::free) failed.add(need);
      return false;
    }
    place(job, cells_.assignments(found.front().cells, need), {}, {});
    return true;
  }

  void try_borrow(const job_record& job, unplaceable_needs& failed) {
    if (!job.spec.borrow) return;
    if (place_free(job, borrow_scope(job), failed)) return;
    bool urgent = job.spec.urgency == job_urgency::urgent;
    if (!urgent && !is_starving(job)) return;
    if (!urgent && reservations_ >= max_reservations) return;
    auto need = need_of(job.spec);
    auto weights = weights_;
    weights.reserved_ahead = true;
    auto best = find_cheapest_reclaim(job, need, weights, view_.now);
    if (!best.cells.empty()) reserve(job, {}, best.cells, best.victims);
  }

  // Urgent work is never reclaimed, and other work only for urgent work or for
  // a larger gang. Work that is already being stopped counts as reclaimable.
  static auto may_reclaim(const job_record& job, const job_record& victim)
      -> bool {
    if (!is_placed(victim.state)) return true;
    if (victim.spec.urgency == job_urgency::urgent) return false;
    return job.spec.urgency == job_urgency::urgent ||
           accelerators_of(victim) < accelerators_of(job);
  }

  void mark_reclaimable_for(const job_record& job) {
    cells_.clear_reclaimable();
    for (const auto* other : view_.jobs) {
      if (other->claim || !may_reclaim(job, *other)) continue;
      for (const auto& a : other->assignments) cells_.mark_reclaimable(a);
    }
  }

  const schedule_view& view_;
  cell_map cells_;
  placement_weights weights_;
  std::uint32_t large_gang_size_ = 0;  // accelerators
  std::vector<const job_record*> waiting_;
  std::vector<guarantee_slot> claimed_;
  home_table homes_;
  std::map<std::uint32_t, std::vector<const job_record*>> borrowers_;
  std::map<std::string, double> borrowed_;  // accelerators, by customer
  std::set<job_id> interrupted_;
  std::size_t reservations_ = 0;  // jobs with reserved cells
  // When the first gang with cells reserved in advance is due.
  std::optional<time_point> reserved_ahead_from_;
  schedule result_;
};

}  // namespace

auto schedule_jobs(const placement_policy& policy, const schedule_view& view)
    -> schedule {
  scheduling_pass current_pass(view);
  return std::visit([&](const auto& p) { return current_pass.run(p); }, policy);
}

auto check_job(const job_spec& spec, std::span<const worker> workers,
               const site_config& site) -> std::optional<problem> {
  auto detail = find_permission_conflict(spec, site);
  if (!detail) detail = find_capacity_conflict(spec, workers);
  if (!detail) return {};
  return reject_job_for_good(std::move(*detail));
}

auto check_job(const job_spec& spec, const worker_roster& roster,
               const site_config& site) -> std::optional<problem> {
  if (auto detail = find_permission_conflict(spec, site)) {
    return reject_job_for_good(std::move(*detail));
  }
  auto detail = find_capacity_conflict(spec, roster.workers);
  if (!detail) return {};
  *detail += "; " + describe(roster);
  if (roster.is_complete) return reject_job_for_good(std::move(*detail));
  return problem{409, "Job cannot run yet",
                 *detail + "; others may still report", run_outcome::not_run};
}

auto check_guarantees(const site_config& site, std::span<const worker> workers)
    -> std::optional<std::string> {
  if (workers.empty()) return {};
  std::vector<worker> whole(workers.begin(), workers.end());
  for (auto& w : whole) w.condition = worker_condition::ready;
  cell_map cells(whole);
  auto plan = plan_homes(site, {}, {}, cells);
  if (plan.unmet.empty()) return {};
  const auto& slot = plan.unmet.front();
  const auto& shape =
      site.customers.at(slot.customer).guarantees.at(slot.guarantee).shape;
  return "customers." + slot.customer + ".guarantees." + slot.guarantee +
         ": gang " + std::to_string(slot.ordinal + 1) + " of " +
         std::to_string(shape.accelerators) + " accelerators in one " +
         std::string(to_string(shape.within)) +
         " does not fit beside the other guarantees";
}

auto check_guarantees(const site_config& site, const worker_roster& roster,
                      std::string_view file) -> std::optional<problem> {
  auto conflict = check_guarantees(site, roster.workers);
  if (!conflict) return {};
  auto detail = std::string(file) + ": " + *conflict + "; " + describe(roster);
  if (roster.is_complete) {
    return problem{422, "Guarantees do not fit", detail, run_outcome::not_run};
  }
  return problem{409, "Guarantees do not fit yet",
                 detail + "; others may still report", run_outcome::not_run};
}

auto largest_guaranteed(const site_config& site) -> gang_shape {
  gang_shape largest{1, adjacency::worker};
  for (const auto& [name, customer] : site.customers) {
    for (const auto& [key, guarantee] : customer.guarantees) {
      if (guarantee.shape.accelerators > largest.accelerators) {
        largest = guarantee.shape;
      }
    }
  }
  return largest;
}

}  // namespace parsleyledge
