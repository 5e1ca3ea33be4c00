#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <random>

#include "adapters/fleet_codec.h"
#include "core/fleet/backlog.h"
#include "core/fleet/fleet_state.h"
#include "core/fleet/lease_clock.h"
#include "core/fleet/placer.h"
#include "core/fleet/reclaim.h"
#include "core/fleet/speed_table.h"
#include "core/fleet/wait_ledger.h"

using namespace parsleyledge;
using namespace parsleyledge::fleet;

namespace {

constexpr resources whole_worker{64'000, 64'000, 8};

auto worker(std::string_view rack, std::int64_t free_accelerators,
            double speed = 1) -> candidate {
  candidate c;
  c.rack = rack;
  c.capacity = whole_worker;
  c.free = {64'000, 64'000, free_accelerators};
  c.speed = speed;
  return c;
}

auto need_of(std::uint32_t tasks, std::int64_t accelerators) -> placement_need {
  placement_need need;
  need.per_task = {1000, 100, accelerators};
  need.tasks = tasks;
  need.all_or_nothing = true;
  need.task_work = 1000;
  return need;
}

auto total(const std::vector<choice>& chosen) -> std::uint32_t {
  return std::accumulate(
      chosen.begin(), chosen.end(), 0U,
      [](std::uint32_t sum, const choice& c) { return sum + c.tasks; });
}

}  // namespace

