#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "fakes/process_site.h"

using namespace parsleyledge;
using fakes::eventually;
using fakes::process_site;

namespace {

const std::string site_file =
    "[customers.grocer]\n[services.lists]\nrepeatable = [\"GET\"]\n"
    "deadline_ms = 4000\n[services.orders]\ndeadline_ms = 3000\n"
    "[policy]\nquarantine_failures = 2\n";

auto job_body(const std::string& key, int accelerators, double seconds)
    -> std::string {
  return "{\"key\":\"" + key + "\",\"customer\":\"grocer\",\"gang\":" +
         "{\"accelerators\":" + std::to_string(accelerators) +
         ",\"adjacency\":\"rack\"},\"run_time_s\":" + std::to_string(seconds) +
         "}";
}

auto job_state_of(process_site& site, int id) -> std::string {
  auto r = site.get(1, "/v1/jobs/" + std::to_string(id));
  if (r.status != 200) return "";
  return std::string(boost::json::parse(r.body).at("state").as_string());
}

/// Kills whichever control process leads.
void kill_leader(process_site& s) {
  int leader = 0;
  CPPUNIT_ASSERT(eventually([&] { return (leader = s.leader()) != 0; }));
  s.kill("control-" + std::to_string(leader));
}

/// Endpoints with a slot at both entries.
auto routes(process_site& site) -> std::size_t {
  std::size_t ready = 0;
  for (int entry : {1, 2}) {
    auto dump = site.state(site.entry_port(entry));
    const auto* rows = dump.as_object().if_contains("routes");
    if (rows != nullptr) ready += rows->as_array().size();
  }
  return ready / 2;
}

}  // namespace

