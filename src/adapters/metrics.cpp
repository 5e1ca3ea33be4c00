#include "adapters/metrics.h"

#include <boost/histogram.hpp>
#include <cstdio>

namespace parsleyledge {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bin_count = 120;
constexpr double min_latency_seconds = 1e-5;
constexpr double max_latency_seconds = 1e3;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using thread_safe_count = bh::accumulators::count<std::uint64_t, true>;
using storage = bh::dense_storage<thread_safe_count>;
using histogram = bh::histogram<std::tuple<log_axis>, storage>;

}  // namespace

struct latency_metric::impl {
  histogram bins = bh::make_histogram_with(
      storage(), log_axis(bin_count, min_latency_seconds, max_latency_seconds));
  std::atomic<std::uint64_t> total_ns{0};
  std::atomic<std::uint64_t> count{0};
};

latency_metric::latency_metric() : impl_(std::make_unique<impl>()) {}
latency_metric::~latency_metric() = default;

void latency_metric::record(std::chrono::nanoseconds latency) {
  impl_->bins(std::chrono::duration<double>(latency).count());
  impl_->total_ns += static_cast<std::uint64_t>(latency.count());
  ++impl_->count;
}

auto latency_metric::count() const -> std::uint64_t {
  return impl_->count;
}

auto latency_metric::quantile(double q) const -> double {
  auto rank =
      static_cast<std::uint64_t>(q * static_cast<double>(impl_->count.load()));
  std::uint64_t cumulative_count = 0;
  for (auto&& bin : bh::indexed(impl_->bins, bh::coverage::all)) {
    cumulative_count += bin->value();
    if (cumulative_count > rank) return bin.bin().upper();
  }
  return 0;
}

void latency_metric::print(std::string_view name, std::string& out) const {
  auto line = [&](std::string_view suffix, double value) {
    char text[64];
    std::snprintf(text, sizeof text, " %.9g\n", value);
    out.append(name).append(suffix).append(text);
  };
  out.append("# TYPE ").append(name).append(" summary\n");
  for (double q : {0.5, 0.99, 0.999}) {
    char label[32];
    std::snprintf(label, sizeof label, "{quantile=\"%g\"}", q);
    line(label, quantile(q));
  }
  line("_sum", static_cast<double>(impl_->total_ns.load()) / 1e9);
  line("_count", static_cast<double>(impl_->count.load()));
}

auto metrics::counter(std::string_view name) -> std::atomic<std::uint64_t>& {
  std::lock_guard lock(mutex_);
  auto it = counters_.find(name);
  if (it == counters_.end()) {
    it = counters_.try_emplace(std::string(name), 0).first;
  }
  return it->second;
}

auto metrics::gauge(std::string_view name) -> std::atomic<std::uint64_t>& {
  std::lock_guard lock(mutex_);
  auto it = gauges_.find(name);
  if (it == gauges_.end()) {
    it = gauges_.try_emplace(std::string(name), 0).first;
  }
  return it->second;
}

auto metrics::latency(std::string_view name) -> latency_metric& {
  std::lock_guard lock(mutex_);
  auto it = latencies_.find(name);
  if (it == latencies_.end()) {
    it = latencies_.try_emplace(std::string(name)).first;
  }
  return it->second;
}

auto metrics::format() const -> std::string {
  std::lock_guard lock(mutex_);
  std::string out;
  std::string_view previous_name;
  for (const auto& [name, value] : counters_) {
    auto base_name = std::string_view(name).substr(0, name.find('{'));
    if (base_name != previous_name) {
      out.append("# TYPE ").append(base_name).append(" counter\n");
    }
    previous_name = base_name;
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
  }
  for (const auto& [name, value] : gauges_) {
    out.append("# TYPE ").append(name).append(" gauge\n");
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
  }
  for (const auto& [name, value] : latencies_) value.print(name, out);
  return out;
}

}  // namespace parsleyledge
