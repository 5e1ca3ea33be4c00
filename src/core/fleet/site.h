#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/request_limits.h"
#include "core/time.h"

namespace parsleyledge::fleet {

struct job_spec;

/// Time limits for advice from the policy of a queue.
struct advice_terms {
  milliseconds decide{0};    // base time of a call
  milliseconds each{0};      // additional time per worker asked about
  milliseconds validity{0};  // of a ticket

  auto operator==(const advice_terms&) const -> bool = default;
};

/// A queue to which customers submit jobs. Its host and path prefix select it.
struct queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  std::uint32_t priority = 0;  // 0 is the highest
  std::uint32_t attempts = 1;  // of a gang or task before its job fails
  double stretch = 1;
  milliseconds objective{0};  // added to stretch times the critical path
  milliseconds timeout{0};
  bool allows_anonymous = false;  // accepts jobs without a key
  std::optional<advice_terms> advice;

  auto operator==(const queue&) const -> bool = default;
};

/// A pool of workers.
struct service {
  std::string name;
  bool enforces_capacity = false;  // its workers reject tasks that do not fit
  bool standby = false;
};

/// A customer, who submits jobs and may hold a guarantee of accelerators.
struct customer {
  std::string name;
  std::int64_t guaranteed_accelerators = 0;
};

/// The operator's configuration in force.
struct site {
  std::uint64_t version = 0;
  std::vector<queue> queues;  // sorted by name
  std::map<std::string, service, std::less<>> services;
  std::map<std::string, customer, std::less<>> customers;
  std::map<std::string, std::string, std::less<>> customer_by_key;
  request_limits limits;  // of callers
};

/// The queue of the host with the longest prefix of the path, or null.
auto find_queue(const site& config, std::string_view host,
                std::string_view path) -> const queue*;

/// The queue of this name, or null.
auto find_queue(const site& config, std::string_view name) -> const queue*;

/// The queue of a job. If the configuration has removed it, the queue as it was
/// when the job was accepted. Null if neither is known.
auto queue_of(const site& config, const job_spec& spec) -> const queue*;

}  // namespace parsleyledge::fleet
