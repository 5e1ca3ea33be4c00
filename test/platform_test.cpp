#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <tuple>
#include <vector>

#include "platform/bodies.h"
#include "platform/node_settings.h"
#include "platform/services.h"
#include "platform/settings_follower.h"

using namespace parsleyledge;
using platform::body_error;

namespace {

const std::string good_site = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "prefix": "/one/", "kind": "unsafe",
     "timeoutMs": 3000, "sloMs": 1000, "prio": 1, "service": "s",
     "attempts": 2, "stretch": 3.0, "public": false},
    {"name": "r2", "host": "a.example", "prefix": "/one/two/",
     "timeoutMs": 3000, "service": "s", "public": true,
     "advice": {"decideMs": 20, "periodMs": 2, "validMs": 3000}}],
  "services": [{"name": "s", "enforcesCapacity": true, "later": 1}],
  "limits": {"bodyBytes": 262144},
  "tenants": [
    {"name": "t1", "apiKeys": ["k1", "k2"], "guaranteed": {"gpu": 72}},
    {"name": "t2", "apiKeys": ["k3"]}]})";

const std::string good_report = R"({"service": "s", "addr": "10.0.0.1:80",
  "zone": "z", "version": "v1", "slots": 8, "state": "ready",
  "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 8},
  "labels": ["a", "r1-3"], "clockMs": 482113, "seq": 4, "born": 1700000000123,
  "machine": "m-1"})";