class fleet_units_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_units_test);
  CPPUNIT_TEST(a_gang_is_placed_whole_or_not_at_all);
  CPPUNIT_TEST(a_gang_of_one_rack_waits_for_one_rack);
  CPPUNIT_TEST(urgent_work_takes_fast_workers_and_work_with_slack_slow_ones);
  CPPUNIT_TEST(work_with_slack_explores_unknown_workers);
  CPPUNIT_TEST(max_per_worker_is_respected);
  CPPUNIT_TEST(reclaim_stops_the_least_work);
  CPPUNIT_TEST(nothing_is_reclaimed_in_a_wrong_rack_if_one_fits);
  CPPUNIT_TEST(a_rack_that_costs_too_much_is_left);
  CPPUNIT_TEST(work_that_need_not_stop_goes_on);
  CPPUNIT_TEST(a_need_that_does_not_fit_has_a_cause);
  CPPUNIT_TEST(waiting_times_add_up_by_cause);
  CPPUNIT_TEST(speeds_are_learned_from_tasks_of_one_step);
  CPPUNIT_TEST(a_lease_expires_late_on_a_slow_clock);
  CPPUNIT_TEST(tables_are_restored_from_a_snapshot);
  CPPUNIT_TEST(commands_are_restored_from_the_log);
  CPPUNIT_TEST(a_command_with_a_name_that_is_not_text_cannot_be_decoded);
  CPPUNIT_TEST(only_a_higher_configuration_version_is_applied);
  CPPUNIT_TEST(urgent_work_comes_first_and_expired_work_last);
  CPPUNIT_TEST(occurrences_beyond_a_limit_wait_for_earlier_ones);
  CPPUNIT_TEST(stored_jobs_are_counted_until_they_are_erased);
  CPPUNIT_TEST(a_customer_may_take_half_of_the_memory_for_jobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_gang_is_placed_whole_or_not_at_all() {
    std::vector<candidate> workers = {worker("r0", 8), worker("r0", 4)};
    CPPUNIT_ASSERT_EQUAL(3U, total(choose_workers(workers, need_of(3, 4))));
    CPPUNIT_ASSERT(choose_workers(workers, need_of(4, 4)).empty());
    auto independent = need_of(4, 4);
    independent.all_or_nothing = false;
    CPPUNIT_ASSERT_EQUAL(3U, total(choose_workers(workers, independent)));
  }

  void a_gang_of_one_rack_waits_for_one_rack() {
    std::vector<candidate> workers = {worker("r0", 8), worker("r1", 8)};
    auto need = need_of(2, 8);
    need.same_rack = true;
    CPPUNIT_ASSERT(choose_workers(workers, need).empty());
    need.any_rack = true;
    CPPUNIT_ASSERT_EQUAL(2U, total(choose_workers(workers, need)));
  }

  void urgent_work_takes_fast_workers_and_work_with_slack_slow_ones() {
    std::vector<candidate> workers = {worker("r0", 8, 0.7),
                                      worker("r0", 8, 1.7)};
    auto need = need_of(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         choose_workers(workers, need).at(0).candidate);
    need.slow_first = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         choose_workers(workers, need).at(0).candidate);
  }

  void work_with_slack_explores_unknown_workers() {
    std::vector<candidate> workers(4, worker("r0", 8));
    for (std::size_t i = 1; i < 4; ++i) workers[i].speed_known = false;
    auto need = need_of(5, 1);
    need.all_or_nothing = false;
    need.slow_first = need.explore = true;
    auto chosen = choose_workers(workers, need);
    CPPUNIT_ASSERT_EQUAL(5U, total(chosen));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, chosen.size());
  }

  void max_per_worker_is_respected() {
    std::vector<candidate> workers(2, worker("r0", 8));
    workers[0].taken = 1;
    auto need = need_of(4, 1);
    need.all_or_nothing = false;
    need.max_per_worker = 2;
    CPPUNIT_ASSERT_EQUAL(3U, total(choose_workers(workers, need)));
  }

  void reclaim_stops_the_least_work() {
    std::vector<candidate> workers(2, worker("r0", 0));
    std::vector<victim> victims = {{{{0, {1000, 100, 8}}}, 5000},
                                   {{{1, {1000, 100, 4}}}, 700},
                                   {{{1, {1000, 100, 4}}}, 800}};
    auto plan = plan_reclaim(workers, victims, need_of(1, 8));
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, plan->loss);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan->chosen.at(0).candidate);
    CPPUNIT_ASSERT(!plan_reclaim(workers, victims, need_of(3, 8)).has_value());
  }

  void nothing_is_reclaimed_in_a_wrong_rack_if_one_fits() {
    std::vector<candidate> workers = {worker("r0", 0), worker("r0", 0),
                                      worker("r1", 8), worker("r2", 8)};
    std::vector<victim> victims = {
        {{{0, {1000, 100, 8}}, {1, {1000, 100, 8}}}, 100}};
    auto need = need_of(2, 8);
    need.same_rack = need.any_rack = true;
    auto plan = plan_reclaim(workers, victims, need);
    CPPUNIT_ASSERT(plan.has_value());
    for (const auto& c : plan->chosen) CPPUNIT_ASSERT(c.candidate < 2);
  }

  // The speeds of the platform's machines range from 0.7 to 1.7, the sizes of
  // the tasks of a step vary by a third, and the callers' estimates of steps
  // are off by a factor of two.
  // A burst of urgent gangs beside large gangs: a rack full of work that has
  // run for long is not cleared for a small gang.
  void a_rack_that_costs_too_much_is_left() {
    std::vector<candidate> workers = {worker("r0", 0), worker("r0", 0),
                                      worker("r1", 8), worker("r2", 8)};
    std::vector<victim> victims = {
        {{{0, {1000, 100, 8}}, {1, {1000, 100, 8}}}, 1'000'000}};
    auto need = need_of(2, 8);
    need.same_rack = need.any_rack = true;
    auto plan = plan_reclaim(workers, victims, need);
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT(plan->victims.empty());
    for (const auto& c : plan->chosen) CPPUNIT_ASSERT(c.candidate >= 2);
  }

  // Single tasks beside a gang: if the gang has to go, they need not.
  void work_that_need_not_stop_goes_on() {
    std::vector<candidate> workers = {worker("r0", 0)};
    std::vector<victim> victims = {{{{0, {1000, 100, 1}}}, 100},
                                   {{{0, {1000, 100, 1}}}, 100},
                                   {{{0, {1000, 100, 6}}}, 5000}};
    auto plan = plan_reclaim(workers, victims, need_of(1, 6));
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan->victims.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan->victims[0]);
  }

  static auto cause_of(std::span<const candidate> workers,
                       const placement_need& need) -> std::string {
    return std::string(
        to_string(find_wait_cause(workers, workers, workers, need)));
  }

  void a_need_that_does_not_fit_has_a_cause() {
    std::vector<candidate> workers = {worker("r0", 5), worker("r1", 5)};
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"),
                         cause_of(workers, need_of(3, 5)));
    CPPUNIT_ASSERT_EQUAL(std::string("fragmented_capacity"),
                         cause_of(workers, need_of(1, 8)));
    auto one_rack = need_of(2, 4);
    one_rack.same_rack = true;
    CPPUNIT_ASSERT_EQUAL(std::string("rack_full"), cause_of(workers, one_rack));
    std::vector<candidate> all = {worker("r0", 8), worker("r1", 5)};
    CPPUNIT_ASSERT(std::holds_alternative<capacity_reserved>(
        find_wait_cause(workers, all, all, need_of(1, 8))));
    CPPUNIT_ASSERT(std::holds_alternative<workers_quarantined>(
        find_wait_cause(workers, workers, all, need_of(1, 8))));
  }

  void waiting_times_add_up_by_cause() {
    wait_ledger waits;
    step_ref step{{1}, 0, 0};
    CPPUNIT_ASSERT(!waits.extend(step, at_ms(0)));
    waits.record(step, no_capacity{}, at_ms(0));
    waits.record(step, fragmented_capacity{}, at_ms(100));
    CPPUNIT_ASSERT(waits.extend(step, at_ms(150)));
    waits.record(step, no_capacity{}, at_ms(400));
    CPPUNIT_ASSERT(waits.is_recent(step, at_ms(399)));
    CPPUNIT_ASSERT(!waits.is_recent(step, at_ms(400)));
    auto shares = waits.finish(step, at_ms(450));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shares.size());
    CPPUNIT_ASSERT(std::holds_alternative<no_capacity>(shares[0].cause));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{150}, shares[0].time.count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{300}, shares[1].time.count());
    CPPUNIT_ASSERT(waits.finish(step, at_ms(500)).empty());
  }

  void speeds_are_learned_from_tasks_of_one_step() {
    std::mt19937 random(7);
    std::uniform_real_distribution<double> task_size(0.7, 1.3);
    std::uniform_real_distribution<double> step_size(0.3, 3);
    std::uniform_int_distribution<int> any_machine(0, 11);
    speed_table speeds;
    auto true_speed = [](int m) { return m % 3 == 0 ? 1.7 : 0.7; };
    for (std::uint32_t s = 0; s < 40; ++s) {
      auto work = 5000 * step_size(random);
      for (int t = 0; t < 6; ++t) {
        auto m = any_machine(random);
        speeds.observe({{1}, 0, s}, "m" + std::to_string(m),
                       100 * true_speed(m) / (work * task_size(random)));
      }
    }
    speeds.update();
    for (int fast = 0; fast < 12; fast += 3) {
      for (int slow = 1; slow < 12; slow += 3) {
        auto ratio = speeds.speed("m" + std::to_string(fast)) /
                     speeds.speed("m" + std::to_string(slow));
        CPPUNIT_ASSERT(ratio > 1.7 && ratio < 3.5);
      }
    }
    CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed("unknown"));
    CPPUNIT_ASSERT(speeds.learned("unknown").weight == 0);
  }

  void a_lease_expires_late_on_a_slow_clock() {
    lease_clock clock;
    CPPUNIT_ASSERT(!clock.lease_end(at_ms(0), milliseconds(9000)).has_value());
    clock.sample(50'000, at_ms(1000));
    auto end = clock.lease_end(at_ms(1000), milliseconds(9000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{59'000}, *end);
    clock.record_grant(*end);
    CPPUNIT_ASSERT(!clock.has_expired(at_ms(10'100)));
    CPPUNIT_ASSERT(clock.has_expired(at_ms(10'300)));
    // A delayed reading gives a lower bound than the earlier one.
    clock.sample(50'100, at_ms(5000));
    CPPUNIT_ASSERT(clock.has_expired(at_ms(10'300)));
    clock.assume_granted_until(at_ms(20'000));
    CPPUNIT_ASSERT(!clock.has_expired(at_ms(19'000)));
  }

  void tables_are_restored_from_a_snapshot() {
    auto state = sample_state();
    auto bytes = encode(state.tables());
    auto read = decode_tables(bytes);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(bytes, encode(*read));
    CPPUNIT_ASSERT(!decode_tables("\x0a\xff").has_value());
  }

  void commands_are_restored_from_the_log() {
    for (const auto& original : sample_commands()) {
      auto bytes = encode(original);
      auto read = decode_command(bytes);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT_EQUAL(original.index(), read->index());
      CPPUNIT_ASSERT_EQUAL(bytes, encode(*read));
      if (const auto* added = std::get_if<add_job>(&original)) {
        CPPUNIT_ASSERT(added->spec == std::get<add_job>(*read).spec);
      }
    }
    CPPUNIT_ASSERT(!decode_command("").has_value());
  }

  // A replica ends if it cannot decode a committed command, so text that is not
  // UTF-8 must be refused before it becomes part of a command.
  void a_command_with_a_name_that_is_not_text_cannot_be_decoded() {
    worker_record w;
    w.incarnation = {"i-\xff", 99};
    CPPUNIT_ASSERT(
        !decode_command(encode(command(put_worker{w, {}}))).has_value());
  }

  void only_a_higher_configuration_version_is_applied() {
    fleet_state state;
    CPPUNIT_ASSERT(state.apply(put_site{5, "five"}) == command_outcome::done);
    CPPUNIT_ASSERT(state.apply(put_site{4, "x"}) == command_outcome::repeated);
    CPPUNIT_ASSERT(state.apply(put_site{5, "x"}) == command_outcome::repeated);
    CPPUNIT_ASSERT_EQUAL(std::string("five"), state.tables().site_document);
    state.apply(put_site{9, "nine"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, state.tables().site_version);
  }

  void urgent_work_comes_first_and_expired_work_last() {
    fleet_state state;
    site config;
    for (std::uint32_t p = 0; p < 2; ++p) {
      queue q;
      q.name = "q" + std::to_string(p);
      q.priority = p;
      q.objective = milliseconds(1000);
      config.queues.push_back(q);
    }
    auto add = [&](std::uint64_t id, const std::string& queue_name, int at) {
      job_spec spec;
      spec.id = {id};
      spec.queue = queue_name;
      spec.steps.emplace_back();
      state.apply(add_job{spec, at_ms(at)});
    };
    add(1, "q1", 9000);
    add(2, "q0", 9900);
    add(3, "q0", 1000);
    add(4, "q0", 9500);
    auto backlog = collect_backlog(state.tables(), config, at_ms(10'000));
    std::vector<std::uint64_t> order;
    for (const auto& item : backlog) order.push_back(item.step.job.value);
    CPPUNIT_ASSERT(order == (std::vector<std::uint64_t>{4, 2, 3, 1}));
  }

  // Guards against control processes that exceed their memory: nothing counted
  // what the stored jobs take.
  void stored_jobs_are_counted_until_they_are_erased() {
    fleet_state state;
    job_spec spec;
    spec.id = {1};
    spec.customer = "a";
    spec.steps.resize(9500);
    state.apply(add_job{spec, at_ms(0)});
    state.apply(add_job{spec, at_ms(1)});
    auto bytes = stored_bytes(spec);
    // As measured, such a job takes 4 MB.
    CPPUNIT_ASSERT(bytes > 3'000'000 && bytes < 8'000'000);
    CPPUNIT_ASSERT_EQUAL(bytes, state.stored_jobs().of("a"));
    fleet_state restored(state.tables());
    CPPUNIT_ASSERT_EQUAL(bytes, restored.stored_jobs().total());
    state.apply(cancel_job{spec.id, at_ms(2)});
    job_spec later;
    later.id = {2};
    later.customer = "b";
    state.apply(add_job{later, at_ms(3'600'000)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.stored_jobs().of("a"));
    CPPUNIT_ASSERT_EQUAL(stored_bytes(later), state.stored_jobs().total());
  }

  // Guards against one customer whose jobs keep out those of all others.
  void a_customer_may_take_half_of_the_memory_for_jobs() {
    job_ledger stored;
    job_ledger pending;
    CPPUNIT_ASSERT(has_room(stored, pending, "a", 50, 100));
    stored.add("a", 30);
    pending.add("a", 20);
    CPPUNIT_ASSERT(!has_room(stored, pending, "a", 1, 100));
    CPPUNIT_ASSERT(has_room(stored, pending, "b", 50, 100));
    pending.remove("a", 20);
    CPPUNIT_ASSERT(has_room(stored, pending, "a", 20, 100));
    stored.add("b", 50);
    stored.add("c", 20);
    CPPUNIT_ASSERT(!has_room(stored, pending, "c", 1, 100));
    CPPUNIT_ASSERT(has_room(stored, pending, "c", 1000, 0));
  }

  // Guards against a leader that collects without an end once a job
  // with a huge number of occurrences is due; the next leader would do the
  // same.
  void occurrences_beyond_a_limit_wait_for_earlier_ones() {
    fleet_state state;
    site config;
    config.queues.emplace_back().name = "q";
    job_spec spec;
    spec.id = {1};
    spec.queue = "q";
    spec.steps.emplace_back().tasks = 100;
    spec.occurrences = 1'000'000;
    state.apply(add_job{spec, at_ms(0)});
    spec.id = {2};
    spec.occurrences = 0;
    spec.steps[0].tasks = 50'000;
    state.apply(add_job{spec, at_ms(0)});
    auto backlog = collect_backlog(state.tables(), config, at_ms(10'000));
    auto items_of = [&](std::uint64_t id) {
      return std::ranges::count_if(backlog, [&](const backlog_item& item) {
        return item.step.job.value == id;
      });
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{100}, items_of(1));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, items_of(2));
  }

 private:
  static auto sample_commands() -> std::vector<command> {
    job_spec spec;
    spec.id = {0xfeed};
    spec.queue = "q";
    spec.customer = "c";
    spec.payload = "text";
    step_spec step;
    step.tasks = 2;
    step.gang = step.checkpoints = true;
    step.per_task = {500, 600, 2};
    step.after = {};
    step.label = "a";
    spec.steps = {step, step};
    spec.steps[1].after = {0};
    spec.occurrences = 2;
    spec.first_due = at_ms(77);
    spec.accepted_by.name = spec.queue;
    spec.accepted_by.service = "s";
    spec.accepted_by.priority = 2;
    spec.accepted_by.attempts = 3;
    spec.accepted_by.stretch = 1.5;
    spec.accepted_by.objective = milliseconds(250);
    spec.accepted_by.advice =
        advice_terms{milliseconds(20), milliseconds(2), milliseconds(3000)};
    worker_record w;
    w.incarnation = {"w1", 99};
    w.address = "10.0.0.1:80";
    w.labels = {"a", "r1"};
    w.capacity = whole_worker;
    w.sequence = 12;
    return {
        read_barrier{},
        put_site{3, "document"},
        add_job{spec, at_ms(5)},
        put_worker{w, {}},
        place_tasks{{{{{0xfeed}, 0, 0, 0}, 1, w.incarnation},
                     {{{0xfeed}, 0, 0, 1}, 1, w.incarnation}},
                    at_ms(6)},
        end_runs{
            {{{{0xfeed}, 0, 0, 0}, 1, w.incarnation, run_end::done, "snap"}},
            at_ms(7)},
        add_wave{4, {{"m1"}, milliseconds(9), 1, at_ms(8), {}, {}, {}}},
        record_maintenance_request{4, "m1"},
        record_maintenance{4, "m1", true},
        evacuate_data_centre{"dc2", at_ms(10)},
        evacuate_data_centre{"dc1", at_ms(10)},
        restore_data_centre{"dc2"},
        cancel_job{{0xfeed}, at_ms(9)},
        fail_job{{0xfeed}, "why", at_ms(9)},
        record_starts{{{{{0xfeed}, 0, 0, 1}, 1}}},
        put_worker{w, {{{{0xfeed}, 0, 0, 1}, 1, start_evidence::confirmed}}},
        remove_worker{w.incarnation,
                      {{{{0xfeed}, 0, 0, 0}, 1, start_evidence::none},
                       {{{0xfeed}, 0, 0, 1}, 1, start_evidence::sent}}}};
  }

  static auto sample_state() -> fleet_state {
    fleet_state state;
    auto commands = sample_commands();
    commands.pop_back();  // the removal of the worker
    for (const auto& one : commands) state.apply(one);
    return state;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_units_test);
