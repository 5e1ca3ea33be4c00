// The operator changes the terms of a queue's policy: its tickets are valid for
// a shorter time. Jobs are handed in before and after.
#include <cstdio>

#include "standins.h"

using namespace review;

namespace {

constexpr std::int64_t decide_ms = 300;
constexpr std::int64_t period_ms = 50;  // 1.5 s for the 30 runners of a call
constexpr std::int64_t long_ms = 10'000;
constexpr std::int64_t short_ms = 2400;
constexpr int runners_count = 30;
constexpr int jobs_count = 3;
constexpr std::int64_t finish_ms = 30'000;

auto config(int version, std::int64_t valid_ms) -> std::string {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-a","host":"shop.example","prefix":"/match/","kind":"unsafe","timeoutMs":3000,"sloMs":3000,"prio":2,"service":"list","attempts":3,"stretch":3.0,"public":false,"advice":{"decideMs":)" +
         std::to_string(decide_ms) + R"(,"periodMs":)" +
         std::to_string(period_ms) + R"(,"validMs":)" +
         std::to_string(valid_ms) +
         R"(}}],"services":[{"name":"list","healthPath":"/healthz","maxConns":64,"proto":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"],"prio":1,"guaranteed":{"gpu":8}}]})";
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto run = parse_script(argc, argv);
  record log(run.folder + "/record.txt");
  deployment_settings settings;
  settings.programs = run.programs;
  settings.advice = any_free_address();
  policy advice(settings.advice, log);
  advice.set_terms(decide_ms, period_ms, long_ms);
  deployment site(settings, log);
  if (!site.wait_until_ready(20'000) ||
      !site.configure(config(7, long_ms), 10'000))
    return static_cast<int>(verdict::not_run);
  history runs;
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < runners_count; ++i) {
    auto n = std::to_string(i);
    runner_settings one{"i-" + n,
                        "list",
                        "z" + std::to_string(i % 3),
                        "a",
                        "r1-" + std::to_string(i / 8),
                        128'000,
                        524'288,
                        8};
    one.checks_tickets = true;
    runners.push_back(std::make_unique<runner>(one, site.free_address(i),
                                               site.control_addresses(), runs,
                                               log, 10'000));
  }
  sleep_ms(4000);
  client one{"shop.example", "key-one"};
  auto submit = [&](int first) {
    std::vector<std::string> paths;
    for (int i = first; i < first + jobs_count; ++i) {
      char path[64];
      std::snprintf(path, sizeof path, "/match/%016x", i);
      auto response = one.submit(
          site.front(i % 3), path,
          R"({"spec":"{\"ms\":1000}","steps":[{"count":2,"cpu":11000,"memMb":59000,"gpu":1,"estMs":1000}]})");
      log.line(std::string("job ") + path + ": " +
               std::to_string(response.status));
      if (response.status == 200) paths.push_back(path);
    }
    return paths;
  };
  auto count_complete = [&](const std::vector<std::string>& paths) {
    int complete = 0;
    for (const auto& path : paths) {
      auto state = one.state(site.front(0), path);
      log.line("job " + path + " is " + state);
      if (state == "complete") ++complete;
    }
    return complete;
  };
  auto before = submit(0x100);
  sleep_ms(finish_ms);
  if (count_complete(before) != jobs_count)
    return static_cast<int>(verdict::not_run);
  auto valid_ms = run.trouble ? short_ms : long_ms;
  advice.set_terms(decide_ms, period_ms, valid_ms);
  if (!site.configure(config(8, valid_ms), 10'000))
    return static_cast<int>(verdict::not_run);
  sleep_ms(3000);
  auto after = submit(0x200);
  if (after.size() != jobs_count) return static_cast<int>(verdict::not_run);
  sleep_ms(finish_ms);
  int complete = count_complete(after);
  log.line("after the change " + std::to_string(complete) + " of " +
           std::to_string(after.size()) +
           " accepted jobs are complete, with 30 idle runners");
  return static_cast<int>(complete < jobs_count ? verdict::broken
                                                : verdict::held);
}
