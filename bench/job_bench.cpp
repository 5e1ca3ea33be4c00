#include "job_bench.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <span>
#include <thread>

#include "adapters/table.h"
#include "job_replay.h"

namespace parsleyledge::bench {

namespace {

struct named_policy {
  std::string_view name;
  placement_policy policy;
};

const named_policy policies[] = {{"first_fit", first_fit{}},
                                 {"best_fit", best_fit{}},
                                 {"cells", cell_policy{}}};

using column = double replay_result::*;

struct named_column {
  std::string_view name;
  column value;
};

const named_column columns[] = {
    {"mean_s", &replay_result::mean_completion},
    {"p95_s", &replay_result::p95_completion},
    {"slowdown", &replay_result::mean_slowdown},
    {"fragment", &replay_result::fragmentation},
    {"large_p99_s", &replay_result::large_wait_p99},
    {"urgent_p99_s", &replay_result::urgent_start_p99},
    {"busy", &replay_result::utilisation},
    {"lost", &replay_result::lost_work},
    {"p50_us", &replay_result::decision_p50_us},
    {"p99_us", &replay_result::decision_p99_us},
    {"max_us", &replay_result::decision_max_us}};

auto format(double value) -> std::string {
  char text[32];
  const char* pattern = value >= 100 ? "%.0f" : value >= 1 ? "%.2f" : "%.4f";
  std::snprintf(text, sizeof text, pattern, value);
  return text;
}

auto mean_of(std::span<const replay_result> runs, column c) -> double {
  double sum = 0;
  for (const auto& r : runs) sum += r.*c;
  return sum / static_cast<double>(runs.size());
}

auto spread_of(std::span<const replay_result> runs, column c) -> double {
  auto mean = mean_of(runs, c);
  double sum = 0;
  for (const auto& r : runs) sum += (r.*c - mean) * (r.*c - mean);
  return std::sqrt(sum / static_cast<double>(runs.size()));
}

}  // namespace

void run_job_bench(const job_bench_settings& settings) {
  text_table table{{"policy"}, {}};
  for (const auto& c : columns) table.header.emplace_back(c.name);
  for (auto name : {"claims", "late", "reclaims", "unfinished"}) {
    table.header.emplace_back(name);
  }
  std::vector<std::vector<replay_result>> all;
  std::size_t done = 0;
  for (const auto& [name, policy] : policies) {
    if (!settings.only.empty() && settings.only != name) continue;
    std::vector<replay_result> runs(settings.seeds);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < settings.seeds; ++i) {
      threads.emplace_back([&, i] {
        auto mix = make_mix(settings.site, settings.load,
                            settings.first_seed + i, settings.jobs);
        runs[i] = replay(mix, policy);
      });
      if (threads.size() == settings.threads || i + 1 == settings.seeds) {
        for (auto& t : threads) t.join();
        done += threads.size();
        threads.clear();
        if (::isatty(STDERR_FILENO) != 0) {
          std::cerr << "\r" << done << " replays done";
        }
      }
    }
    std::vector<std::string> row{std::string(name)};
    boost::json::object out{{"site", to_string(settings.site)},
                            {"load", settings.load},
                            {"jobs", settings.jobs},
                            {"first_seed", settings.first_seed},
                            {"seeds", settings.seeds},
                            {"policy", name}};
    for (const auto& c : columns) {
      auto mean = mean_of(runs, c.value);
      row.push_back(format(mean));
      out[c.name] = mean;
      out[std::string(c.name) + "_sd"] = spread_of(runs, c.value);
    }
    std::uint64_t claims = 0, late = 0, reclaims = 0, unfinished = 0;
    for (const auto& r : runs) {
      claims += r.claims;
      late += r.claims_late;
      reclaims += r.reclaims;
      unfinished += r.unfinished;
    }
    for (auto n : {claims, late, reclaims, unfinished}) {
      row.push_back(std::to_string(n));
    }
    out["claims"] = claims;
    out["claims_late"] = late;
    out["reclaims"] = reclaims;
    out["unfinished"] = unfinished;
    if (settings.json) std::cout << boost::json::serialize(out) << "\n";
    table.rows.push_back(std::move(row));
  }
  if (::isatty(STDERR_FILENO) != 0) std::cerr << "\n";
  if (!settings.json) {
    std::cout << to_string(settings.site) << ", load " << settings.load << ", "
              << settings.jobs << " jobs, seeds " << settings.first_seed
              << " to " << settings.first_seed + settings.seeds - 1 << "\n"
              << table.format();
  }
}

}  // namespace parsleyledge::bench
