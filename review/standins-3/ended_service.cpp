// A work unit that lasts ends `done` while its runner is cut off. Ordinary jobs
// follow once the runner is back.
#include <cstdio>
#include <map>
#include <set>

#include "standins.h"

using namespace review;

namespace {

constexpr const char* config =
    R"({"version":7,"routes":[{"name":"r-a","host":"desk.example","prefix":"/scan/","kind":"unsafe","timeoutMs":3000,"sloMs":3000,"prio":2,"service":"desk","attempts":3,"stretch":3.0,"public":false},{"name":"r-b","host":"desk.example","prefix":"/review/","kind":"unsafe","timeoutMs":3000,"sloMs":1000,"prio":1,"service":"desk","attempts":3,"stretch":3.0,"public":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":64,"proto":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"],"prio":1,"guaranteed":{"gpu":8}}]})";

constexpr std::int64_t cut_ms = 8000;  // of one runner of four
constexpr std::int64_t finish_ms = 14'000;
constexpr int jobs_count = 36;
constexpr std::int64_t pair_interval_ms = 1500;
const std::string lasting = "00000000000000d1";
const std::string lasting_path = "/review/" + lasting;

/// The index of the runner where the lasting work unit has been at work for a
/// while, and of its entry in the history; -1 if there is none.
auto find_host(history& runs, std::int64_t least_age, std::int64_t most_age,
               std::string& id) -> bool {
  std::lock_guard lock(runs.mutex);
  for (const auto& one : runs.runs) {
    auto age = now_ms() - one.started_at;
    if (!one.task.starts_with(lasting) || one.ended_at >= 0) continue;
    if (age < least_age || age > most_age) continue;
    id = one.runner;
    return true;
  }
  return false;
}

struct job_view {
  std::set<std::string> done_first;  // work units of the first step
  std::int64_t last_first_done = 0;
  int running = 0;
  bool second_begun = false;
};

auto view_of(history& runs, const std::string& job) -> job_view {
  std::lock_guard lock(runs.mutex);
  job_view view;
  for (const auto& one : runs.runs) {
    if (!one.task.starts_with(job)) continue;
    if (one.ended_at < 0) ++view.running;
    bool second = one.task.starts_with(job + ".0.1.");
    view.second_begun = view.second_begun || second;
    if (second || one.how != "done") continue;
    view.done_first.insert(one.task);
    view.last_first_done = std::max(view.last_first_done, one.ended_at);
  }
  return view;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto run = parse_script(argc, argv);
  record log(run.folder + "/record.txt");
  deployment_settings settings;
  settings.programs = run.programs;
  deployment site(settings, log);
  if (!site.wait_until_ready(20'000) || !site.configure(config, 10'000))
    return static_cast<int>(verdict::not_run);
  history runs;
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < 4; ++i) {
    auto n = std::to_string(i);
    runners.push_back(std::make_unique<runner>(
        runner_settings{"i-" + n, "desk", "z" + std::to_string(i % 3), "a",
                        "r1-1", 64'000, 262'144, 8},
        site.free_address(i), site.control_addresses(), runs, log, 10'000));
  }
  sleep_ms(4000);
  client one{"desk.example", "key-one"};
  // Its program ends by itself after six seconds and is started again.
  auto accepted = one.submit(
      site.front(0), lasting_path,
      R"({"spec":"{\"lasts\":true,\"ms\":6000}","steps":[{"count":1,"cpu":500,"memMb":256,"estMs":500,"daemon":true}]})");
  log.line("a lasting job: " + std::to_string(accepted.status));
  if (accepted.status != 200) return static_cast<int>(verdict::not_run);
  // The cut begins while a poll waits, shortly before the work unit ends.
  runner* host = nullptr;
  for (auto until = now_ms() + 30'000; host == nullptr && now_ms() < until;
       sleep_ms(5)) {
    std::string id;
    if (!find_host(runs, 3000, 5200, id)) continue;
    for (auto& r : runners) {
      auto since = r->polled_since();
      if (r->id() == id && since >= 0 && now_ms() - since >= 1720) host = &*r;
    }
  }
  if (host == nullptr) return static_cast<int>(verdict::not_run);
  if (run.trouble) host->cut(true);
  sleep_ms(cut_ms);
  if (run.trouble) host->cut(false);
  sleep_ms(4000);
  // Ordinary jobs of two steps, two at a time.
  std::vector<std::string> jobs;
  for (int i = 0; i < jobs_count; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x2000 + i);
    auto response = one.submit(
        site.front(i % 3), "/scan/" + std::string(id),
        R"({"spec":"{\"ms\":200}","steps":[{"count":94,"cpu":1350,"memMb":1000,"estMs":200},{"count":1,"cpu":1350,"memMb":1000,"estMs":200,"after":[0]}]})");
    log.line("job " + std::string(id) + ": " + std::to_string(response.status));
    if (response.status == 200) jobs.push_back(id);
    if (i % 2 == 1) sleep_ms(pair_interval_ms);
  }
  sleep_ms(finish_ms);
  int stuck = 0;
  for (const auto& id : jobs) {
    auto state = one.state(site.front(0), "/scan/" + id);
    if (state == "complete") continue;
    auto view = view_of(runs, id);
    bool waits = view.done_first.size() == 94 && view.running == 0 &&
                 !view.second_begun && now_ms() - view.last_first_done > 3000;
    if (waits) ++stuck;
    log.line("job " + id + " is " + state + "; " +
             std::to_string(view.done_first.size()) +
             " of 94 work units of its first step have ended done, the last " +
             std::to_string(now_ms() - view.last_first_done) +
             " ms ago; its second step has " +
             (view.second_begun ? "" : "not ") + "begun");
  }
  for (auto& r : runners)
    log.line("runner " + r->id() + " lists " +
             std::to_string(r->unacknowledged()) +
             " ends that are not taken note of");
  log.line(std::to_string(jobs.size()) + " jobs accepted, " +
           std::to_string(stuck) +
           " of them with nothing running for over 3 s though the turn of "
           "their second step has come, on idle runners");
  return static_cast<int>(stuck > 0 ? verdict::broken : verdict::held);
}
