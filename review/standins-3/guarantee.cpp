// A tenant claims its guaranteed accelerators while another tenant's work
// holds all of them.
#include "standins.h"

using namespace review;

namespace {

constexpr const char* config =
    R"({"version":7,"routes":[{"name":"r-fast","host":"shop.example","prefix":"/sync/","kind":"unsafe","timeoutMs":3000,"sloMs":250,"prio":0,"service":"list","attempts":3,"stretch":1.5,"public":false},{"name":"r-slow","host":"shop.example","prefix":"/match/","kind":"unsafe","timeoutMs":3000,"sloMs":3000,"prio":2,"service":"list","attempts":3,"stretch":3.0,"public":false}],"services":[{"name":"list","healthPath":"/healthz","maxConns":64,"proto":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"],"prio":1,"guaranteed":{"gpu":8}},{"name":"two","apiKeys":["key-two"],"prio":1,"guaranteed":{"gpu":0}}]})";

constexpr std::int64_t reclaim_ms = 2700;
constexpr std::int64_t observed_ms = 40'000;

auto first_start(history& runs, const std::string& job) -> std::int64_t {
  std::lock_guard lock(runs.mutex);
  for (const auto& one : runs.runs)
    if (one.task.starts_with(job)) return one.started_at;
  return -1;
}

auto at_work(history& runs, const std::string& job) -> int {
  std::lock_guard lock(runs.mutex);
  int count = 0;
  for (const auto& one : runs.runs)
    if (one.task.starts_with(job) && one.ended_at < 0) ++count;
  return count;
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
        runner_settings{"i-" + n, "list", "z" + std::to_string(i % 3), "a",
                        "r1-1", 128'000, 524'288, 8},
        site.free_address(i), site.control_addresses(), runs, log, 10'000));
  }
  sleep_ms(4000);
  client one{"shop.example", "key-one"};
  client two{"shop.example", "key-two"};
  // The work of the lowest priority on all 32 accelerators. With the trouble it
  // lasts until its job is cancelled, without it it takes a minute.
  std::string low = "00000000000000b2";
  auto low_body =
      run.trouble
          ? R"({"spec":"{\"lasts\":true}","steps":[{"count":4,"cpu":11000,"memMb":59000,"gpu":8,"estMs":500,"daemon":true,"mayMiss":2}]})"
          : R"({"spec":"{\"ms\":60000}","steps":[{"count":4,"cpu":11000,"memMb":59000,"gpu":8,"estMs":60000}]})";
  auto accepted = two.submit(site.front(0), "/match/" + low, low_body);
  log.line("tenant two, priority 2: " + std::to_string(accepted.status));
  for (int i = 0; i < 100 && at_work(runs, low) < 4; ++i) sleep_ms(100);
  sleep_ms(2000);
  if (accepted.status != 200 || at_work(runs, low) != 4)
    return static_cast<int>(verdict::not_run);
  std::string fast = "00000000000000b0";
  auto claim = one.submit(
      site.front(1), "/sync/" + fast,
      R"({"spec":"{\"ms\":2500}","steps":[{"count":1,"cpu":15000,"memMb":61000,"gpu":8,"estMs":2500}]})");
  auto confirmed_at = now_ms();
  log.line("tenant one, priority 0, within its guarantee: " +
           std::to_string(claim.status));
  if (claim.status != 200) return static_cast<int>(verdict::not_run);
  while (now_ms() < confirmed_at + observed_ms && first_start(runs, fast) < 0) {
    sleep_ms(1000);
    log.line("the claim is " + one.state(site.front(1), "/sync/" + fast) +
             "; work units of tenant two at work: " +
             std::to_string(at_work(runs, low)));
  }
  auto began = first_start(runs, fast);
  bool held = began >= 0 && began <= confirmed_at + reclaim_ms;
  log.line(began < 0 ? "the claim did not begin within 40 s"
                     : "the claim began after " +
                           std::to_string(began - confirmed_at) + " ms");
  return static_cast<int>(held ? verdict::held : verdict::broken);
}
