#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <set>

#include "core/jobs/cell_map.h"
#include "core/jobs/gang_tracker.h"
#include "core/jobs/home_planner.h"
#include "core/jobs/scheduler.h"
#include "core/state/replicated_state.h"

using namespace parsleyledge;

namespace {

using std::chrono::seconds;

/// A few racks of workers and a replicated state. The scheduler's commands are
/// applied at once; starts, stops and ends happen only when the test asks for
/// them.
class simulated_site {
 public:
  explicit simulated_site(std::uint32_t racks = 3,
                          std::uint32_t workers_per_rack = 3) {
    for (std::uint32_t r = 0; r < racks; ++r) {
      for (std::uint32_t i = 0; i < workers_per_rack; ++i) {
        worker w;
        w.name = "w" + std::to_string(r) + std::to_string(i);
        w.data_centre = "dc" + std::to_string(r % 2);
        w.rack = "r" + std::to_string(r);
        w.processors = 64;
        w.memory_mb = 64'000;
        w.accelerators = 8;
        workers.push_back(w);
      }
    }
    site.policy.checkpoint_grace = seconds(5);
    site.policy.large_job_wait = seconds(100);
  }

  void guarantee_to(const std::string& customer, std::uint32_t accelerators,
                    adjacency within, std::uint32_t count) {
    site.customers[customer].guarantees["g"] = {{accelerators, within}, count};
  }

  auto submit(job_spec spec) -> job_id {
    site.customers[spec.customer];
    spec.key = std::to_string(++keys_);
    auto r = apply(submit_job{std::move(spec), now});
    return std::get<job_accepted>(r).job;
  }

  auto apply(const command& cmd) -> command_result {
    return state.apply(cmd, {++index_});
  }

  auto run_scheduler() -> schedule {
    std::vector<const job_record*> jobs;
    for (auto id : state.active_jobs()) jobs.push_back(state.find_job(id));
    auto plan =
        schedule_jobs(cell_policy{}, {workers, jobs, state.tables().homes,
                                      state.tables().histories, site, now});
    for (const auto& c : plan.commands) {
      auto r = apply(c);
      if (const auto* rejected = std::get_if<problem>(&r)) {
        throw std::runtime_error("command rejected: " + rejected->detail);
      }
    }
    return plan;
  }

  /// Starts every placed gang, completes every checkpoint, and releases the
  /// workers of ended attempts.
  void confirm_actions() {
    std::vector<job_id> active(state.active_jobs().begin(),
                               state.active_jobs().end());
    for (auto id : active) {
      const auto& job = *state.find_job(id);
      if (job.state == job_state::placing) {
        apply(start_job{id, job.attempt, now});
      } else if (job.state == job_state::checkpointing) {
        apply(end_attempt{id, job.attempt, attempt_result::interrupted, true,
                          "", now - job.started_at, "reclaimed", now});
      } else if (!is_placed(job.state)) {
        release_workers all{id, job.attempt, {}};
        for (const auto& a : job.assignments) all.workers.push_back(a.worker);
        apply(all);
      }
    }
  }

  void end(job_id id, attempt_result result = attempt_result::done) {
    const auto& job = *state.find_job(id);
    apply(end_attempt{id, job.attempt, result, false, "", {}, "", now});
  }

  auto state_of(job_id id) const -> job_state {
    return state.find_job(id)->state;
  }

