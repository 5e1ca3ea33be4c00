#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "core/fleet/backfill_throttle.h"
#include "core/fleet/ticket_cache.h"
#include "fakes/fleet_site.h"

using namespace parsleyledge;
using fakes::fleet_site;
using fakes::make_gang;
using fakes::make_step;
using fleet::job_state;
using std::chrono::seconds;

namespace {

void assert_clean(const fleet_site& site) {
  CPPUNIT_ASSERT_EQUAL(std::string(), site.violation_text());
}

auto long_running(std::uint32_t tasks, std::uint32_t max_unavailable)
    -> fleet::step_spec {
  auto step = make_step(tasks, 1);
  step.long_running = true;
  step.max_unavailable = max_unavailable;
  return step;
}

/// Runs the site and returns the largest number of tasks of a job that were not
/// running at the same time.
auto max_unavailable_tasks(fleet_site& site, fleet::job_id id, int tasks,
                           milliseconds time) -> int {
  int max_count = 0;
  for (auto t = milliseconds(0); t < time; t += milliseconds(50)) {
    site.run_for(milliseconds(50));
    max_count = std::max(max_count, tasks - site.running(id));
  }
  return max_count;
}

/// A site with one worker, on which a backfill task runs beside a serving task.
struct throttled_site {
  fleet_site site{1};
  fleet::job_id serving;
  fleet::job_id backfill;

  /// The throttle of the backfill task, in per cent.
  auto percent() const -> std::uint32_t {
    for (const auto& [task, run] : site.workers[0].running) {
      if (task.job == backfill) return run.throttle;
    }
    CPPUNIT_FAIL("the backfill task does not run");
    return 0;
  }
};

auto start_beside_serving_work() -> throttled_site {
  throttled_site throttled;
  auto& site = throttled.site;
  site.task_duration = seconds(100);
  auto serving = long_running(1, 0);
  serving.target = milliseconds(60);
  throttled.serving = site.submit("q1", serving);
  site.run_for(seconds(1));
  auto backfill = make_step(1, 1);
  backfill.backfill = true;
  throttled.backfill = site.submit("q2", backfill);
  site.run_for(seconds(1));
  CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, throttled.percent());
  return throttled;
}

/// As above, where the serving task is slow and the backfill task is stopped by
/// its throttle.
auto stop_backfill() -> throttled_site {
  auto throttled = start_beside_serving_work();
  throttled.site.response_time_ms = [](std::uint32_t) {
    return std::int64_t{1000};
  };
  throttled.site.run_for(seconds(6));
  CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, throttled.percent());
  return throttled;
}

}  // namespace

