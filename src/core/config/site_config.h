#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/config/config_error.h"
#include "core/config/config_value.h"
#include "core/jobs/gang_shape.h"
#include "core/time.h"

namespace parsleyledge {

/// A number of gangs of one shape whose capacity a customer can reclaim at any
/// time.
struct guarantee {
  gang_shape shape;
  std::uint32_t count = 1;
};

struct customer_config {
  double share = 1;  // weight in the division of unguaranteed capacity
  std::map<std::string, guarantee> guarantees;
};

struct service_config {
  // HTTP methods that may be retried; other requests are sent at most once.
  std::vector<std::string> repeatable;
  milliseconds deadline{30'000};
};

/// Weights and limits of the scheduling policy of the site.
struct policy_config {
  double completion_time_weight = 0.5;
  double fragmentation_weight = 0.5;
  std::chrono::seconds large_job_wait{600};
  std::chrono::seconds checkpoint_grace{5};
  std::uint32_t max_attempts = 3;         // failures on different workers
  std::uint32_t quarantine_failures = 3;  // different jobs on one worker
  std::chrono::seconds quarantine{600};
};

/// The merged content of the configuration folder.
struct site_config {
  std::map<std::string, customer_config> customers;
  std::map<std::string, service_config> services;
  policy_config policy;
};

/// Merges documents in the byte order of their names. Tables are merged key by
/// key; any other value replaces an earlier one. Fails with a config_error if
/// two files with the same leading number set the same key.
auto merge(std::span<const config_document> documents)
    -> boost::leaf::result<config_table>;

/// Converts a merged table to a site_config. Fails with a config_error on an
/// unknown key, a wrong type, a missing key or a value out of range.
auto parse_site_config(const config_table& root)
    -> boost::leaf::result<site_config>;

}  // namespace parsleyledge