class system_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(system_test);
  CPPUNIT_TEST(refuses_bad_calls_clearly);
  CPPUNIT_TEST(never_passes_a_bad_answer_on);
  CPPUNIT_TEST(runs_a_key_at_most_once);
  CPPUNIT_TEST(keeps_what_was_acknowledged);
  CPPUNIT_TEST(a_frozen_leader_changes_nothing);
  CPPUNIT_TEST(an_entry_that_is_cut_off_refuses);
  CPPUNIT_TEST(an_endpoint_that_leaves_gets_no_work);
  CPPUNIT_TEST(a_graceful_shutdown_cuts_no_request);
  CPPUNIT_TEST(a_gang_survives_the_loss_of_a_worker);
  CPPUNIT_TEST(a_worker_that_fails_everything_is_quarantined);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refuses_bad_calls_clearly() {
    process_site s(21000);
    s.start_all();
    s.configure(site_file);
    struct bad_call {
      const char* method;
      const char* target;
      std::vector<http_header> headers;
      std::string body;
      int status;
      const char* detail;
    };
    const std::string key(300, 'k');
    const bad_call cases[] = {
        {"GET", "/nothing", {}, "", 404, "no such path"},
        {"POST", "/healthz", {}, "", 405, "only GET"},
        {"GET", "/s/", {{"Customer", "grocer"}}, "", 404, "no service"},
        {"GET", "/s/lists/1", {}, "", 400, "Customer is missing"},
        {"GET", "/s/lists/1", {{"Customer", "x"}}, "", 403, "not configured"},
        {"GET",
         "/s/lists/1",
         {{"Customer", "grocer"}, {"Parsley-Deadline", "soon"}},
         "",
         400,
         "Parsley-Deadline"},
        {"POST",
         "/s/orders/1",
         {{"Customer", "grocer"}},
         "",
         400,
         "Idempotency-Key"},
        {"POST",
         "/s/orders/1",
         {{"Customer", "grocer"}, {"Idempotency-Key", key}},
         "",
         400,
         "Idempotency-Key"},
        {"GET",
         "/s/lists/1",
         {{"Customer", "grocer"}},
         "",
         503,
         "no endpoint of lists"},
        {"POST", "/v1/jobs", {}, "{", 400, "no valid JSON"},
        {"POST", "/v1/jobs", {}, "[]", 400, "must be an object"},
        {"POST", "/v1/jobs", {}, "{\"keys\":1}", 400, "unknown key"},
        {"POST", "/v1/jobs", {}, "{\"key\":\"a\"}", 400, "is required"},
        {"POST", "/v1/jobs", {}, std::string(9u << 20, ' '), 413, "too large"},
        {"PUT", "/v1/jobs", {}, "", 405, "not served"},
        {"GET", "/v1/jobs/x", {}, "", 404, "no job x"},
        {"GET", "/v1/jobs/99", {}, "", 404, "no job 99"},
        {"POST",
         "/v1/jobs/cancel",
         {},
         "{\"customer\":\"g\",\"keys\":[1]}",
         400,
         "array of strings"},
        {"PUT",
         "/v1/config/files/a.toml",
         {{"Change-Id", "c"}},
         "",
         428,
         "If-Match"},
        {"PUT",
         "/v1/config/files/a.toml",
         {{"If-Match", "1"}},
         "",
         400,
         "Change-Id"},
        {"PUT", "/v1/config/files/a.txt", {}, "", 400, ".toml"},
        {"PUT",
         "/v1/config/files/a.toml",
         {{"If-Match", "1"}, {"Change-Id", "c"}},
         "\nx = 1\n",
         422,
         "a.toml:2: x: unknown key"},
        {"POST", "/v1/endpoints", {}, "{\"name\":\"a\"}", 400, "is required"},
        {"POST",
         "/v1/endpoints",
         {},
         "{\"name\":\"a\",\"incarnation\":1,\"service\":\"s\","
         "\"address\":\"here\",\"slots\":1}",
         400,
         "ip:port"},
        {"POST", "/v1/workers", {}, "{}", 400, "is required"},
        {"PUT", "/v1/replicas/zero", {}, "", 400, "number"},
    };
    for (const auto& c : cases) {
      http_request request;
      request.method = c.method;
      request.target = c.target;
      request.headers = c.headers;
      request.body = c.body;
      auto r = s.call(1, request);
      auto what = std::string(c.method) + " " + c.target + ": " +
                  std::to_string(r.status) + " " + r.body;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, c.status, r.status);
      CPPUNIT_ASSERT_MESSAGE(what, r.body.find(c.detail) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(what, r.header("Parsley-Outcome") == "not-run");
    }
  }

  void never_passes_a_bad_answer_on() {
    process_site s(21100);
    s.start_all();
    s.configure(site_file);
    s.start_endpoint(1, {"--work_ms", "1"});
    s.start_endpoint(2, {"--work_ms", "1", "--service", "orders"});
    CPPUNIT_ASSERT(eventually([&] { return routes(s) == 2; }));
    CPPUNIT_ASSERT(eventually(
        [&] { return s.ask(1, "GET", "/s/lists/warm").status == 200; }));
    struct fault_case {
      const char* fault;
      int status;
      const char* outcome;
    };
    const fault_case cases[] = {
        {"cut_length", 502, "unknown"},   {"cut_chunk", 502, "unknown"},
        {"wrong_id", 502, "unknown"},     {"garbage", 502, "unknown"},
        {"no_length", 502, "unknown"},    {"bad_length", 502, "unknown"},
        {"huge", 502, "unknown"},         {"close_read", 502, "unknown"},
        {"close_unread", 502, "unknown"}, {"twice", 200, ""}};
    int number = 0;
    for (const auto& c : cases) {
      auto key = "fault-" + std::to_string(++number);
      auto r = s.ask(1, "POST", "/s/orders/" + key,
                     {{"Fault", c.fault}, {"Idempotency-Key", key}});
      auto what = std::string(c.fault) + ": " + std::to_string(r.status) + " " +
                  r.body.substr(0, 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, c.status, r.status);
      CPPUNIT_ASSERT_MESSAGE(what, r.header("Parsley-Outcome") == c.outcome);
      CPPUNIT_ASSERT_MESSAGE(what, s.executions(key) <= 1);
      // The next caller gets the answer to its own request.
      CPPUNIT_ASSERT(eventually([&] {
        auto next = s.ask(1, "GET", "/s/lists/next-" + key);
        return next.status == 200 &&
               next.body.find("/next-" + key + " ") != std::string::npos;
      }));
    }
    // An answer after the deadline is not passed on, and the truth is unknown.
    auto late = s.ask(1, "POST", "/s/orders/late",
                      {{"Work-Ms", "1500"},
                       {"Parsley-Deadline", "500"},
                       {"Idempotency-Key", "late"}});
    CPPUNIT_ASSERT_EQUAL(504, late.status);
    CPPUNIT_ASSERT(late.header("Parsley-Outcome") == "unknown");
    CPPUNIT_ASSERT_EQUAL(1, s.executions("late"));
    // Nobody listens: nothing can have run, and saying so is true.
    s.kill("runner-2");
    auto dead =
        s.ask(1, "POST", "/s/orders/dead", {{"Idempotency-Key", "dead"}});
    CPPUNIT_ASSERT(dead.status == 503 || dead.status == 502);
    if (dead.header("Parsley-Outcome") == "not-run") {
      CPPUNIT_ASSERT_EQUAL(0, s.executions("dead"));
    }
  }

  void runs_a_key_at_most_once() {
    process_site s(21200);
    s.start_all();
    s.configure(site_file);
    s.start_endpoint(1, {"--work_ms", "300", "--service", "orders"});
    s.start_endpoint(2, {"--work_ms", "300", "--service", "orders"});
    CPPUNIT_ASSERT(eventually([&] { return routes(s) == 2; }));
    auto order = [&](int entry, const std::string& key) {
      return s.ask(entry, "POST", "/s/orders/" + key,
                   {{"Idempotency-Key", key}});
    };
    // Through two entries at once, then again.
    CPPUNIT_ASSERT(eventually([&] { return order(1, "warm").status == 200; }));
    auto first = std::async(std::launch::async, [&] { return order(1, "a"); });
    auto second = std::async(std::launch::async, [&] { return order(2, "a"); });
    auto one = first.get();
    auto two = second.get();
    CPPUNIT_ASSERT_EQUAL(609, one.status + two.status);  // 200 and 409
    CPPUNIT_ASSERT_EQUAL(1, s.executions("a"));
    auto again = order(2, "a");
    CPPUNIT_ASSERT_EQUAL(200, again.status);
    CPPUNIT_ASSERT(again.header("Idempotency-Replayed") == "true");
    CPPUNIT_ASSERT_EQUAL(1, s.executions("a"));
    // The entry that holds the key dies, at a different moment each time.
    for (int i = 0; i < 4; ++i) {
      auto key = "k" + std::to_string(i);
      auto held = std::async(std::launch::async, [&] { return order(1, key); });
      fakes::pause_for(std::chrono::milliseconds(5 + i * 110));
      s.kill("entry-1");
      held.get();
      for (int j = 0; j < 3; ++j) order(2, key);
      CPPUNIT_ASSERT_MESSAGE(key, s.executions(key) <= 1);
      s.start_entry(1);
      CPPUNIT_ASSERT(
          eventually([&] { return s.get(1, "/healthz").status == 200; }));
    }
    // The leader dies while a key is held.
    auto held =
        std::async(std::launch::async, [&] { return order(2, "leader"); });
    kill_leader(s);
    held.get();
    CPPUNIT_ASSERT(eventually([&] {
      auto r = order(2, "leader");
      return r.status == 200 || r.status == 409;
    }));
    CPPUNIT_ASSERT(s.executions("leader") <= 1);
  }

  void keeps_what_was_acknowledged() {
    process_site s(21300);
    s.start_all();
    std::uint64_t version = 0;
    auto change = [&](const std::string& id) {
      auto body = "[customers.c" + id + "]\n";
      CPPUNIT_ASSERT(eventually([&] {
        auto r = s.put_file(2, "20-" + id + ".toml", body, version, id);
        return r.status == 200;
      }));
      ++version;
    };
    change("one");
    kill_leader(s);
    change("two");
    for (int i = 1; i <= 3; ++i) {
      if (s.state(s.control_port(i)).as_object().empty()) s.start_control(i);
    }
    change("three");
    // All at once.
    for (int i = 1; i <= 3; ++i) s.kill("control-" + std::to_string(i));
    for (int i = 1; i <= 3; ++i) s.start_control(i);
    change("four");
    // A disk is lost, and another VM right after the repair.
    s.kill("control-2");
    s.lose_disk(2);
    s.start_control(2);
    // It votes again only once it has been caught up as a learner.
    CPPUNIT_ASSERT(eventually([&] {
      auto dump = s.state(s.control_port(2));
      const auto* role = dump.as_object().if_contains("role");
      return role != nullptr && role->as_string() == "follower";
    }));
    kill_leader(s);
    change("five");
    auto config = s.get(1, "/v1/config");
    for (const char* id : {"one", "two", "three", "four", "five"}) {
      CPPUNIT_ASSERT_MESSAGE(
          id, config.body.find(std::string("20-") + id) != std::string::npos);
    }
    // A resend after all that is answered as the first time.
    auto resent = s.put_file(1, "20-one.toml", "[customers.cone]\n", 0, "one");
    CPPUNIT_ASSERT_EQUAL(200, resent.status);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"version\":1}"), resent.body);
    CPPUNIT_ASSERT(eventually([&] { return s.version(1) == 5; }));
  }

  void a_frozen_leader_changes_nothing() {
    process_site s(21400);
    s.start_all();
    s.configure(site_file);
    int old = 0;
    CPPUNIT_ASSERT(eventually([&] { return (old = s.leader()) != 0; }));
    auto name = "control-" + std::to_string(old);
    s.signal(name, SIGSTOP);
    CPPUNIT_ASSERT(eventually([&] {
      return s.put_file(1, "20-a.toml", "[customers.a]\n", 1, "a").status ==
             200;
    }));
    CPPUNIT_ASSERT(eventually([&] { return s.version(2) == 2; }));
    s.signal(name, SIGCONT);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(s.version(1) >= 2);
      CPPUNIT_ASSERT(s.version(2) >= 2);
    }
    CPPUNIT_ASSERT(eventually([&] {
      auto dump = s.state(s.control_port(old));
      const auto* role = dump.as_object().if_contains("role");
      return role != nullptr && role->as_string() == "follower";
    }));
  }

  void an_entry_that_is_cut_off_refuses() {
    process_site s(21500);
    s.start_all();
    s.configure(site_file);
    for (int i = 1; i <= 3; ++i) {
      s.signal("control-" + std::to_string(i), SIGSTOP);
    }
    CPPUNIT_ASSERT(
        eventually([&] { return s.get(1, "/healthz").status == 503; }));
    auto r = s.ask(1, "GET", "/s/lists/1");
    CPPUNIT_ASSERT_EQUAL(503, r.status);
    CPPUNIT_ASSERT(r.header("Parsley-Outcome") == "not-run");
    auto dump = s.state(s.entry_port(1));
    CPPUNIT_ASSERT(dump.as_object().contains("refusing_because"));
    // A change may still commit once they go on.
    auto change = s.put_file(1, "20-a.toml", "[customers.a]\n", 1, "a");
    CPPUNIT_ASSERT_EQUAL(503, change.status);
    CPPUNIT_ASSERT(change.header("Parsley-Outcome") == "unknown");
    // An entry that restarts now serves nothing from its memory.
    s.kill("entry-2");
    s.start_entry(2);
    CPPUNIT_ASSERT(
        eventually([&] { return s.get(2, "/healthz").status != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, s.get(2, "/healthz").status);
    for (int i = 1; i <= 3; ++i) {
      s.signal("control-" + std::to_string(i), SIGCONT);
    }
    CPPUNIT_ASSERT(
        eventually([&] { return s.get(2, "/healthz").status == 200; }));
  }

  void an_endpoint_that_leaves_gets_no_work() {
    process_site s(21600);
    s.start_all();
    s.configure(site_file);
    s.start_endpoint(1, {"--work_ms", "5", "--ttl_ms", "4000"});
    s.start_endpoint(2, {"--work_ms", "5"});
    s.start_endpoint(3, {"--work_ms", "5"});
    CPPUNIT_ASSERT(eventually([&] { return routes(s) == 3; }));
    s.signal("runner-1", SIGTERM);  // leaves
    s.signal("runner-2", SIGSTOP);  // falls silent
    auto gone = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (std::chrono::steady_clock::now() < gone) {
      s.ask(1, "GET", "/s/lists/x", {{"Parsley-Deadline", "300"}});
    }
    for (int i = 0; i < 100; ++i) {
      auto r = s.ask(i % 2 + 1, "GET", "/s/lists/y");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(r.body, 200, r.status);
      CPPUNIT_ASSERT_MESSAGE(r.body, r.body.starts_with("runner-3 "));
    }
    CPPUNIT_ASSERT_EQUAL(0, s.wait("runner-1"));
    s.signal("runner-2", SIGCONT);
    CPPUNIT_ASSERT(eventually([&] {
      return s.ask(1, "GET", "/s/lists/z").body.starts_with("runner-2 ");
    }));
  }

  void a_graceful_shutdown_cuts_no_request() {
    process_site s(21700);
    s.start_all();
    s.configure(site_file);
    s.start_endpoint(1, {"--work_ms", "20", "--slots", "32"});
    CPPUNIT_ASSERT(eventually([&] { return routes(s) == 1; }));
    for (int round = 0; round < 5; ++round) {
      CPPUNIT_ASSERT(eventually(
          [&] { return s.ask(1, "GET", "/s/lists/warm").status == 200; }));
      std::atomic<bool> drained{false};
      std::atomic<int> cut{0};
      std::atomic<int> answered{0};
      std::vector<std::thread> callers;
      for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&] {
          // Like the balancer, callers stop once /healthz fails.
          while (!drained) {
            auto r = s.ask(1, "GET", "/s/lists/load");
            if (r.status == 0) ++cut;
            if (r.status == 200) ++answered;
          }
        });
      }
      CPPUNIT_ASSERT(eventually([&] { return answered > 50; }));
      s.signal("entry-1", SIGTERM);
      CPPUNIT_ASSERT(
          eventually([&] { return s.get(1, "/healthz").status == 503; }));
      drained = true;
      for (auto& t : callers) t.join();
      CPPUNIT_ASSERT_EQUAL(0, s.wait("entry-1"));
      CPPUNIT_ASSERT_EQUAL(0, cut.load());
      s.start_entry(1);
    }
  }

  void a_gang_survives_the_loss_of_a_worker() {
    process_site s(21800);
    s.start_all();
    s.configure(site_file);
    for (int i = 1; i <= 3; ++i) s.start_worker(i, {"--accelerators", "4"});
    CPPUNIT_ASSERT(eventually([&] {
      return s.post(1, "/v1/jobs", job_body("gang", 8, 3)).status == 202;
    }));
    CPPUNIT_ASSERT(eventually([&] { return job_state_of(s, 1) == "running"; }));
    auto job = boost::json::parse(s.get(1, "/v1/jobs/1").body);
    std::string victim(
        job.at("assignments").as_array()[0].at("worker").as_string());
    s.kill(victim);
    CPPUNIT_ASSERT(eventually([&] { return job_state_of(s, 1) == "done"; },
                              std::chrono::seconds(60)));
    auto ended = boost::json::parse(s.get(1, "/v1/jobs/1").body);
    CPPUNIT_ASSERT(ended.at("attempt").as_int64() >= 2);
    for (const auto& w : ended.at("ran_on").as_array()) {
      CPPUNIT_ASSERT(std::string(w.as_string()) != victim);
    }
  }

  void a_worker_that_fails_everything_is_quarantined() {
    process_site s(21900);
    s.start_all();
    s.configure(site_file);
    s.start_worker(1, {"--accelerators", "1", "--fail_tasks"});
    CPPUNIT_ASSERT(eventually([&] {
      return s.post(1, "/v1/jobs", job_body("a", 1, 1)).status == 202 &&
             s.post(1, "/v1/jobs", job_body("b", 1, 1)).status == 202;
    }));
    CPPUNIT_ASSERT(eventually([&] {
      return s.get(1, "/v1/workers").body.find("quarantined") !=
             std::string::npos;
    }));
    s.start_worker(2, {"--accelerators", "1"});
    CPPUNIT_ASSERT(eventually([&] {
      return job_state_of(s, 1) == "done" && job_state_of(s, 2) == "done";
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(system_test);
