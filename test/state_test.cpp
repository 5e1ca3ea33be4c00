#include <cppunit/extensions/HelperMacros.h>

#include "adapters/codec.h"
#include "core/state/replicated_state.h"

using namespace parsleyledge;

namespace {

template <typename T>
auto is(const command_result& result) -> bool {
  return std::holds_alternative<T>(result);
}

auto put(const std::string& name, std::uint64_t base, const std::string& change,
         std::uint64_t digest = 1, time_point at = at_ms(0)) -> put_file {
  return {name, "body of " + change, {base}, change, digest, at};
}

auto spec(const std::string& key, std::uint32_t accelerators = 8) -> job_spec {
  job_spec s;
  s.customer = "grocer";
  s.key = key;
  s.gang = {accelerators, adjacency::worker};
  s.run_time = milliseconds(1000);
  return s;
}

const key_name order_key{"grocer", "orders", "order"};

auto claim(const std::string& owner, std::uint64_t digest, std::int64_t at)
    -> claim_key {
  return {order_key, digest, owner, at_ms(at + 100), at_ms(at)};
}

auto release(const std::string& owner) -> release_key {
  return {order_key, owner};
}

}  // namespace

class state_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(state_test);
  CPPUNIT_TEST(one_of_ten_racing_changes_wins);
  CPPUNIT_TEST(a_repeated_change_gets_the_first_result);
  CPPUNIT_TEST(a_change_id_names_one_change);
  CPPUNIT_TEST(a_job_key_names_one_job);
  CPPUNIT_TEST(a_job_ends_once);
  CPPUNIT_TEST(accelerators_stay_occupied_until_released);
  CPPUNIT_TEST(a_key_runs_once);
  CPPUNIT_TEST(a_released_key_can_be_claimed_by_another_request);
  CPPUNIT_TEST(a_claim_that_arrives_after_its_release_is_refused);
  CPPUNIT_TEST(a_snapshot_keeps_released_keys);
  CPPUNIT_TEST(a_release_without_a_claim_is_erased_with_old_keys);
  CPPUNIT_TEST(large_responses_are_not_stored);
  CPPUNIT_TEST(a_failing_job_does_not_count_against_workers);
  CPPUNIT_TEST(drains_outlive_a_snapshot_and_the_log);
  CPPUNIT_TEST_SUITE_END();

 public:
  void one_of_ten_racing_changes_wins() {
    replicated_state state;
    int accepted = 0;
    for (int i = 0; i < 10; ++i) {
      auto r = state.apply(put("10-a.toml", 0, "c" + std::to_string(i)), {});
      if (is<config_accepted>(r)) {
        ++accepted;
      } else {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             std::get<config_conflict>(r).current.value);
      }
    }
    CPPUNIT_ASSERT_EQUAL(1, accepted);
    CPPUNIT_ASSERT_EQUAL(std::string("body of c0"),
                         state.tables().files.at("10-a.toml"));
  }

  void a_repeated_change_gets_the_first_result() {
    replicated_state state;
    state.apply(put("10-a.toml", 0, "first"), {});
    for (std::uint64_t i = 1; i <= 600; ++i) {
      state.apply(put("20-b.toml", i, "c" + std::to_string(i)), {});
    }
    auto bytes = encode(state.tables());
    // The change ids are restored from a snapshot too.
    replicated_state restored(*decode_state(bytes));
    auto r = restored.apply(put("10-a.toml", 0, "first"), {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         std::get<config_accepted>(r).version.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{601}, restored.tables().version.value);
    CPPUNIT_ASSERT(bytes == encode(restored.tables()));
  }

  void a_change_id_names_one_change() {
    replicated_state state;
    state.apply(put("10-a.toml", 0, "same", 1), {});
    auto r = state.apply(put("10-a.toml", 1, "same", 2), {});
    CPPUNIT_ASSERT_EQUAL(409, std::get<problem>(r).status);
    auto not_found =
        state.apply(delete_file{"99-no.toml", {1}, "d", 3, {}}, {});
    CPPUNIT_ASSERT_EQUAL(404, std::get<problem>(not_found).status);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.tables().version.value);
  }

  void a_job_key_names_one_job() {
    replicated_state state;
    auto first = state.apply(submit_job{spec("k"), {}}, {});
    auto repeated = state.apply(submit_job{spec("k"), {}}, {});
    CPPUNIT_ASSERT(std::get<job_accepted>(first).job ==
                   std::get<job_accepted>(repeated).job);
    CPPUNIT_ASSERT(std::get<job_accepted>(repeated).existed);
    auto other = state.apply(submit_job{spec("k", 4), {}}, {});
    CPPUNIT_ASSERT_EQUAL(409, std::get<problem>(other).status);
  }

  void a_job_ends_once() {
    replicated_state state;
    state.apply(submit_job{spec("k"), {}}, {1});
    state.apply(place_job{{1}, {}, {{"w", 255, 0, 0}}, {}, {}}, {2});
    state.apply(start_job{{1}, 1, {}}, {3});
    auto done =
        end_attempt{{1}, 1, attempt_result::done, false, "", {}, "", {}};
    CPPUNIT_ASSERT(is<command_done>(state.apply(done, {4})));
    CPPUNIT_ASSERT(is<problem>(state.apply(done, {5})));
    auto request = cancel_jobs{"grocer", {"k"}, {}, {}};
    CPPUNIT_ASSERT_EQUAL(
        0u, std::get<jobs_cancelled>(state.apply(request, {6})).count);
    CPPUNIT_ASSERT(state.find_job(job_id{1})->state == job_state::done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.tables().ended.size());
  }

  void accelerators_stay_occupied_until_released() {
    replicated_state state;
    state.apply(submit_job{spec("k", 16), {}}, {1});
    auto place =
        place_job{{1}, {}, {{"w1", 255, 0, 0}, {"w2", 255, 0, 0}}, {}, {}};
    state.apply(place, {2});
    state.apply(cancel_jobs{"grocer", {"k"}, {}, {}}, {3});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.active_jobs().size());
    state.apply(release_workers{{1}, 1, {"w1"}}, {4});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         state.find_job(job_id{1})->assignments.size());
    state.apply(release_workers{{1}, 1, {"w2"}}, {5});
    CPPUNIT_ASSERT(state.active_jobs().empty());
    // The fence is the log index of the placement, so it is never used twice.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         state.find_job(job_id{1})->fence.value);
  }

  void a_key_runs_once() {
    replicated_state state;
    key_name name{"grocer", "orders", "k"};
    auto claim = [&](const std::string& owner, std::uint64_t digest,
                     std::int64_t at) {
      return state.apply(
          claim_key{name, digest, owner, at_ms(at + 100), at_ms(at)}, {});
    };
    CPPUNIT_ASSERT(is<key_claimed>(claim("a", 1, 0)));
    CPPUNIT_ASSERT(is<key_claimed>(claim("a", 1, 1)));  // its response was lost
    CPPUNIT_ASSERT(!std::get<key_busy>(claim("b", 1, 50)).overdue);
    CPPUNIT_ASSERT(std::get<key_busy>(claim("b", 1, 500)).overdue);
    CPPUNIT_ASSERT_EQUAL(422, std::get<problem>(claim("b", 2, 50)).status);
    CPPUNIT_ASSERT(is<problem>(state.apply(release_key{name, "b"}, {})));
    complete_key done{name, "a", {200, "text/plain", "ok", true}, {}};
    CPPUNIT_ASSERT(is<command_done>(state.apply(done, {})));
    auto repeated = std::get<key_completed>(claim("b", 1, 600));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), repeated.response.body);
    CPPUNIT_ASSERT(is<problem>(state.apply(release_key{name, "a"}, {})));
    // A key whose request provably did not run can be claimed again.
    name.key = "other";
    CPPUNIT_ASSERT(is<key_claimed>(claim("a", 1, 0)));
    CPPUNIT_ASSERT(is<command_done>(state.apply(release_key{name, "a"}, {})));
    CPPUNIT_ASSERT(is<key_claimed>(claim("b", 1, 1)));
  }

  void a_released_key_can_be_claimed_by_another_request() {
    replicated_state state;
    state.apply(claim("a", 1, 0), {});
    CPPUNIT_ASSERT(is<command_done>(state.apply(release("a"), {})));
    // The entry repeats a release whose reply was lost.
    CPPUNIT_ASSERT(is<command_done>(state.apply(release("a"), {})));
    // Nothing ran under the key, so another request may use it.
    CPPUNIT_ASSERT(is<key_claimed>(state.apply(claim("b", 2, 1), {})));
    CPPUNIT_ASSERT(is<problem>(state.apply(release("a"), {})));
    CPPUNIT_ASSERT(
        is<problem>(state.apply(complete_key{order_key, "a", {}, {}}, {})));
    auto busy = std::get<key_busy>(state.apply(claim("c", 2, 2), {}));
    CPPUNIT_ASSERT(busy.since == at_ms(1));
    complete_key done{order_key, "b", {200, "text/plain", "ok", true}, {}};
    CPPUNIT_ASSERT(is<command_done>(state.apply(done, {})));
    CPPUNIT_ASSERT(is<key_completed>(state.apply(claim("a", 2, 3), {})));
  }

  // Guards against a key that stays claimed after its owner told the caller
  // that nothing ran: the claim may be committed after the release.
  void a_claim_that_arrives_after_its_release_is_refused() {
    for (bool first_claim_arrives : {false, true}) {
      replicated_state state;
      if (first_claim_arrives) state.apply(claim("a", 1, 0), {});
      CPPUNIT_ASSERT(is<command_done>(state.apply(release("a"), {})));
      CPPUNIT_ASSERT(is<problem>(state.apply(claim("a", 1, 1), {})));
      complete_key done{order_key, "a", {200, "text/plain", "ok", true}, {}};
      CPPUNIT_ASSERT(is<problem>(state.apply(done, {})));
      CPPUNIT_ASSERT(is<key_claimed>(state.apply(claim("b", 1, 2), {})));
      // It must not take the key from a running request either.
      CPPUNIT_ASSERT(is<key_busy>(state.apply(claim("a", 1, 3), {})));
    }
  }

  // Guards against a drained worker that is back in service once a replica has
  // restarted from its disk.
  void drains_outlive_a_snapshot_and_the_log() {
    replicated_state state;
    for (const auto& change :
         {drain_worker{"w1", true}, drain_worker{"w2", true},
          drain_worker{"w1", false}}) {
      auto decoded = decode_command(encode(command(change)));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(is<command_done>(state.apply(*decoded, {})));
    }
    replicated_state restored(*decode_state(encode(state.tables())));
    CPPUNIT_ASSERT(restored.tables().draining_workers == drained_workers{"w2"});
  }

  void a_snapshot_keeps_released_keys() {
    for (bool claimed : {false, true}) {
      replicated_state state;
      if (claimed) state.apply(claim("a", 1, 0), {});
      state.apply(release("a"), {});
      auto bytes = encode(state.tables());
      replicated_state restored(*decode_state(bytes));
      CPPUNIT_ASSERT(bytes == encode(restored.tables()));
      for (auto* replica : {&state, &restored}) {
        CPPUNIT_ASSERT(is<problem>(replica->apply(claim("a", 1, 1), {})));
        CPPUNIT_ASSERT(is<key_claimed>(replica->apply(claim("b", 2, 2), {})));
        CPPUNIT_ASSERT(is<key_busy>(replica->apply(claim("c", 2, 3), {})));
      }
      CPPUNIT_ASSERT(encode(state.tables()) == encode(restored.tables()));
    }
  }

  // Guards against records that stay forever: a release carries no time.
  void a_release_without_a_claim_is_erased_with_old_keys() {
    constexpr std::int64_t day = 86'400'000;
    replicated_state state;
    state.apply(release("a"), {});
    auto other = [](const std::string& key, std::int64_t at) {
      return claim_key{
          {"grocer", "orders", key}, 1, "b", at_ms(at + 100), at_ms(at)};
    };
    state.apply(other("x", 1000), {});
    state.apply(other("y", day), {});
    CPPUNIT_ASSERT(is<problem>(state.apply(claim("a", 1, day), {})));
    state.apply(other("z", 1001 + day), {});
    CPPUNIT_ASSERT(!state.tables().keys.contains(order_key));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.tables().keys.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.tables().key_order.size());
  }

  void large_responses_are_not_stored() {
    replicated_state state;
    key_name name{"grocer", "orders", "k"};
    state.apply(claim_key{name, 1, "a", at_ms(100), at_ms(0)}, {});
    stored_response large{200, "text/plain", std::string(100'000, 'x'), true};
    state.apply(complete_key{name, "a", large, {}}, {});
    auto r = state.apply(claim_key{name, 1, "b", at_ms(300), at_ms(200)}, {});
    CPPUNIT_ASSERT(!std::get<key_completed>(r).response.has_body);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         state.tables().stored_response_bytes);
  }

  void a_failing_job_does_not_count_against_workers() {
    replicated_state state;
    state.apply(submit_job{spec("bad"), {}}, {1});
    for (std::uint32_t i = 1; i <= 3; ++i) {
      auto worker = "w" + std::to_string(i);
      state.apply(place_job{{1}, {}, {{worker, 1, 0, 0}}, {}, {}}, {i * 10});
      state.apply(start_job{{1}, i, {}}, {});
      state.apply(
          end_attempt{
              {1}, i, attempt_result::failed, i < 3, worker, {}, "crashed", {}},
          {});
      state.apply(release_workers{{1}, i, {worker}}, {});
    }
    CPPUNIT_ASSERT(state.find_job(job_id{1})->state == job_state::failed);
    for (const auto& [worker, failures] : state.tables().failures) {
      CPPUNIT_ASSERT(failures.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_test);
