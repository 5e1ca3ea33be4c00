#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/membership/endpoint_record.h"
#include "core/requests/routing_policy.h"
#include "core/time.h"

namespace parsleyledge {

/// The endpoint chosen for one attempt of a request.
struct route {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::string address;
};

/// The outcome of an attempt or probe, as it bears on the endpoint's health.
struct attempt_ok {
  milliseconds latency{0};
};
struct attempt_failed {};
struct attempt_timed_out {
  milliseconds elapsed{0};
};
using attempt_outcome =
    std::variant<attempt_ok, attempt_failed, attempt_timed_out>;

/// The result of a probe.
enum class probe_result { ready, draining, failed };

/// The load and health of one endpoint as measured by this entry.
struct endpoint_load {
  std::string address;
  std::string service;
  std::uint64_t incarnation = 0;
  bool draining = false;
  bool expired = false;     // its record expired; erased when in_flight is 0
  std::uint32_t limit = 0;  // max concurrent requests of this entry
  std::uint32_t in_flight = 0;
  double latency_ms = 0;        // moving average that rises fast
  std::uint32_t failures = 0;   // consecutive
  std::uint32_t ejections = 0;  // consecutive
  time_point ejected_until;
  std::uint64_t served = 0;
};

/// Chooses endpoints for requests by their load and the outcome of earlier
/// attempts. Ejects an endpoint for some time after consecutive failures.
class router {
 public:
  router(routing_policy policy, std::uint64_t seed);

  /// Synchronizes the rows with the current records. `limit` returns how many
  /// concurrent requests this entry may have at the endpoint of a record.
  template <typename Limit>
  void update(
      const std::map<std::string, endpoint_record, std::less<>>& records,
      Limit limit) {
    for (auto& [name, row] : rows_) row.expired = !records.contains(name);
    for (const auto& [name, record] : records)
      update_row(record, limit(record));
    erase_expired();
  }

  /// Sets how many concurrent requests this entry may have at an endpoint.
  void set_limit(std::string_view endpoint, std::uint64_t incarnation,
                 std::uint32_t limit);

  /// Chooses an endpoint of the service that is not in `avoid` and takes a slot
  /// there. Returns nullopt if no usable endpoint has a free slot.
  auto choose(std::string_view service, std::span<const std::string> avoid,
              time_point now) -> std::optional<route>;

  /// Releases the slot and records the outcome of the attempt.
  void record_outcome(const route& chosen_route, const attempt_outcome& outcome,
                      time_point now);

  /// Releases a slot that was not used.
  void release_slot(const route& chosen_route);

  /// Records the result of a probe.
  void record_probe(std::string_view endpoint, probe_result result,
                    milliseconds latency, time_point now);

  /// Whether an endpoint of the service is known, usable or not.
  auto has_service(std::string_view service) const -> bool;

  /// The number of slots of the service that this entry may use.
  auto capacity(std::string_view service, time_point now) const
      -> std::uint32_t;

  /// The number of requests of the service that are in flight.
  auto in_flight(std::string_view service) const -> std::uint32_t;

  /// The mean latency of the service, weighted by the throughput of each
  /// endpoint; 0 if none was measured.
  auto mean_latency(std::string_view service) const -> milliseconds;

  /// The load and health of the endpoints, by name.
  auto rows() const
      -> const std::map<std::string, endpoint_load, std::less<>>& {
    return rows_;
  }

 private:
  using row_table = std::map<std::string, endpoint_load, std::less<>>;
  using candidate = row_table::value_type*;

  void update_row(const endpoint_record& record, std::uint32_t limit);
  void erase_expired();
  void record_failure(endpoint_load& row, time_point now);
  auto may_eject(const endpoint_load& row, time_point now) const -> bool;
  auto pick(const sampled_load& policy, std::span<const candidate> from)
      -> candidate;
  auto pick(const round_robin&, std::span<const candidate> from) -> candidate;
  auto pick(const least_in_flight&, std::span<const candidate> from)
      -> candidate;

  routing_policy policy_;
  std::mt19937_64 random_;
  std::uint64_t next_index_ = 0;
  row_table rows_;
  std::vector<candidate> candidates_;  // reused to avoid allocations
};

}  // namespace parsleyledge
