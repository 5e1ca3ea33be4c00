#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace parsleyledge::fleet {

/// How the policy of a queue is asked which workers may run a step.
struct advice_terms {
  milliseconds decide{0};    // before the first worker
  milliseconds each{0};      // for each worker named
  milliseconds validity{0};  // of a ticket
};

/// Where customers hand in jobs.
struct queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  std::uint32_t priority = 0;  // 0 comes first
  std::uint32_t attempts = 1;
  double stretch = 1;
  milliseconds objective{0};  // on top of stretch times the work
  milliseconds timeout{0};
  bool open = false;  // needs no key
  std::optional<advice_terms> advice;
};

/// A pool of workers.
struct service {
  std::string name;
  bool enforces_capacity = false;  // its workers refuse what does not fit
  bool standby = false;
};

/// Who hands in jobs.
struct customer {
  std::string name;
  std::int64_t guaranteed_accelerators = 0;
};

/// The configuration in force.
struct site {
  std::uint64_t version = 0;
  std::vector<queue> queues;  // sorted by name
  std::map<std::string, service, std::less<>> services;
  std::map<std::string, customer, std::less<>> customers;
  std::map<std::string, std::string, std::less<>> customer_by_key;
};

/// The queue of the longest prefix that the path begins with, or null.
auto find_queue(const site& where, std::string_view host, std::string_view path)
    -> const queue*;

/// The queue of this name, or null.
auto find_queue(const site& where, std::string_view name) -> const queue*;

}  // namespace parsleyledge::fleet
