#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/membership/endpoint_table.h"
#include "core/membership/slot_ledger.h"
#include "core/problem.h"
#include "core/ranked_lock.h"
#include "core/requests/admission.h"
#include "core/requests/retry_budget.h"
#include "core/requests/router.h"

namespace parsleyledge {

/// What a request asks of the gate.
struct gate_request {
  std::string service;
  std::string customer;
  double share = 1;
  time_point deadline;
};

/// The table of requests: which endpoints they use and which wait for one.
/// Locks of rank request_table; a waiting request holds no lock and no
/// thread.
class request_gate {
 public:
  request_gate(routing_policy policy, std::uint64_t seed);

  /// Takes a slot at an endpoint, waiting in turn if none is free. Refuses at
  /// once what the deadline cannot meet.
  auto enter(gate_request request, std::vector<std::string> avoid)
      -> boost::asio::awaitable<result_or_problem<route>>;

  /// Gives a slot back and wakes whoever is next.
  void leave(const route& taken, std::string_view service,
             const attempt_outcome& outcome);

  /// Whether one more retry is within the budget.
  auto may_retry() -> bool;

  /// Learns from a probe of an endpoint.
  void record_probe(std::string_view endpoint, probe_result result,
                    milliseconds latency);

  /// Brings the endpoints up to date and returns what this entry would like
  /// to hold at each.
  auto update(const endpoint_table& known) -> std::vector<slot_demand>;

  /// Takes the grants of the leader, which hold until the lease ends.
  void grant(std::span<const slot_grant> grants, time_point lease_until);

  /// A dump of the endpoints' rows.
  auto rows_json() -> boost::json::array;

 private:
  struct waiter;

  void wake(std::string_view service, time_point now);
  void note_demand(std::string_view service, time_point now);
  auto limit_of(std::string_view endpoint, std::uint64_t incarnation,
                time_point now) const -> std::uint32_t;

  ranked_mutex mutex_{lock_rank::request_table};
  router router_;
  retry_budget budget_;
  std::map<std::string, admission, std::less<>> queues_;
  std::map<std::string, std::map<ticket, std::shared_ptr<waiter>>, std::less<>>
      waiters_;
  std::map<std::string, slot_grant, std::less<>> grants_;
  time_point lease_until_;

  struct demand {
    std::uint32_t peak = 0;  // of requests in flight and waiting
    time_point peak_at;
  };
  std::map<std::string, demand, std::less<>> demands_;
};

}  // namespace parsleyledge
