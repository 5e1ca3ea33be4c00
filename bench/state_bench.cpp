#include "state_bench.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "adapters/codec.h"
#include "adapters/io_error.h"
#include "adapters/journal.h"
#include "adapters/operator_client.h"
#include "adapters/table.h"
#include "core/state/replicated_state.h"

namespace parsleyledge::bench {

namespace {

namespace leaf = boost::leaf;
using clock = std::chrono::steady_clock;

constexpr int sync_samples = 300;
constexpr std::size_t batch = 256;  // changes that share a sync

auto ms_since(clock::time_point begun) -> double {
  return std::chrono::duration<double, std::milli>(clock::now() - begun)
      .count();
}

auto text(double value) -> std::string {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", value);
  return out;
}

auto quantile(std::vector<double>& values, double q) -> double {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

auto change(std::uint64_t index) -> agreement::log_entry {
  put_file what{"20-grocer.toml",
                "[customers.grocer]\nshare = 2\n",
                {index - 1},
                "change-" + std::to_string(index),
                index,
                at_ms(1)};
  return {{{1}, {index}}, agreement::entry_kind::command, encode(what), {}};
}

/// Resident memory of this process in MB.
auto resident_mb() -> double {
  double pages = 0;
  double resident = 0;
  if (auto* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%lf %lf", &pages, &resident) != 2) resident = 0;
    std::fclose(file);
  }
  return resident * 4096 / 1e6;
}

auto measure(std::string_view folder, std::size_t records)
    -> leaf::result<void> {
  text_table table{{"measure", "value"}, {}};
  auto add = [&](std::string name, double value) {
    table.rows.push_back({std::move(name), text(value)});
  };
  folder_owner owner{"bench", {1}};
  for (std::size_t n = 10'000; n <= records; n *= 10) {
    auto path = std::string(folder) + "/state-bench-" + std::to_string(n);
    std::filesystem::remove_all(path);
    {
      journal disk{disk_files(path)};
      BOOST_LEAF_CHECK(disk.open(owner));
      if (n == 10'000) {
        std::vector<double> syncs;
        for (int i = 0; i < sync_samples; ++i) {
          auto begun = clock::now();
          BOOST_LEAF_CHECK(disk.append(agreement::hard_state{{1}, {1}}));
          BOOST_LEAF_CHECK(disk.sync());
          syncs.push_back(ms_since(begun));
        }
        add("one sync p50 ms", quantile(syncs, 0.5));
        add("one sync p99 ms", quantile(syncs, 0.99));
      }
      std::vector<double> batches;
      auto begun = clock::now();
      for (std::size_t i = 1; i <= n; i += batch) {
        std::vector<agreement::log_entry> entries;
        for (std::size_t j = i; j < i + batch && j <= n; ++j) {
          entries.push_back(change(j));
        }
        auto one = clock::now();
        BOOST_LEAF_CHECK(disk.append(entries));
        BOOST_LEAF_CHECK(disk.sync());
        batches.push_back(ms_since(one));
      }
      auto took = ms_since(begun);
      add("changes/s in batches of 256, " + std::to_string(n),
          static_cast<double>(n) / took * 1000);
      add("batch p99 ms, " + std::to_string(n), quantile(batches, 0.99));
    }
    auto before = resident_mb();
    auto begun = clock::now();
    journal disk{disk_files(path)};
    BOOST_LEAF_AUTO(found, disk.open(owner));
    add("read ms, " + std::to_string(n), ms_since(begun));
    replicated_state state;
    for (const auto& e : found.entries) {
      if (auto what = decode_command(e.payload)) {
        state.apply(*what, e.position.index);
      }
    }
    add("read and apply ms, " + std::to_string(n), ms_since(begun));
    add("memory MB, " + std::to_string(n), resident_mb() - before);
    begun = clock::now();
    auto copy = state.tables();
    add("copy for a snapshot ms, " + std::to_string(n), ms_since(begun));
    begun = clock::now();
    auto bytes = encode(copy);
    add("encode a snapshot ms, " + std::to_string(n), ms_since(begun));
    add("snapshot MB, " + std::to_string(n),
        static_cast<double>(bytes.size()) / 1e6);
    std::filesystem::remove_all(path);
  }
  std::cout << table.print();
  return {};
}

}  // namespace

void run_state_bench(std::string_view folder, std::size_t records) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return measure(folder, records); },
      [](const io_error& e) { give_up(exit_code::refused, e.text()); },
      [](const journal_error& e) { give_up(exit_code::refused, e.detail); },
      [] { give_up(exit_code::refused, "unknown error"); });
}

}  // namespace parsleyledge::bench
