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
#include "core/requests/admission_queue.h"
#include "core/requests/retry_budget.h"
#include "core/requests/router.h"

namespace parsleyledge {

/// A request for a slot at an endpoint of a service.
struct slot_request {
  std::string service;
  std::string customer;
  double share = 1;  // weight of the customer
  time_point deadline;
};

/// Assigns the slots of endpoints to requests and queues the requests that
/// find no free slot. Its lock has the rank request_table; a waiting request
/// holds neither a lock nor a thread.
class slot_allocator {
 public:
  slot_allocator(routing_policy policy, std::uint64_t seed);

  /// Acquires a slot at an endpoint that is not in `avoid`. If none is free,
  /// the request waits in the queue for a slot at any endpoint of the service.
  /// Fails at once with 503 if no endpoint of the service is known and with 429
  /// if the queue is too long for the deadline, and with 504 when the deadline
  /// passes.
  auto acquire(slot_request request, std::vector<std::string> avoid)
      -> boost::asio::awaitable<result_or_problem<route>>;

  /// Releases a slot, records the outcome of the attempt and resumes the next
  /// request in the queue.
  void release(const route& selected, std::string_view service,
               const attempt_outcome& outcome);

  /// Withdraws one retry from the budget. Returns whether it had one left.
  auto withdraw_retry() -> bool;

  /// Records the result of a health probe of an endpoint.
  void record_probe(std::string_view endpoint, probe_result result,
                    milliseconds latency);

  /// Synchronizes the endpoints with the table and returns how many slots this
  /// entry demands at each.
  auto update(const endpoint_table& table) -> std::vector<slot_demand>;

  /// Applies the slots that the leader granted, valid until `lease_until`.
  void apply_grants(std::span<const slot_grant> grants, time_point lease_until);

  /// The state of each endpoint, for /state.
  auto routes_json() -> boost::json::array;

 private:
  struct waiter;

  void assign_free_slots(std::string_view service, time_point now);
  void record_demand(std::string_view service, time_point now);
  auto granted_limit(std::string_view endpoint, std::uint64_t incarnation,
                     time_point now) const -> std::uint32_t;

  ranked_mutex mutex_{lock_rank::request_table};
  router router_;
  retry_budget budget_;
  std::map<std::string, admission_queue, std::less<>> queues_;
  std::map<std::string, std::map<queued_request_id, std::shared_ptr<waiter>>,
           std::less<>>
      waiters_;
  std::map<std::string, slot_grant, std::less<>> grants_;
  time_point lease_until_;

  struct demand {
    std::uint32_t peak = 0;  // highest number of requests in flight and waiting
    time_point peak_at;
  };
  std::map<std::string, demand, std::less<>> demands_;
};

}  // namespace parsleyledge