/// Tests advice, waves of maintenance and the throttle of backfill tasks.
class contracts_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(contracts_test);
  CPPUNIT_TEST(work_runs_only_where_the_policy_allows_it);
  CPPUNIT_TEST(expired_tickets_are_requested_again);
  CPPUNIT_TEST(a_new_leader_requests_tickets_again);
  CPPUNIT_TEST(permissions_are_kept_per_incarnation);
  CPPUNIT_TEST(a_wave_respects_max_concurrent);
  CPPUNIT_TEST(a_wave_ends_in_time_on_a_busy_site);
  CPPUNIT_TEST(a_wave_respects_max_unavailable);
  CPPUNIT_TEST(a_wave_keeps_the_task_beside_one_on_a_silent_worker);
  CPPUNIT_TEST(a_wave_keeps_the_task_beside_one_on_an_unhealthy_worker);
  CPPUNIT_TEST(a_wave_continues_under_new_leaders);
  CPPUNIT_TEST(a_new_leader_counts_maintenance_without_a_response);
  CPPUNIT_TEST(a_new_leader_counts_maintenance_that_begins_late);
  CPPUNIT_TEST(a_wave_keeps_its_limit_under_random_leader_changes);
  CPPUNIT_TEST(a_wave_skips_machines_that_do_not_exist);
  CPPUNIT_TEST(a_worker_is_used_after_its_maintenance_was_rejected);
  CPPUNIT_TEST(backfill_is_throttled_beside_serving_work);
  CPPUNIT_TEST(a_new_leader_lifts_a_throttle_that_is_not_needed);
  CPPUNIT_TEST(a_throttle_without_a_response_is_not_taken_as_unchanged);
  CPPUNIT_TEST(a_new_leader_spares_serving_work);
  CPPUNIT_TEST(the_throttle_rises_while_response_times_are_low);
  CPPUNIT_TEST_SUITE_END();

 public:
  void work_runs_only_where_the_policy_allows_it() {
    fleet_site site(40);
    site.set_policy({"w7", "w31", "w36"}, seconds(30));
    auto id = site.submit("q1", make_gang(3, 8));
    site.run_for(seconds(3));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    CPPUNIT_ASSERT_EQUAL(3, site.workers[7].starts + site.workers[31].starts +
                                site.workers[36].starts);
    CPPUNIT_ASSERT(site.advice_calls <= 2);
    assert_clean(site);
  }

  void expired_tickets_are_requested_again() {
    fleet_site site(2);
    site.set_policy({"w0"}, seconds(1));
    auto id = site.submit("q1", make_step(3, 8));
    site.run_for(seconds(6));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    CPPUNIT_ASSERT_EQUAL(0, site.workers[1].starts);
    CPPUNIT_ASSERT(site.advice_calls > 1);
    assert_clean(site);
  }

  void a_new_leader_requests_tickets_again() {
    fleet_site site(3);
    site.set_policy({"w2"}, seconds(30));
    auto id = site.submit("q1", make_step(4, 8));
    site.run_for(milliseconds(1500));
    site.replace_leader();
    site.run_for(seconds(8));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    CPPUNIT_ASSERT_EQUAL(4, site.workers[2].starts);
    assert_clean(site);
  }

  void permissions_are_kept_per_incarnation() {
    fleet::ticket_cache cache;
    fleet::step_ref step{{1}, 0, 0};
    fleet::worker_incarnation first{"w", 1};
    fleet::worker_incarnation second{"w", 2};
    cache.store(step, std::vector{first}, {{{"w", "t"}}, seconds(1)},
                at_ms(50));
    CPPUNIT_ASSERT(cache.find(step, first, at_ms(10)) ==
                   fleet::permission::allowed);
    CPPUNIT_ASSERT(cache.find(step, second, at_ms(10)) ==
                   fleet::permission::unknown);
    CPPUNIT_ASSERT(cache.find(step, first, at_ms(60)) ==
                   fleet::permission::unknown);
    cache.store(step, std::vector{second}, {{}, seconds(1)}, at_ms(50));
    CPPUNIT_ASSERT(cache.find(step, second, at_ms(60)) ==
                   fleet::permission::denied);
  }

  void a_wave_respects_max_concurrent() {
    fleet_site site(6);
    site.start_wave(1, {0, 1, 2, 3, 4}, 2, seconds(30));
    site.run_for(seconds(12));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, site.wave(1).started.size());
    assert_clean(site);
  }

  void a_wave_ends_in_time_on_a_busy_site() {
    fleet_site site(4);
    site.task_duration = seconds(20);
    auto step = make_step(4, 8);
    auto id = site.submit("q1", step);
    site.run_for(seconds(1));
    site.start_wave(1, {0, 1, 2, 3}, 1, seconds(20));
    site.run_for(seconds(20));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    site.run_for(seconds(45));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    assert_clean(site);
  }

  void a_wave_respects_max_unavailable() {
    fleet_site site(6);
    auto id = site.submit("q1", long_running(12, 1));
    site.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(12, site.running(id));
    site.start_wave(1, {0, 1, 2}, 2, seconds(60));
    CPPUNIT_ASSERT(max_unavailable_tasks(site, id, 12, seconds(50)) <= 1);
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    assert_clean(site);
  }

  // Guards against the stop of a step's only task that is at work: the other
  // one counted as at work while its worker was out of reach.
  void a_wave_keeps_the_task_beside_one_on_a_silent_worker() {
    check_task_is_kept(
        [](fakes::fake_worker& worker) { worker.unreachable = true; });
  }

  // Guards against the same as
  // a_wave_keeps_the_task_beside_one_on_a_silent_worker(), where the worker
  // responds that it is unhealthy.
  void a_wave_keeps_the_task_beside_one_on_an_unhealthy_worker() {
    check_task_is_kept(
        [](fakes::fake_worker& worker) { worker.is_unavailable = true; });
  }

  static void check_task_is_kept(
      const std::function<void(fakes::fake_worker&)>& disturb) {
    fleet_site site(3, 1);
    auto step = long_running(2, 1);
    step.max_per_worker = 1;
    auto id = site.submit("q1", step);
    site.run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, site.running(id));
    std::vector<int> used;
    for (int i = 0; i < 3; ++i) {
      if (!site.workers[static_cast<std::size_t>(i)].running.empty())
        used.push_back(i);
    }
    disturb(site.workers[static_cast<std::size_t>(used[0])]);
    site.run_for(milliseconds(4500));
    const auto& other = site.workers[static_cast<std::size_t>(used[1])];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.running.size());
    site.start_wave(1, {used[1]}, 1, seconds(60));
    site.run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.running.size());
    auto& silent = site.workers[static_cast<std::size_t>(used[0])];
    silent.unreachable = silent.is_unavailable = false;
    site.run_for(seconds(20));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    CPPUNIT_ASSERT_EQUAL(2, site.running(id));
    assert_clean(site);
  }

  void a_wave_continues_under_new_leaders() {
    fleet_site site(4);
    site.start_wave(1, {0, 1, 2, 3}, 1, seconds(30));
    for (int i = 0; i < 6; ++i) {
      site.run_for(milliseconds(1700));
      site.replace_leader();
    }
    site.run_for(seconds(10));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    assert_clean(site);
  }

  // Guards against more machines under maintenance than a wave allows: the
  // leader changes while the platform has begun one and not yet responded. The
  // next leader would choose another one, which has become the emptier one.
  void a_new_leader_counts_maintenance_without_a_response() {
    check_limit_after_leader_change(milliseconds(0), seconds(1));
  }

  // Guards against the same as
  // a_new_leader_counts_maintenance_without_a_response(), where the platform
  // carries out the request only after the change.
  void a_new_leader_counts_maintenance_that_begins_late() {
    check_limit_after_leader_change(milliseconds(700), milliseconds(0));
  }

  static void check_limit_after_leader_change(milliseconds request_delay,
                                              milliseconds response_delay) {
    fleet_site site(3, 1);
    site.task_duration = milliseconds(300);
    for (const auto* label : {"r0", "r0", "r1"}) {
      auto step = make_step(1, 1);
      step.label = label;
      site.submit("q1", step);
    }
    site.run_for(milliseconds(100));
    site.machine_request_delay = request_delay;
    site.machine_response_delay = response_delay;
    site.start_wave(1, {0, 1}, 1, seconds(30));
    site.run_for(milliseconds(600));
    site.replace_leader();
    site.run_for(milliseconds(1500));
    assert_clean(site);
    site.machine_request_delay = site.machine_response_delay = {};
    site.run_for(seconds(20));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    assert_clean(site);
  }

  void a_wave_keeps_its_limit_under_random_leader_changes() {
    bool passed = rc::check([] {
      fleet_site site(6, 2);
      site.task_duration = milliseconds(*rc::gen::inRange(100, 2000));
      auto limit = *rc::gen::inRange<std::uint32_t>(1, 3);
      site.start_wave(1, {0, 1, 2, 3, 4}, limit, seconds(60));
      for (int round = 0; round < 30; ++round) {
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            site.replace_leader();
            break;
          case 1:
            site.restart_leadership();
            break;
          case 2:
            site.machine_request_delay =
                milliseconds(*rc::gen::inRange(0, 3) * 400);
            break;
          case 3:
            site.machine_response_delay =
                milliseconds(*rc::gen::inRange(0, 3) * 400);
            break;
          default:
            site.submit("q1", make_step(2, 2));
        }
        site.run_for(milliseconds(*rc::gen::inRange(10, 800)));
      }
      site.machine_request_delay = site.machine_response_delay = {};
      site.run_for(seconds(60));
      for (const auto& line : site.history) RC_LOG() << line << "\n";
      RC_LOG() << site.violation_text();
      RC_ASSERT(site.violations.empty());
      RC_ASSERT(is_complete(site.wave(1)));
    });
    CPPUNIT_ASSERT(passed);
  }

  void a_wave_skips_machines_that_do_not_exist() {
    fleet_site site(2);
    site.start_wave(1, {17, 0, 18}, 1, seconds(30));
    site.run_for(seconds(10));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    auto id = site.submit("q1", make_step(2, 8));
    site.run_for(seconds(2));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    assert_clean(site);
  }

  void a_worker_is_used_after_its_maintenance_was_rejected() {
    fleet_site site(1);
    site.maintenance_rejection = fleet::machine_rejection::wave;
    site.start_wave(1, {0}, 1, seconds(30));
    site.run_for(seconds(1));
    CPPUNIT_ASSERT(is_complete(site.wave(1)));
    auto id = site.submit("q1", make_step(1, 8));
    site.run_for(seconds(2));
    CPPUNIT_ASSERT(site.state(id) == job_state::complete);
    assert_clean(site);
  }

  void backfill_is_throttled_beside_serving_work() {
    fleet_site site(1);
    site.task_duration = seconds(60);
    site.response_time_ms = [](std::uint32_t backfill_percent) {
      return std::int64_t{20} + backfill_percent;
    };
    auto serving = long_running(1, 0);
    serving.target = milliseconds(60);
    auto backfill_step = make_step(1, 1);
    backfill_step.backfill = true;
    auto serving_id = site.submit("q1", serving);
    site.run_for(seconds(1));
    auto backfill_id = site.submit("q2", backfill_step);
    site.run_for(seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, site.running(serving_id));
    CPPUNIT_ASSERT_EQUAL(1, site.running(backfill_id));
    for (const auto& [task, run] : site.workers[0].running) {
      if (task.job == backfill_id) CPPUNIT_ASSERT(run.throttle <= 40);
    }
    site.run_for(seconds(10));
    for (const auto& [task, run] : site.workers[0].running) {
      if (task.job == backfill_id)
        CPPUNIT_ASSERT(run.throttle > 0 && run.throttle <= 40);
    }
  }

  // Guards against backfill that stands still forever: an earlier leader had
  // throttled it to nothing beside serving work that has ended since.
  void a_new_leader_lifts_a_throttle_that_is_not_needed() {
    auto throttled = stop_backfill();
    auto& site = throttled.site;
    site.workers[0].unreachable = true;
    site.cancel(throttled.serving);
    site.replace_leader();
    site.run_for(milliseconds(500));
    site.workers[0].unreachable = false;
    site.run_for(seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, site.running(throttled.serving));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, throttled.percent());
  }

  // Guards against backfill that stands still forever: the request that
  // throttled it to nothing was carried out, but its response was lost.
  void a_throttle_without_a_response_is_not_taken_as_unchanged() {
    auto throttled = start_beside_serving_work();
    auto& site = throttled.site;
    auto slow = [](std::uint32_t) { return std::int64_t{1000}; };
    site.response_time_ms = slow;
    site.workers[0].drops_throttle_responses = true;
    while (throttled.percent() > 0) site.run_for(milliseconds(10));
    site.cancel(throttled.serving);
    site.run_for(seconds(1));
    site.workers[0].drops_throttle_responses = false;
    site.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, throttled.percent());
  }

  // Guards against backfill that slows down serving work after each leader
  // change: the new leader does not know the throttle that is needed.
  void a_new_leader_spares_serving_work() {
    auto throttled = start_beside_serving_work();
    auto& site = throttled.site;
    site.response_time_ms = [](std::uint32_t backfill_percent) {
      return std::int64_t{20} + backfill_percent;
    };
    site.run_for(seconds(10));
    auto before = throttled.percent();
    CPPUNIT_ASSERT(before > 0 && before <= 40);
    site.replace_leader();
    for (int i = 0; i < 40; ++i) {
      site.run_for(milliseconds(100));
      CPPUNIT_ASSERT(throttled.percent() <= 40);
    }
    site.run_for(seconds(10));
    CPPUNIT_ASSERT(throttled.percent() > 0);
  }

  void the_throttle_rises_while_response_times_are_low() {
    fleet::backfill_throttle throttle;
    auto now = at_ms(10'000);
    throttle.observe(1.5, now);
    CPPUNIT_ASSERT(throttle.percent() < 50);
    auto low = throttle.percent();
    throttle.observe(
        1.5, now + milliseconds(100));  // too early to show the new throttle
    CPPUNIT_ASSERT_EQUAL(low, throttle.percent());
    for (int i = 1; i <= 20; ++i) throttle.observe(0.3, now + seconds(i));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, throttle.percent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(contracts_test);
