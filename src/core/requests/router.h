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

/// How an attempt or probe ended, as far as the endpoint's health goes.
struct attempt_ok {
  milliseconds latency{0};
};
struct attempt_failed {};
struct attempt_timed_out {
  milliseconds after{0};
};
using attempt_outcome =
    std::variant<attempt_ok, attempt_failed, attempt_timed_out>;

/// What a probe found.
enum class probe_result { ready, draining, failed };

/// What an entry knows of one endpoint's load and health.
struct endpoint_load {
  std::string address;
  std::string service;
  std::uint64_t incarnation = 0;
  bool draining = false;
  bool gone = false;        // lapsed; kept while requests are in flight
  std::uint32_t limit = 0;  // requests that this entry may have there
  std::uint32_t in_flight = 0;
  double latency_ms = 0;        // moving average, quick to rise
  std::uint32_t failures = 0;   // in a row
  std::uint32_t ejections = 0;  // in a row
  time_point ejected_until;
  std::uint64_t served = 0;
};

/// Chooses endpoints for requests and learns from their outcomes.
class router {
 public:
  router(routing_policy policy, std::uint64_t seed);

  /// Brings the rows up to date with the records that are known now. `limit`
  /// tells how many requests this entry may have at an endpoint.
  template <typename Limit>
  void update(const std::map<std::string, endpoint_record, std::less<>>& known,
              Limit limit) {
    for (auto& [name, row] : rows_) row.gone = !known.contains(name);
    for (const auto& [name, record] : known) put(record, limit(record));
    drop_gone();
  }

  /// Sets how many requests this entry may have at an endpoint.
  void set_limit(std::string_view endpoint, std::uint64_t incarnation,
                 std::uint32_t limit);

  /// Takes a slot at an endpoint of the service that is not in `avoid`.
  auto choose(std::string_view service, std::span<const std::string> avoid,
              time_point now) -> std::optional<route>;

  /// Gives the slot back and learns from the attempt.
  void finish(const route& taken, const attempt_outcome& outcome,
              time_point now);

  /// Gives a slot back that was not used.
  void release_slot(const route& taken);

  /// Learns from a probe.
  void record_probe(std::string_view endpoint, probe_result result,
                    milliseconds latency, time_point now);

  /// Whether any endpoint of the service is known, also a busy one.
  auto has_service(std::string_view service) const -> bool;

  /// Slots of the service that this entry may use, and those in use.
  auto capacity(std::string_view service, time_point now) const
      -> std::uint32_t;
  auto in_flight(std::string_view service) const -> std::uint32_t;

  /// Mean time that a request of the service takes.
  auto mean_latency(std::string_view service) const -> milliseconds;

  auto rows() const
      -> const std::map<std::string, endpoint_load, std::less<>>& {
    return rows_;
  }

 private:
  using row_table = std::map<std::string, endpoint_load, std::less<>>;
  using candidate = row_table::value_type*;

  void put(const endpoint_record& record, std::uint32_t limit);
  void drop_gone();
  void fail(endpoint_load& row, time_point now);
  auto may_eject(const endpoint_load& row, time_point now) const -> bool;
  auto pick(const sampled_load& policy, std::span<const candidate> from)
      -> candidate;
  auto pick(const round_robin&, std::span<const candidate> from) -> candidate;
  auto pick(const least_in_flight&, std::span<const candidate> from)
      -> candidate;

  routing_policy policy_;
  std::mt19937_64 random_;
  std::uint64_t turn_ = 0;
  row_table rows_;
  std::vector<candidate> candidates_;  // kept to save allocations
};

}  // namespace parsleyledge
