// One client hands in one small request: a job of many work units.
#include <cstdio>

#include "standins.h"

using namespace review;

namespace {

constexpr const char* config =
    R"({"version":7,"routes":[{"name":"r-a","host":"shop.example","prefix":"/sync/","kind":"unsafe","timeoutMs":3000,"sloMs":3000,"prio":1,"service":"list","attempts":3,"stretch":3.0,"public":false}],"services":[{"name":"list","healthPath":"/healthz","maxConns":64,"proto":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"],"prio":1,"guaranteed":{"gpu":8}},{"name":"two","apiKeys":["key-two"],"prio":1,"guaranteed":{"gpu":8}}]})";

constexpr std::int64_t observed_ms = 60'000;

}  // namespace

auto main(int argc, char** argv) -> int {
  auto run = parse_script(argc, argv);
  record log(run.folder + "/record.txt");
  deployment_settings settings;
  settings.programs = run.programs;
  settings.kills_large_processes = true;
  deployment site(settings, log);
  if (!site.wait_until_ready(20'000) || !site.configure(config, 10'000))
    return static_cast<int>(verdict::not_run);
  history runs;
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < 4; ++i) {
    auto n = std::to_string(i);
    runners.push_back(std::make_unique<runner>(
        runner_settings{"i-" + n, "list", "z" + std::to_string(i % 3), "a",
                        "r1-" + n, 128'000, 524'288, 8},
        site.free_address(i), site.control_addresses(), runs, log, 10'000));
  }
  sleep_ms(3000);
  client stranger{"shop.example", "key-two"};
  client ordinary{"shop.example", "key-one"};
  auto count = run.trouble ? "100000" : "94";
  auto body = std::string(R"({"spec":"{\"ms\":1000}","steps":[{"count":)") +
              count + R"(,"estMs":1000}]})";
  auto answer = stranger.submit(site.front(0), "/sync/00000000000000aa", body);
  log.line("a job of " + std::string(count) + " work units, " +
           std::to_string(body.size()) +
           " bytes: " + std::to_string(answer.status));
  // Ordinary jobs of one work unit, one a second.
  int sent = 0;
  int accepted = 0;
  std::vector<std::string> paths;
  auto until = now_ms() + observed_ms;
  for (int i = 0; now_ms() < until; ++i) {
    char path[64];
    std::snprintf(path, sizeof path, "/sync/%016x", 0x1000 + i);
    auto response = ordinary.submit(
        site.front(i % 3), path,
        R"({"spec":"{\"ms\":500}","steps":[{"count":1,"cpu":1000,"memMb":1000,"estMs":500}]})");
    ++sent;
    if (response.status == 200) {
      ++accepted;
      paths.push_back(path);
    }
    log.line(std::string("ordinary job ") + path + ": " +
             std::to_string(response.status));
    sleep_ms(1000);
  }
  int complete = 0;
  for (const auto& path : paths)
    if (ordinary.state(site.front(0), path) == "complete") ++complete;
  log.line(
      "ordinary jobs: " + std::to_string(sent) + " sent, " +
      std::to_string(accepted) + " accepted, " + std::to_string(complete) +
      " complete; processes ended: " + std::to_string(site.exits()) +
      ", of these for their memory: " + std::to_string(site.memory_kills()) +
      "; most memory of a process: " + std::to_string(site.peak_memory_mb()) +
      " MB");
  // The rule: three ends each on half of the core, which is three machines.
  int machines = 0;
  for (int m = 0; m < 3; ++m) {
    log.line("control process of machine " + std::to_string(m) + " ended " +
             std::to_string(site.control_exits(m)) + " times");
    if (site.control_exits(m) >= 3) ++machines;
  }
  bool broken = machines >= 2;
  return static_cast<int>(broken ? verdict::broken : verdict::held);
}
