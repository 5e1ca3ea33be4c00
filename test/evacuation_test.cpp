#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/evacuation.h"
#include "fakes/fleet_site.h"

using namespace parsleyledge;
using fakes::fleet_site;
using fakes::make_gang;
using fakes::make_step;
using fleet::evacuated_work;
using fleet::job_state;
using std::chrono::seconds;

namespace {

// How long starts may go on after an evacuation was confirmed, by the platform.
constexpr seconds max_delay{5};

auto make_work(std::uint32_t priority, std::size_t tasks, seconds time_left)
    -> evacuated_work {
  evacuated_work work;
  work.tasks.resize(tasks);
  work.priority = priority;
  work.checkpoints = true;
  work.per_task = {1000, 100, 1};
  work.time_left = time_left;
  work.tasks_to_place = tasks;
  work.workers = {{0}, {1}};
  return work;
}

auto choose(std::vector<evacuated_work> work,
            std::vector<fleet::resources> available)
    -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& choice : fleet::choose_evacuations(work, available))
    names.emplace_back(to_string(choice));
  return names;
}

auto running_on(const fleet_site& site, int first, int last) -> std::size_t {
  std::size_t count = 0;
  for (int i = first; i <= last; ++i)
    count += site.workers[static_cast<std::size_t>(i)].running.size();
  return count;
}

auto starts_on(const fleet_site& site, int first, int last) -> int {
  int count = 0;
  for (int i = first; i <= last; ++i)
    count += site.workers[static_cast<std::size_t>(i)].starts;
  return count;
}

/// Four workers: 0 and 1 in data centre "east", 2 and 3 in "west".
struct two_data_centres : fleet_site {
  two_data_centres() : fleet_site(4, 2) {
    for (int i = 0; i < 4; ++i) set_data_centre(i, i < 2 ? "east" : "west");
  }
};

void assert_complete(const fleet_site& site, fleet::job_id id) {
  CPPUNIT_ASSERT_EQUAL(std::string(to_string(job_state::complete)),
                       std::string(to_string(site.state(id))));
  CPPUNIT_ASSERT_EQUAL(std::string(), site.violation_text());
}

}  // namespace