  std::vector<worker> workers;
  site_config site;
  replicated_state state;
  time_point now = at_ms(1'000'000'000);

 private:
  std::uint64_t index_ = 0;
  int keys_ = 0;
};

auto job(const std::string& customer, std::uint32_t accelerators,
         adjacency within = adjacency::rack) -> job_spec {
  job_spec spec;
  spec.customer = customer;
  spec.gang = {accelerators, within};
  spec.processors = accelerators * 4;
  spec.memory_mb = accelerators * 1000;
  spec.run_time = seconds(1000);
  return spec;
}

auto find_by_name(const simulated_site& s, const std::string& name)
    -> const worker& {
  return *std::ranges::find(s.workers, name, &worker::name);
}

/// Returns the invariant that the tables violate, or an empty string.
auto find_violation(const simulated_site& s, const schedule& plan)
    -> std::string {
  std::map<std::string, std::uint64_t> occupied;
  std::map<std::string, std::uint64_t> claimed;
  for (auto id : s.state.active_jobs()) {
    const auto& j = *s.state.find_job(id);
    std::uint32_t total = 0;
    std::set<std::string> racks;
    std::set<std::string> data_centres;
    for (const auto& a : j.assignments) {
      if ((occupied[a.worker] & a.accelerators) != 0) return "jobs overlap";
      occupied[a.worker] |= a.accelerators;
      if (j.claim) claimed[a.worker] |= a.accelerators;
      total += static_cast<std::uint32_t>(std::popcount(a.accelerators));
      const auto& w = find_by_name(s, a.worker);
      racks.insert(w.data_centre + w.rack);
      data_centres.insert(w.data_centre);
    }
    if (!is_placed(j.state)) continue;
    if (total != j.spec.gang.accelerators) return "gang of the wrong size";
    auto within = j.spec.gang.within;
    if (within == adjacency::worker && j.assignments.size() != 1) {
      return "several workers";
    }
    if (within == adjacency::rack && racks.size() != 1) return "several racks";
    if (data_centres.size() > 1) return "several data centres";
  }
  // Every guarantee slot that is not claimed has a home of its own, free or
  // borrowed, or is reported as unmet.
  std::map<std::string, std::uint64_t> homes;
  std::set<guarantee_slot> claimed_slots;
  for (auto id : s.state.active_jobs()) {
    const auto& j = *s.state.find_job(id);
    if (j.claim) claimed_slots.insert(*j.claim);
  }
  for (const auto& [slot, shape] : guaranteed_slots(s.site)) {
    if (std::ranges::find(plan.unmet, slot) != plan.unmet.end()) continue;
    auto it = s.state.tables().homes.find(slot);
    if (it == s.state.tables().homes.end()) return "missing home not reported";
    std::uint32_t total = 0;
    for (const auto& a : it->second) {
      if ((homes[a.worker] & a.accelerators) != 0) return "homes overlap";
      homes[a.worker] |= a.accelerators;
      total += static_cast<std::uint32_t>(std::popcount(a.accelerators));
      bool claimed_by_owner = claimed_slots.contains(slot);
      if (!claimed_by_owner && (claimed[a.worker] & a.accelerators) != 0) {
        return "a home is occupied by another claim";
      }
      if (!claimed_by_owner &&
          find_by_name(s, a.worker).condition != worker_condition::ready) {
        return "a home on a worker that is not ready";
      }
    }
    if (total != shape.accelerators) return "a home of the wrong size";
  }
  return "";
}

}  // namespace

class scheduler_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scheduler_test);
  CPPUNIT_TEST(buddy_blocks_stay_whole);
  CPPUNIT_TEST(invariants_hold_under_random_events);
  CPPUNIT_TEST(a_guarantee_is_reclaimed_from_borrowers);
  CPPUNIT_TEST(an_overdue_checkpoint_is_ended);
  CPPUNIT_TEST(urgent_work_reclaims_normal_work);
  CPPUNIT_TEST(a_large_gang_does_not_starve);
  CPPUNIT_TEST(homes_move_off_a_lost_rack_or_are_unmet);
  CPPUNIT_TEST(jobs_that_can_never_run_are_refused);
  CPPUNIT_TEST(a_job_is_not_refused_for_good_while_workers_may_report);
  CPPUNIT_TEST(guarantees_that_do_not_fit_are_refused);
  CPPUNIT_TEST(guarantees_are_refused_once_the_roster_is_complete);
  CPPUNIT_TEST(many_jobs_are_cancelled_in_one_command);
  CPPUNIT_TEST_SUITE_END();

 public:
  void buddy_blocks_stay_whole() {
    struct buddy_case {
      std::uint64_t mask;
      std::uint32_t count;
      std::uint64_t expected;
    };
    const buddy_case cases[] = {
        {0xff, 8, 0xff}, {0xff, 2, 0x03}, {0xf1, 1, 0x01},
        {0xf3, 2, 0x03}, {0x5f, 4, 0x0f}, {0xfc, 2, 0x0c},
        {0x6e, 2, 0x0c}, {0x55, 2, 0x05}, {0x7e, 3, 0x0e}};
    for (const auto& c : cases) {
      auto got = choose_buddies(c.mask, c.count);
      CPPUNIT_ASSERT_EQUAL(c.count,
                           static_cast<std::uint32_t>(std::popcount(got)));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got & ~c.mask);
      if (c.mask != 0x7e) CPPUNIT_ASSERT_EQUAL(c.expected, got);
    }
  }

  void invariants_hold_under_random_events() {
    using event = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    bool passed = rc::check(
        "invariants hold after every scheduling pass",
        [](std::vector<event> events) {
          simulated_site s;
          s.guarantee_to("a", 16, adjacency::rack, 2);
          s.guarantee_to("b", 8, adjacency::worker, 2);
          s.guarantee_to("c", 4, adjacency::worker, 1);
          for (auto [kind, x, y] : events) {
            s.now += seconds(x % 40);
            std::vector<job_id> active(s.state.active_jobs().begin(),
                                       s.state.active_jobs().end());
            auto chosen = active.empty() ? job_id{} : active[y % active.size()];
            switch (kind % 8) {
              case 0:
              case 1:
              case 2: {
                auto spec =
                    job(std::string(1, "abcd"[x % 4]), 1 + y % 24,
                        y % 3 == 0 ? adjacency::data_centre : adjacency::rack);
                if (spec.gang.accelerators <= 8 && x % 2 == 0) {
                  spec.gang.within = adjacency::worker;
                }
                spec.checkpoint = x % 3 == 0;
                if (x % 16 == 0) spec.urgency = job_urgency::urgent;
                s.submit(spec);
                break;
              }
              case 3:
                s.confirm_actions();
                break;
              case 4:
                if (!active.empty() &&
                    s.state_of(chosen) == job_state::running) {
                  s.end(chosen);
                }
                break;
              case 5:
                s.apply(cancel_jobs{"", {}, {chosen}, s.now});
                break;
              case 6: {
                auto& w = s.workers[y % s.workers.size()];
                w.condition = worker_condition::lost;
                break;
              }
              case 7:
                s.workers[y % s.workers.size()].condition =
                    worker_condition::ready;
                break;
            }
            auto plan = s.run_scheduler();
            auto violation = find_violation(s, plan);
            if (!violation.empty()) RC_FAIL(violation);
          }
        });
    CPPUNIT_ASSERT(passed);
  }

  void a_guarantee_is_reclaimed_from_borrowers() {
    simulated_site s;
    s.guarantee_to("a", 16, adjacency::rack, 2);
    std::vector<job_id> borrowed;
    for (int i = 0; i < 9; ++i) {
      auto spec = job("b", 8);
      spec.checkpoint = i % 2 == 0;
      spec.run_time = seconds(200);  // short enough for an idle home
      borrowed.push_back(s.submit(spec));
    }
    s.run_scheduler();
    s.confirm_actions();
    for (auto id : borrowed) {
      CPPUNIT_ASSERT(s.state_of(id) == job_state::running);
    }
    auto first = s.submit(job("a", 16));
    auto second = s.submit(job("a", 16));
    auto third = s.submit(job("a", 16));
    s.now += seconds(1);
    s.run_scheduler();  // reclaims the cells
    s.confirm_actions();
    s.run_scheduler();  // places the claims
    s.confirm_actions();
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state.find_job(first)->claim.has_value());
    CPPUNIT_ASSERT(s.state.find_job(second)->claim.has_value());
    // A job beyond the guarantee does not reclaim from others.
    CPPUNIT_ASSERT(s.state_of(third) == job_state::queued);
    int running = 0;
    for (auto id : borrowed) {
      if (is_placed(s.state_of(id))) ++running;
    }
    CPPUNIT_ASSERT_EQUAL(5, running);
  }

  void an_overdue_checkpoint_is_ended() {
    simulated_site s(1, 1);
    s.guarantee_to("a", 8, adjacency::worker, 1);
    auto spec = job("b", 8);
    spec.checkpoint = true;
    auto borrower = s.submit(spec);
    s.run_scheduler();
    s.confirm_actions();
    auto owner = s.submit(job("a", 8));
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state_of(borrower) == job_state::checkpointing);
    s.now += seconds(4);
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state_of(borrower) == job_state::checkpointing);
    s.now += seconds(1);
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state_of(borrower) == job_state::queued);
    s.confirm_actions();
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state_of(owner) == job_state::placing);
  }

  void urgent_work_reclaims_normal_work() {
    simulated_site s(1, 2);
    std::vector<job_id> all{s.submit(job("a", 8)), s.submit(job("a", 8))};
    s.run_scheduler();
    s.confirm_actions();
    auto spec = job("b", 4);
    spec.urgency = job_urgency::urgent;
    auto urgent = s.submit(spec);
    s.run_scheduler();
    s.confirm_actions();
    s.run_scheduler();
    CPPUNIT_ASSERT(s.state_of(urgent) == job_state::placing);
    auto second = job("b", 8);
    second.urgency = job_urgency::urgent;
    auto other = s.submit(second);
    auto third = s.submit(second);
    for (int i = 0; i < 3; ++i) {
      s.run_scheduler();
      s.confirm_actions();
    }
    // Urgent work is not reclaimed for urgent work.
    CPPUNIT_ASSERT(s.state_of(urgent) == job_state::running);
    CPPUNIT_ASSERT(s.state_of(other) == job_state::running);
    CPPUNIT_ASSERT(s.state_of(third) == job_state::queued);
  }

  void a_large_gang_does_not_starve() {
    simulated_site s(1, 3);
    for (int i = 0; i < 24; ++i) s.submit(job("a", 1));
    s.run_scheduler();
    s.confirm_actions();
    auto large = s.submit(job("b", 24));
    // The wait bound is 100 s. Work without checkpoints is reclaimed only
    // after 200 s.
    for (int i = 0; i < 21; ++i) {
      // Small jobs arrive all the time and would use every free accelerator.
      s.submit(job("a", 1));
      s.now += seconds(10);
      s.run_scheduler();
      s.confirm_actions();
    }
    s.run_scheduler();
    CPPUNIT_ASSERT(is_placed(s.state_of(large)));
  }

  void homes_move_off_a_lost_rack_or_are_unmet() {
    simulated_site s(3, 2);
    s.guarantee_to("a", 16, adjacency::rack, 2);
    auto plan = s.run_scheduler();
    CPPUNIT_ASSERT(plan.unmet.empty());
    auto lose_rack = [&](const std::string& rack) {
      for (auto& w : s.workers) {
        if (w.rack == rack) w.condition = worker_condition::lost;
      }
    };
    lose_rack("r0");
    CPPUNIT_ASSERT(s.run_scheduler().unmet.empty());
    lose_rack("r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, s.run_scheduler().unmet.size());
    for (auto& w : s.workers) w.condition = worker_condition::ready;
    CPPUNIT_ASSERT(s.run_scheduler().unmet.empty());
  }

  void jobs_that_can_never_run_are_refused() {
    simulated_site s;
    s.guarantee_to("a", 8, adjacency::worker, 1);
    struct rejection_case {
      job_spec spec;
      const char* expected;
    };
    auto without_borrow = job("a", 16);
    without_borrow.borrow = false;
    auto too_much_memory = job("a", 8, adjacency::worker);
    too_much_memory.memory_mb = 1'000'000;
    const rejection_case cases[] = {
        {job("nobody", 1), "not configured"},
        {job("a", 9, adjacency::worker), "no worker has capacity"},
        {job("a", 25), "no rack has capacity"},
        {job("a", 49, adjacency::data_centre), "no data_centre has capacity"},
        {without_borrow, "no guarantee fits"},
        {too_much_memory, "memory" /* stands for the amount in MB */},
    };
    for (const auto& c : cases) {
      auto rejection = check_job(c.spec, s.workers, s.site);
      CPPUNIT_ASSERT(rejection.has_value());
      std::string expected = c.expected;
      if (expected == "memory") expected = "1000000 MB";
      CPPUNIT_ASSERT_MESSAGE(
          rejection->detail,
          rejection->detail.find(expected) != std::string::npos);
    }
    CPPUNIT_ASSERT(!check_job(job("a", 24), s.workers, s.site).has_value());
    // A lost worker may return, so its capacity still counts.
    for (auto& w : s.workers) w.condition = worker_condition::lost;
    CPPUNIT_ASSERT(!check_job(job("a", 24), s.workers, s.site).has_value());
  }

  void a_job_is_not_refused_for_good_while_workers_may_report() {
    simulated_site s;
    s.site.customers["a"];
    worker_roster roster;
    roster.workers.assign(s.workers.begin(), s.workers.begin() + 2);
    roster.reported = 2;
    auto large = job("a", 24);
    auto early = check_job(large, roster, s.site);
    CPPUNIT_ASSERT(early.has_value());
    CPPUNIT_ASSERT_EQUAL(409, early->status);
    CPPUNIT_ASSERT_MESSAGE(
        early->detail,
        early->detail.find("2 workers have reported") != std::string::npos);
    // More workers do not change what the configuration forbids.
    CPPUNIT_ASSERT_EQUAL(422,
                         check_job(job("nobody", 1), roster, s.site)->status);
    roster.is_complete = true;
    CPPUNIT_ASSERT_EQUAL(422, check_job(large, roster, s.site)->status);
    roster.workers = s.workers;
    CPPUNIT_ASSERT(!check_job(large, roster, s.site).has_value());
  }

  void guarantees_that_do_not_fit_are_refused() {
    simulated_site s;
    s.guarantee_to("a", 24, adjacency::rack, 2);
    CPPUNIT_ASSERT(!check_guarantees(s.site, s.workers).has_value());
    s.guarantee_to("b", 16, adjacency::rack, 2);
    auto error = check_guarantees(s.site, s.workers);
    CPPUNIT_ASSERT(error.has_value());
    CPPUNIT_ASSERT_MESSAGE(
        *error, error->find("customers.b.guarantees.g: gang 2 of 16") !=
                    std::string::npos);
  }

  void guarantees_are_refused_once_the_roster_is_complete() {
    simulated_site s;
    s.guarantee_to("a", 24, adjacency::rack, 1);
    const lease_timing timing;
    gang_tracker tracker(timing);
    auto check = [&](time_point now) {
      std::vector<const job_record*> jobs;
      for (auto id : s.state.active_jobs())
        jobs.push_back(s.state.find_job(id));
      return check_guarantees(
          s.site, tracker.roster(s.state.tables().homes, jobs, now), "a.toml");
    };
    auto status = [&](time_point now) {
      auto rejection = check(now);
      return rejection ? rejection->status : 0;
    };
    auto detail_contains = [&](time_point now, std::string_view part) {
      return check(now)->detail.find(part) != std::string::npos;
    };
    auto lead_at = s.now;
    auto settled_at = lead_at + timing.announce_limit;
    // Announcements that arrive before the leadership is noted do not make the
    // roster complete, however long ago an earlier leadership began.
    tracker.handle_announcement(s.workers[0], {}, lead_at);
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at));
    tracker.begin_leadership(lead_at);
    CPPUNIT_ASSERT(detail_contains(lead_at, "0 workers have reported"));
    tracker.handle_announcement(s.workers[0], {}, lead_at);
    auto later = lead_at + milliseconds(1500);
    CPPUNIT_ASSERT_EQUAL(409, status(later));
    CPPUNIT_ASSERT(detail_contains(later, "a.toml: customers.a.guarantees.g"));
    CPPUNIT_ASSERT(detail_contains(later, "1 worker has reported"));
    CPPUNIT_ASSERT(detail_contains(later, "has led for 1500 ms"));
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at - milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(422, status(settled_at));
    // A worker of a replicated job is awaited after that, too.
    auto id = s.submit(job("a", 24));
    s.run_scheduler();
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at));
    const auto& placed = s.state.find_job(id)->assignments;
    CPPUNIT_ASSERT(detail_contains(settled_at, placed.back().worker));
    // Once all workers are known, the answer is final.
    s.site.customers["a"].guarantees["g"].shape.accelerators = 25;
    for (const auto& w : s.workers) tracker.handle_announcement(w, {}, later);
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at - milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(422, status(settled_at));
    CPPUNIT_ASSERT(detail_contains(settled_at, "9 workers have reported"));
    // Reports to an earlier leadership of this process do not count.
    tracker.end_leadership();
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at));
    tracker.begin_leadership(settled_at);
    CPPUNIT_ASSERT_EQUAL(409, status(settled_at));
    CPPUNIT_ASSERT(detail_contains(settled_at, "0 workers have reported"));
    s.site.customers["a"].guarantees["g"].shape.accelerators = 24;
    CPPUNIT_ASSERT_EQUAL(0, status(settled_at));
  }

  void many_jobs_are_cancelled_in_one_command() {
    simulated_site s;
    cancel_jobs request{"a", {}, {}, s.now};
    std::vector<job_id> ids;
    for (int i = 0; i < 500; ++i) ids.push_back(s.submit(job("a", 3)));
    s.run_scheduler();
    request.ids = ids;
    auto r = s.apply(request);
    CPPUNIT_ASSERT_EQUAL(500u, std::get<jobs_cancelled>(r).count);
    s.confirm_actions();
    CPPUNIT_ASSERT(s.state.active_jobs().empty());
    CPPUNIT_ASSERT(find_violation(s, s.run_scheduler()).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);
