#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace parsleyledge {

/// A histogram of latencies with logarithmic bins from 10 us to 1000 s. Several
/// threads may record at once.
class latency_metric {
 public:
  latency_metric();
  latency_metric(const latency_metric&) = delete;
  auto operator=(const latency_metric&) -> latency_metric& = delete;
  ~latency_metric();

  void record(std::chrono::nanoseconds latency);

  /// An upper bound of the given quantile (0 to 1), in seconds; 0 if empty.
  auto quantile(double q) const -> double;

  /// Number of recorded latencies.
  auto count() const -> std::uint64_t;

  /// Appends the metric as a summary in the Prometheus text format.
  void print(std::string_view name, std::string& out) const;

 private:
  struct impl;

  std::unique_ptr<impl> impl_;
};

/// The metrics of a process by name. Names follow Prometheus; a counter's
/// name may end in labels: `requests_total{outcome="ok"}`.
class metrics {
 public:
  /// The counter of this name, created on first use. The reference is valid
  /// for the lifetime of this object.
  auto counter(std::string_view name) -> std::atomic<std::uint64_t>&;

  /// The gauge of this name, created on first use. The reference is valid for
  /// the lifetime of this object.
  auto gauge(std::string_view name) -> std::atomic<std::uint64_t>&;

  /// The latency of this name, created on first use. The reference is valid
  /// for the lifetime of this object.
  auto latency(std::string_view name) -> latency_metric&;

  /// Formats all metrics in the Prometheus text format.
  auto format() const -> std::string;

 private:
  mutable std::mutex mutex_;  // leaf: no lock is taken under it
  std::map<std::string, std::atomic<std::uint64_t>, std::less<>> counters_;
  std::map<std::string, std::atomic<std::uint64_t>, std::less<>> gauges_;
  std::map<std::string, latency_metric, std::less<>> latencies_;
};

}  // namespace parsleyledge