/// Evacuation of a data centre under load and across leaders.
class evacuation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_test);
  CPPUNIT_TEST(valuable_and_long_work_takes_the_capacity_first);
  CPPUNIT_TEST(a_gang_that_does_not_fit_stays_whole);
  CPPUNIT_TEST(work_that_ends_soon_or_saves_nothing_stays);
  CPPUNIT_TEST(nothing_starts_in_an_evacuated_data_centre);
  CPPUNIT_TEST(a_placement_that_is_committed_after_the_order_starts_nothing);
  CPPUNIT_TEST(a_start_without_a_response_is_not_repeated);
  CPPUNIT_TEST(a_gang_that_spans_data_centres_starts_elsewhere);
  CPPUNIT_TEST(guarantees_are_served_from_the_other_data_centres);
  CPPUNIT_TEST(long_running_tasks_move_one_at_a_time);
  CPPUNIT_TEST(a_task_that_fits_no_other_worker_stays);
  CPPUNIT_TEST(a_long_running_gang_keeps_its_limit);
  CPPUNIT_TEST(no_work_is_stopped_for_reserved_capacity);
  CPPUNIT_TEST(long_work_with_checkpoints_moves_without_loss);
  CPPUNIT_TEST(a_new_leader_starts_nothing_there);
  CPPUNIT_TEST(the_last_order_is_in_force);
  CPPUNIT_TEST(work_waits_if_every_data_centre_is_evacuated);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against low-priority work that takes the little capacity elsewhere
  // from urgent work.
  void valuable_and_long_work_takes_the_capacity_first() {
    auto choices =
        choose({make_work(2, 1, seconds(90)), make_work(1, 1, seconds(20)),
                make_work(1, 1, seconds(60))},
               {{1000, 100, 1}, {1000, 100, 1}});
    std::vector<std::string> expected{"no_capacity", "moved", "moved"};
    CPPUNIT_ASSERT(expected == choices);
  }

  // Guards against a gang that is stopped though only some of its tasks fit.
  void a_gang_that_does_not_fit_stays_whole() {
    auto choices =
        choose({make_work(0, 3, seconds(60)), make_work(1, 2, seconds(60))},
               {{1000, 100, 1}, {1000, 100, 1}});
    std::vector<std::string> expected{"no_capacity", "moved"};
    CPPUNIT_ASSERT(expected == choices);
  }

  void work_that_ends_soon_or_saves_nothing_stays() {
    auto unsaved = make_work(0, 1, seconds(60));
    unsaved.checkpoints = false;
    auto unknown = make_work(0, 1, seconds(0));
    unknown.time_left.reset();
    auto limited = make_work(0, 1, seconds(0));
    limited.long_running = true;
    limited.may_stop = false;
    auto choices =
        choose({make_work(0, 1, seconds(9)), unsaved, unknown, limited},
               {{9000, 900, 9}, {}});
    std::vector<std::string> expected{"ends_soon", "no_checkpoints",
                                      "remaining_time_unknown",
                                      "availability_limited"};
    CPPUNIT_ASSERT(expected == choices);
  }

  // Guards against starts in an evacuated data centre under more load than the
  // others can take.
  void nothing_starts_in_an_evacuated_data_centre() {
    two_data_centres site;
    site.evacuate("east");
    auto id = site.submit("q1", make_step(48, 1));
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 0, 1));
    assert_complete(site, id);
  }

  // Guards against a placement that was proposed before the order and is
  // committed after it.
  void a_placement_that_is_committed_after_the_order_starts_nothing() {
    two_data_centres site;
    auto id = site.submit("q1", std::vector{make_step(32, 1)}, "a", 1,
                          seconds(1), seconds(1));
    site.run_for(milliseconds(900));
    site.commits_enabled = false;
    site.run_for(milliseconds(300));
    CPPUNIT_ASSERT(site.is_placement_delayed("w0"));
    site.commits_enabled = true;
    site.evacuate("east");
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 0, 1));
    assert_complete(site, id);
  }

  // Guards against a start that is sent again after the order, since the first
  // one got no response.
  void a_start_without_a_response_is_not_repeated() {
    two_data_centres site;
    for (auto& w : site.workers) w.unreachable = true;
    auto id = site.submit("q1", make_step(4, 8));
    site.run_for(milliseconds(300));
    for (auto& w : site.workers) w.unreachable = false;
    site.evacuate("east");
    site.run_for(2 * max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 0, 1));
    assert_complete(site, id);
  }

  void a_gang_that_spans_data_centres_starts_elsewhere() {
    two_data_centres site;
    for (auto& w : site.workers) w.unreachable = true;
    // One task fits a worker, and two workers are in each data centre.
    auto id = site.submit("q1", make_gang(3, 5));
    site.run_for(milliseconds(300));
    std::set<std::string> assigned;
    for (const auto& task : site.job(id).open.at(0).steps[0].tasks)
      assigned.insert(task.worker.name);
    CPPUNIT_ASSERT(assigned.contains("w0") && assigned.contains("w2"));
    for (auto& w : site.workers) w.unreachable = false;
    site.evacuate("west");
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 2, 3));
    site.restore("west");
    site.run_for(2 * max_delay);
    assert_complete(site, id);
  }

  // Guards against a guarantee that waits for the capacity of an evacuated data
  // centre although work of lower priority holds the rest.
  void guarantees_are_served_from_the_other_data_centres() {
    constexpr milliseconds max_reclaim_time{2700};
    two_data_centres site;
    site.configure(16);
    site.task_duration = seconds(30);
    auto low = site.submit("q2", make_step(32, 1));
    site.run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(32, site.running(low));
    site.evacuate("east");
    auto urgent = site.submit("q0", make_gang(2, 8));
    site.run_for(max_reclaim_time);
    CPPUNIT_ASSERT_EQUAL(2, site.running(urgent));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running_on(site, 2, 3));
    CPPUNIT_ASSERT_EQUAL(std::string(), site.violation_text());
  }

  // Guards against a service that loses more tasks at once than it allows.
  void long_running_tasks_move_one_at_a_time() {
    two_data_centres site;
    auto step = make_step(8, 2);
    step.long_running = true;
    step.max_unavailable = 1;
    auto id = site.submit("q1", step);
    site.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(8, site.running(id));
    CPPUNIT_ASSERT(running_on(site, 0, 1) > 0);
    site.evacuate("east");
    for (int i = 0; i < 300; ++i) {
      site.run_for(milliseconds(100));
      CPPUNIT_ASSERT(site.running(id) >= 7);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running_on(site, 0, 1));
    CPPUNIT_ASSERT_EQUAL(8, site.running(id));
    CPPUNIT_ASSERT_EQUAL(std::string(), site.violation_text());
  }

  // Guards against a task that is stopped although each worker elsewhere has as
  // many tasks of its step as one may have.
  void a_task_that_fits_no_other_worker_stays() {
    two_data_centres site;
    auto step = make_step(4, 1);
    step.long_running = true;
    step.max_per_worker = 1;
    auto id = site.submit("q1", step);
    site.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(4, site.running(id));
    site.evacuate("east");
    for (int i = 0; i < 100; ++i) {
      site.run_for(milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(4, site.running(id));
    }
  }

  // Guards against a gang that is stopped as a whole although its step allows
  // one unavailable task.
  void a_long_running_gang_keeps_its_limit() {
    two_data_centres site;
    auto step = make_gang(2, 2);
    step.long_running = true;
    step.max_unavailable = 1;
    site.submit("q1", step);
    site.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running_on(site, 0, 1));
    site.evacuate("east");
    site.run_for(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running_on(site, 0, 1));
  }

  // Guards against tasks that are stopped for capacity that is reserved for a
  // waiting gang, one after the other.
  void no_work_is_stopped_for_reserved_capacity() {
    two_data_centres site;
    site.task_duration = seconds(60);
    auto step = make_step(14, 1);
    step.checkpoints = true;
    step.estimate = seconds(60);
    step.label = "r0";
    auto in_east = site.submit("q2", step);
    step.tasks = 12;
    step.label = "r1";
    site.submit("q2", step);
    site.run_for(seconds(1));
    auto gang = make_gang(2, 5);
    gang.label = "r1";
    site.submit("q1", gang);  // waits, and reserves what is free there
    site.run_for(seconds(5));
    site.evacuate("east");
    for (int i = 0; i < 50; ++i) {
      site.run_for(milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(14, site.running(in_east));
    }
  }

  void long_work_with_checkpoints_moves_without_loss() {
    two_data_centres site;
    site.task_duration = seconds(60);
    auto step = make_step(8, 2);
    step.checkpoints = true;
    step.estimate = seconds(60);
    auto id = site.submit("q1", step);
    site.run_for(seconds(3));
    auto before = running_on(site, 0, 1);
    CPPUNIT_ASSERT(before > 0);
    site.evacuate("east");
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running_on(site, 0, 1));
    CPPUNIT_ASSERT_EQUAL(8, site.running(id));
    CPPUNIT_ASSERT_EQUAL(std::string(), site.violation_text());
  }

  // Guards against an order that is lost with the leader, or with a restart
  // from a snapshot.
  void a_new_leader_starts_nothing_there() {
    two_data_centres site;
    site.evacuate("east");
    site.restore_snapshot();
    site.replace_leader();
    auto id = site.submit("q1", make_step(16, 1));
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 0, 1));
    assert_complete(site, id);
  }

  void the_last_order_is_in_force() {
    two_data_centres site;
    site.evacuate("east");
    site.evacuate("east");
    site.restore("east");
    auto id = site.submit("q1", make_step(32, 1));
    site.run_for(max_delay);
    CPPUNIT_ASSERT(starts_on(site, 0, 1) > 0);
    assert_complete(site, id);
    site.evacuate("east");
    auto before = starts_on(site, 0, 1);
    site.submit("q1", make_step(16, 1));
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(before, starts_on(site, 0, 1));
  }

  void work_waits_if_every_data_centre_is_evacuated() {
    two_data_centres site;
    site.evacuate("east");
    site.evacuate("west");
    auto id = site.submit("q0", make_gang(2, 4));
    site.run_for(max_delay);
    CPPUNIT_ASSERT_EQUAL(0, starts_on(site, 0, 3));
    site.restore("west");
    site.run_for(max_delay);
    assert_complete(site, id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);
