#include "core/requests/router.h"

#include <algorithm>

#include "core/overloaded.h"

namespace parsleyledge {

namespace {

constexpr std::uint32_t failures_to_eject = 3;
// Doubles with each consecutive ejection, at most max_doublings times.
constexpr milliseconds base_ejection_time{1000};
constexpr std::uint32_t max_doublings = 4;
constexpr double min_usable_fraction = 0.5;  // of a service's endpoints
constexpr double falling_weight = 0.2;       // of a sample below the average
constexpr double rising_weight = 0.5;        // of a sample above the average
constexpr double default_latency_ms = 1;

void record_latency(endpoint_load& row, milliseconds sample) {
  auto ms = std::max<double>(static_cast<double>(sample.count()), 0.1);
  if (row.latency_ms == 0) {
    row.latency_ms = ms;
    return;
  }
  auto weight = ms > row.latency_ms ? rising_weight : falling_weight;
  row.latency_ms += weight * (ms - row.latency_ms);
}

auto is_usable(const endpoint_load& row, time_point now) -> bool {
  return !row.expired && !row.draining && row.ejected_until <= now;
}

// The expected time of one more request at the endpoint.
auto expected_ms(const endpoint_load& row) -> double {
  auto latency = row.latency_ms == 0 ? default_latency_ms : row.latency_ms;
  auto load = static_cast<double>(row.in_flight + 1) /
              std::max<std::uint32_t>(row.limit, 1);
  return latency * (1 + load);
}

}  // namespace

router::router(routing_policy policy, std::uint64_t seed)
    : policy_(policy), random_(seed) {}

void router::update_row(const endpoint_record& record, std::uint32_t limit) {
  auto& row = rows_[record.name];
  if (row.incarnation != record.incarnation) {
    auto in_flight = row.in_flight;
    row = {};
    row.incarnation = record.incarnation;
    row.in_flight = in_flight;
  }
  row.address = record.address;
  row.service = record.service;
  row.expired = false;
  if (record.state == endpoint_state::draining) row.draining = true;
  row.limit = limit;
}

void router::erase_expired() {
  std::erase_if(rows_, [](const auto& item) {
    return item.second.expired && item.second.in_flight == 0;
  });
}

void router::set_limit(std::string_view endpoint, std::uint64_t incarnation,
                       std::uint32_t limit) {
  auto it = rows_.find(endpoint);
  if (it == rows_.end() || it->second.incarnation != incarnation) return;
  it->second.limit = limit;
}

void router::release_slot(const route& chosen_route) {
  auto it = rows_.find(chosen_route.endpoint);
  if (it != rows_.end() && it->second.in_flight > 0) --it->second.in_flight;
}

auto router::choose(std::string_view service,
                    std::span<const std::string> avoid, time_point now)
    -> std::optional<route> {
  candidates_.clear();
  for (auto& item : rows_) {
    const auto& row = item.second;
    if (row.service != service || !is_usable(row, now)) continue;
    if (row.in_flight >= row.limit) continue;
    if (std::ranges::find(avoid, item.first) != avoid.end()) continue;
    candidates_.push_back(&item);
  }
  if (candidates_.empty()) return {};
  auto* chosen = std::visit(
      [&](const auto& policy) { return pick(policy, candidates_); }, policy_);
  ++chosen->second.in_flight;
  return route{chosen->first, chosen->second.incarnation,
               chosen->second.address};
}

auto router::pick(const sampled_load& policy, std::span<const candidate> from)
    -> candidate {
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  candidate best = nullptr;
  for (unsigned i = 0; i < policy.samples; ++i) {
    auto* one = from[any(random_)];
    if (best == nullptr ||
        expected_ms(one->second) < expected_ms(best->second)) {
      best = one;
    }
  }
  return best;
}

auto router::pick(const round_robin&, std::span<const candidate> from)
    -> candidate {
  return from[next_index_++ % from.size()];
}

auto router::pick(const least_in_flight&, std::span<const candidate> from)
    -> candidate {
  return *std::ranges::min_element(
      from, {}, [](candidate c) { return c->second.in_flight; });
}

auto router::may_eject(const endpoint_load& row, time_point now) const -> bool {
  double all = 0;
  double usable = 0;
  for (const auto& [name, other] : rows_) {
    if (other.service != row.service || other.expired) continue;
    ++all;
    if (is_usable(other, now)) ++usable;
  }
  return usable - 1 >= all * min_usable_fraction;
}

void router::record_failure(endpoint_load& row, time_point now) {
  ++row.failures;
  if (row.failures < failures_to_eject || row.ejected_until > now) return;
  if (!may_eject(row, now)) return;
  row.ejected_until =
      now + base_ejection_time * (1u << std::min(row.ejections, max_doublings));
  ++row.ejections;
}

void router::record_outcome(const route& chosen_route,
                            const attempt_outcome& outcome, time_point now) {
  auto it = rows_.find(chosen_route.endpoint);
  if (it == rows_.end()) return;
  auto& row = it->second;
  if (row.in_flight > 0) --row.in_flight;
  ++row.served;
  if (row.incarnation != chosen_route.incarnation) return;
  std::visit(
      overloaded{[&](const attempt_ok& ok) {
                   record_latency(row, ok.latency);
                   row.failures = 0;
                   row.ejections = 0;
                 },
                 [&](const attempt_failed&) { record_failure(row, now); },
                 [&](const attempt_timed_out& timed_out) {
                   record_latency(row, timed_out.elapsed);
                   record_failure(row, now);
                 }},
      outcome);
}

void router::record_probe(std::string_view endpoint, probe_result result,
                          milliseconds latency, time_point now) {
  auto it = rows_.find(endpoint);
  if (it == rows_.end()) return;
  auto& row = it->second;
  switch (result) {
    case probe_result::ready:
      // A successful probe after the ejection time clears the failures, also
      // without a request to the endpoint.
      if (row.ejected_until != time_point{} && row.ejected_until <= now) {
        row.failures = 0;
        row.ejected_until = {};
      } else if (row.in_flight == 0) {
        row.failures = 0;
      }
      if (row.in_flight == 0 && row.latency_ms > 0) {
        // Probes lower the average of an idle endpoint that was slow, so that
        // it is chosen again.
        record_latency(row, std::max(latency, milliseconds(1)));
      }
      break;
    case probe_result::draining:
      row.draining = true;
      break;
    case probe_result::failed:
      record_failure(row, now);
      break;
  }
}

auto router::has_service(std::string_view service) const -> bool {
  return std::ranges::any_of(rows_, [&](const auto& item) {
    return item.second.service == service && !item.second.expired;
  });
}

auto router::capacity(std::string_view service, time_point now) const
    -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto& [name, row] : rows_) {
    if (row.service == service && is_usable(row, now)) total += row.limit;
  }
  return total;
}

auto router::in_flight(std::string_view service) const -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto& [name, row] : rows_) {
    if (row.service == service) total += row.in_flight;
  }
  return total;
}

auto router::mean_latency(std::string_view service) const -> milliseconds {
  double weighted = 0;
  double weight = 0;
  for (const auto& [name, row] : rows_) {
    if (row.service != service || row.latency_ms == 0) continue;
    // The weight of a row is its throughput, limit / latency, so its weighted
    // latency is its limit.
    weighted += row.limit;
    weight += row.limit / row.latency_ms;
  }
  return milliseconds(
      weight == 0 ? 0 : static_cast<milliseconds::rep>(weighted / weight));
}

}  // namespace parsleyledge