/// The text with the first `from` replaced.
auto with(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  auto at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE("no " + from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

template <typename T>
auto refused(const std::variant<T, body_error>& result) -> bool {
  return std::holds_alternative<body_error>(result);
}

template <typename T>
auto is(const fleet::worker_response& answer) -> bool {
  return std::holds_alternative<T>(answer);
}

}  // namespace

class platform_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_test);
  CPPUNIT_TEST(reads_a_configuration);
  CPPUNIT_TEST(refuses_invalid_configurations);
  CPPUNIT_TEST(reads_a_job);
  CPPUNIT_TEST(refuses_invalid_jobs);
  CPPUNIT_TEST(reads_a_report);
  CPPUNIT_TEST(refuses_reports_of_other_writers);
  CPPUNIT_TEST(names_tasks_both_ways);
  CPPUNIT_TEST(writes_orders);
  CPPUNIT_TEST(reads_answers);
  CPPUNIT_TEST(reads_settings);
  CPPUNIT_TEST(refuses_bad_settings);
  CPPUNIT_TEST(reads_waves);
  CPPUNIT_TEST(follows_a_settings_file);
  CPPUNIT_TEST(asks_policies_and_reads_their_answers);
  CPPUNIT_TEST(orders_upkeep_and_reads_the_answers);
  CPPUNIT_TEST(reads_lists_of_machines_page_by_page);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reads_a_configuration() {
    auto result = platform::parse_site(good_site);
    CPPUNIT_ASSERT(!refused(result));
    const auto& site = std::get<fleet::site>(result);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, site.version);
    const auto* one = find_queue(site, "a.example", "/one/x");
    const auto* two = find_queue(site, "a.example", "/one/two/x");
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), one->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), two->name);
    CPPUNIT_ASSERT(find_queue(site, "b.example", "/one/x") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, one->attempts);
    CPPUNIT_ASSERT(two->open && two->advice.has_value());
    CPPUNIT_ASSERT(site.services.at("s").enforces_capacity);
    CPPUNIT_ASSERT_EQUAL(std::string("t2"), site.customer_by_key.at("k3"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{72},
                         site.customers.at("t1").guaranteed_accelerators);
  }

  void refuses_invalid_configurations() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"cut short", good_site.substr(0, good_site.size() / 2)},
        {"no object", "[]"},
        {"empty", ""},
        {"unknown service",
         with(good_site, R"("service": "s",)", R"("service": "x",)")},
        {"the same place twice", with(good_site, "/one/two/", "/one/")},
        {"no time", with(good_site, "\"timeoutMs\": 3000", "\"timeoutMs\": 0")},
        {"a shared key", with(good_site, "k3", "k1")},
        {"no version", with(good_site, "\"version\": 7,", "")},
        {"a version as text", with(good_site, ": 7,", ": \"7\",")},
        {"a route without a host",
         with(good_site, "\"host\": \"a.example\",", "")},
        {"routes of another type",
         with(good_site, "\"routes\": [", "\"routes\": [1,")},
        {"a key of another type", with(good_site, "\"k1\"", "5")}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name, refused(platform::parse_site(body)));
    }
  }

  void reads_a_job() {
    auto result = platform::parse_job(
        R"({"spec": "x", "times": 3, "offsetMs": 1700000000000,
            "intervalMs": 2000, "unknown": {},
            "steps": [{"count": 4, "cpu": 500, "memMb": 256, "estMs": 900,
                       "gang": true, "dataRack": "r1-3"},
                      {"count": 20, "gpu": 2, "after": [0],
                       "checkpoint": true, "requires": "a",
                       "maxPerServer": 2}]})");
    CPPUNIT_ASSERT(!refused(result));
    const auto& job = std::get<fleet::job_spec>(result);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, job.times);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job.steps.size());
    CPPUNIT_ASSERT(job.steps[0].gang);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job.steps[0].data_rack);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, job.steps[1].after.at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, job.steps[1].max_per_worker);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000002000}, to_ms(due_at(job, 1)));
  }

  void refuses_invalid_jobs() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"no steps", R"({"spec": "x"})"},
        {"an empty list", R"({"steps": []})"},
        {"a step before itself", R"({"steps": [{"count": 1, "after": [0]}]})"},
        {"no tasks", R"({"steps": [{"count": 0}]})"},
        {"a count as text", R"({"steps": [{"count": "4"}]})"},
        {"negative need", R"({"steps": [{"count": 1, "cpu": -5}]})"},
        {"a step of another type", R"({"steps": [4]})"},
        {"a long text", R"({"spec": ")" + std::string(4001, 'x') +
                            R"(", "steps": [{"count": 1}]})"},
        {"cut", R"({"steps": [{"count": 1)"}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name, refused(platform::parse_job(body)));
    }
  }

  void reads_a_report() {
    auto result = platform::parse_report("i-1", good_report);
    CPPUNIT_ASSERT(!refused(result));
    const auto& said = std::get<fleet::worker_report>(result);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), said.rack);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123},
                         said.incarnation.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, said.capacity.accelerators);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{482113}, *said.clock_ms);
  }

  void refuses_reports_of_other_writers() {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"unreadable bytes", "\xff\xfe{"},
        {"an unknown state", with(good_report, "ready", "resting")},
        {"no address", with(good_report, "\"addr\": \"10.0.0.1:80\",", "")},
        {"a service of another type",
         with(good_report, "\"service\": \"s\"", "\"service\": 5")},
        {"no sequence", with(good_report, "\"seq\": 4,", "")},
        {"labels of another type",
         with(good_report, "[\"a\", \"r1-3\"]", "\"a\"")},
        {"capacity of another type",
         with(good_report, "\"gpu\": 8", "\"gpu\": \"8\"")}};
    for (const auto& [name, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(name,
                             refused(platform::parse_report("i-1", body)));
    }
  }

  void names_tasks_both_ways() {
    auto order = platform::write_request(
        fleet::stop_request{{{0x5c0e7a21d94b36f8}, 0, 1, 17}, 2}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/run-stop"), order.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"fence":7,"task":"5c0e7a21d94b36f8.0.1.17","run":2})"),
        order.body);
    auto task = platform::parse_task("5c0e7a21d94b36f8.0.1.17");
    CPPUNIT_ASSERT(task.has_value());
    CPPUNIT_ASSERT(*task == (fleet::task_ref{{0x5c0e7a21d94b36f8}, 0, 1, 17}));
    for (const auto* bad :
         {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1",
          "5c0e7a21d94b36f8.0.1.x", "zz.0.1.2", "5c0e7a21d94b36f8.0.1.17.3"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !platform::parse_task(bad).has_value());
    }
  }

  void writes_orders() {
    auto start = platform::write_request(
        fleet::start_request{{{1}, 2, 3, 4}, 5, "text", 486'000, "snap", ""},
        7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/run-start"), start.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"fence":7,"task":"0000000000000001.2.3.4","run":5,)"
                    R"("spec":"text","deadlineMs":486000,"snapshot":"snap"})"),
        start.body);
    auto poll = platform::write_request(
        fleet::poll_request{486'000, 57, milliseconds(1000)}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/hold"), poll.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"fence":7,"deadlineMs":486000,"ackedSeq":57,"waitMs":1000})"),
        poll.body);
    auto bare = platform::write_request(fleet::poll_request{}, 7);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"fence":7,"ackedSeq":0})"), bare.body);
  }

  void reads_answers() {
    fleet::worker_request start = fleet::start_request{};
    fleet::worker_request poll = fleet::poll_request{};
    using namespace fleet;
    auto parse = platform::parse_answer;
    CPPUNIT_ASSERT(is<request_accepted>(parse(start, 200, R"({"clockMs":5})")));
    CPPUNIT_ASSERT(is<wrong_incarnation>(parse(start, 421, "")));
    CPPUNIT_ASSERT(is<worker_unavailable>(parse(start, 429, "")));
    CPPUNIT_ASSERT(is<worker_unavailable>(parse(start, 503, "x")));
    CPPUNIT_ASSERT(is<worker_no_response>(parse(start, 200, R"({"clock)")));
    CPPUNIT_ASSERT(is<worker_no_response>(parse(start, 500, "{}")));
    const std::vector<std::pair<std::string, rejection>> reasons = {
        {"fence", rejection::stale_fence},  {"old", rejection::stale_run},
        {"late", rejection::lease_expired}, {"room", rejection::no_capacity},
        {"ticket", rejection::no_ticket},   {"new words", rejection::invalid}};
    for (const auto& [word, why] : reasons) {
      auto answer =
          parse(start, 409, R"({"clockMs":5,"reason":")" + word + "\"}");
      CPPUNIT_ASSERT(is<request_rejected>(answer));
      CPPUNIT_ASSERT(std::get<request_rejected>(answer).why == why);
    }
    auto polled = parse(poll, 200, R"({"clockMs":482113,"born":9,
      "running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,1.5],["bad",1],7],
      "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","s"],
                  [59,"5c0e7a21d94b36f8.0.1.8",1,"odd",""]]})");
    CPPUNIT_ASSERT(is<poll_response>(polled));
    const auto& lists = std::get<poll_response>(polled);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, lists.started_at_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.running.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{41}, lists.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lists.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, lists.ended[0].sequence);
  }

  void reads_settings() {
    auto result = platform::parse_settings(
        "node=edge-1\nrole=x\nip=10.1.0.19\nzone=a\nlisten.front=10.1.0.19:85\n"
        "portRange=7000,7015\nseeds=10.1.0.19:86,10.2.0.35:86\nbootstrap=true\n"
        "limits.cores=2\nlimits.cpuShare=0.5\nbounds.graceS=6\nnew.key=1\n"
        "advice=\n");
    CPPUNIT_ASSERT(std::holds_alternative<platform::node_settings>(result));
    const auto& node = std::get<platform::node_settings>(result);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node.seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, node.grace.count());
    CPPUNIT_ASSERT(node.first_start);
    CPPUNIT_ASSERT_EQUAL(std::string("10.2.0.35:7000"),
                         platform::peer_address(node, node.seeds[1]));
  }

  void refuses_bad_settings() {
    const std::string good = "node=n\nip=10.0.0.1\nportRange=7000,7015\n";
    const std::vector<std::pair<std::string, std::size_t>> cases = {
        {good + "no sign", 4},
        {good + "bootstrap=yes", 4},
        {good + "seeds=here", 4},
        {good + "bounds.graceS=soon", 4},
        {good + "limits.cores=0", 4},
        {good + "listen.front=front", 4},
        {"ip=10.0.0.1\nportRange=7000,7015\n", 0},
        {"node=n\nip=10.0.0.1\nportRange=9,5\n", 3},
        {"", 0}};
    for (const auto& [text, line] : cases) {
      auto result = platform::parse_settings(text);
      const auto* error = std::get_if<platform::settings_error>(&result);
      CPPUNIT_ASSERT_MESSAGE(text, error != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line, error->line);
      CPPUNIT_ASSERT(!to_string(*error).empty());
    }
  }

  void reads_waves() {
    auto result = platform::parse_wave(
        R"({"wave":1,"machines":["m1","m2"],"durationS":20,"maxCount":1})");
    CPPUNIT_ASSERT(!refused(result));
    const auto& wave = std::get<fleet::start_wave_request>(result);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{20'000}, wave.wave.duration.count());
    CPPUNIT_ASSERT(refused(platform::parse_wave(R"({"wave":1})")));
    CPPUNIT_ASSERT(refused(platform::parse_wave("")));
  }

  void follows_a_settings_file() {
    std::string path =
        "/tmp/parsleyledge-follower-" + std::to_string(::getpid()) + ".conf";
    auto write = [&](const std::string& text) {
      std::ofstream(path, std::ios::trunc) << text;
    };
    const std::string good = "node=n\nip=10.0.0.1\nportRange=7000,7015\n";
    write(good);
    platform::settings_follower follower(path);
    std::vector<std::string> seeds;
    int used = 0;
    auto use = [&](const platform::node_settings& changed) {
      ++used;
      seeds = changed.seeds;
    };
    follower.follow(use);
    CPPUNIT_ASSERT_EQUAL(0, used);
    write(good + "seeds=10.0.0.2:8526\n");
    follower.follow(use);
    follower.follow(use);
    CPPUNIT_ASSERT_EQUAL(1, used);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:8526"), seeds.at(0));
    write("node=n\nportRange=no\n");
    follower.follow(use);
    std::remove(path.c_str());
    follower.follow(use);
    CPPUNIT_ASSERT_EQUAL(1, used);
  }

  void asks_policies_and_reads_their_answers() {
    auto call = platform::write_advice_call(
        {1, {{0xff}, 0, 1}, {{"i-1", 5}, {"i-2", 6}}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("/api/advise"), call.path);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"step":"00000000000000ff.0.1","workers":["i-1","i-2"]})"),
        call.body);
    using namespace fleet;
    auto read = [](int status, std::string_view body) {
      return platform::parse_advice(status, body);
    };
    auto given = std::get<advice_given>(
        read(200, R"({"allowed":[["i-1","t"],["i-3"],7],"validMs":3000})"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given.allowed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), given.allowed[0].ticket);
    CPPUNIT_ASSERT(given.validity == milliseconds(3000));
    CPPUNIT_ASSERT(std::holds_alternative<advice_busy>(read(429, "")));
    for (const auto* body : {"", "{}", R"({"allowed":3})", R"({"allow)"}) {
      CPPUNIT_ASSERT(
          std::holds_alternative<advice_no_response>(read(200, body)));
    }
    CPPUNIT_ASSERT(std::holds_alternative<advice_no_response>(read(500, "{}")));
  }

  void orders_upkeep_and_reads_the_answers() {
    auto call = platform::write_maintenance_call({"m-1", 4});
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machine-upkeep"), call.path);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"machine":"m-1","wave":4})"),
                         call.body);
    using fleet::machine_rejected;
    using fleet::machine_rejection;
    CPPUNIT_ASSERT(std::holds_alternative<fleet::machine_accepted>(
        platform::parse_maintenance(200, "")));
    constexpr std::tuple<int, std::string_view, machine_rejection> table[] = {
        {400, "{}", machine_rejection::unknown},
        {409, R"({"reason":"fence"})", machine_rejection::fence},
        {409, R"({"reason":"busy"})", machine_rejection::busy},
        {409, R"({"reason":"wave"})", machine_rejection::wave},
        {429, "", machine_rejection::later},
        {503, "", machine_rejection::later}};
    for (const auto& [status, body, why] : table) {
      auto answer = platform::parse_maintenance(status, body);
      CPPUNIT_ASSERT(std::get<machine_rejected>(answer).why == why);
    }
    CPPUNIT_ASSERT(std::holds_alternative<fleet::machine_no_response>(
        platform::parse_maintenance(409, "cut")));
  }

  void reads_lists_of_machines_page_by_page() {
    std::vector<fleet::listed_machine> machines;
    std::string next;
    CPPUNIT_ASSERT(platform::parse_machines(
        R"({"machines":[{"machine":"m-1","state":"up"},{"state":"up"},3,)"
        R"({"machine":"m-2","state":"upkeep"}],"nextToken":"p2"})",
        machines, next));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machines.size());
    CPPUNIT_ASSERT(machines[1].state == fleet::machine_state::maintenance);
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machines?pageToken=p2"),
                         platform::machines_path(next));
    CPPUNIT_ASSERT(platform::parse_machines(
        R"({"machines":[],"nextToken":null})", machines, next));
    CPPUNIT_ASSERT_EQUAL(std::string("/api/machines"),
                         platform::machines_path(next));
    CPPUNIT_ASSERT(
        !platform::parse_machines(R"({"machines":4})", machines, next));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);
