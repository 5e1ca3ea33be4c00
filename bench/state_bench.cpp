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
constexpr std::size_t batch_size = 256;  // changes per sync

auto ms_since(clock::time_point started) -> double {
  return std::chrono::duration<double, std::milli>(clock::now() - started)
      .count();
}

auto format(double value) -> std::string {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", value);
  return out;
}

auto quantile(std::vector<double>& values, double q) -> double {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

/// A log entry that changes a configuration file.
auto make_entry(std::uint64_t index) -> agreement::log_entry {
  put_file command{"20-grocer.toml",
                   "[customers.grocer]\nshare = 2\n",
                   {index - 1},
                   "change-" + std::to_string(index),
                   index,
                   at_ms(1)};
  return {{{1}, {index}}, agreement::entry_kind::command, encode(command), {}};
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
    table.rows.push_back({std::move(name), format(value)});
  };
  folder_owner owner{"bench", {1}};
  for (std::size_t n = 10'000; n <= records; n *= 10) {
    auto path = std::string(folder) + "/state-bench-" + std::to_string(n);
    std::filesystem::remove_all(path);
    {
      journal log{disk_files(path)};
      BOOST_LEAF_CHECK(log.open(owner));
      if (n == 10'000) {
        std::vector<double> sync_times;
        for (int i = 0; i < sync_samples; ++i) {
          auto started = clock::now();
          BOOST_LEAF_CHECK(log.append(agreement::hard_state{{1}, {1}}));
          BOOST_LEAF_CHECK(log.sync());
          sync_times.push_back(ms_since(started));
        }
        add("one sync p50 ms", quantile(sync_times, 0.5));
        add("one sync p99 ms", quantile(sync_times, 0.99));
      }
      std::vector<double> batch_times;
      auto started = clock::now();
      for (std::size_t i = 1; i <= n; i += batch_size) {
        std::vector<agreement::log_entry> entries;
        for (std::size_t j = i; j < i + batch_size && j <= n; ++j) {
          entries.push_back(make_entry(j));
        }
        auto batch_started = clock::now();
        BOOST_LEAF_CHECK(log.append(entries));
        BOOST_LEAF_CHECK(log.sync());
        batch_times.push_back(ms_since(batch_started));
      }
      auto elapsed_ms = ms_since(started);
      add("changes/s in batches of 256, " + std::to_string(n),
          static_cast<double>(n) / elapsed_ms * 1000);
      add("batch p99 ms, " + std::to_string(n), quantile(batch_times, 0.99));
    }
    auto before = resident_mb();
    auto started = clock::now();
    journal log{disk_files(path)};
    BOOST_LEAF_AUTO(found, log.open(owner));
    add("read ms, " + std::to_string(n), ms_since(started));
    replicated_state state;
    for (const auto& e : found.entries) {
      if (auto command = decode_command(e.payload)) {
        state.apply(*command, e.position.index);
      }
    }
    add("read and apply ms, " + std::to_string(n), ms_since(started));
    add("memory MB, " + std::to_string(n), resident_mb() - before);
    started = clock::now();
    auto copy = state.tables();
    add("copy for a snapshot ms, " + std::to_string(n), ms_since(started));
    started = clock::now();
    auto bytes = encode(copy);
    add("encode a snapshot ms, " + std::to_string(n), ms_since(started));
    add("snapshot MB, " + std::to_string(n),
        static_cast<double>(bytes.size()) / 1e6);
    std::filesystem::remove_all(path);
  }
  std::cout << table.format();
  return {};
}

}  // namespace

void run_state_bench(std::string_view folder, std::size_t records) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return measure(folder, records); },
      [](const io_error& e) {
        exit_with_message(exit_code::refused, e.text());
      },
      [](const journal_error& e) {
        exit_with_message(exit_code::refused, e.detail);
      },
      [] { exit_with_message(exit_code::refused, "unknown error"); });
}

}  // namespace parsleyledge::bench
