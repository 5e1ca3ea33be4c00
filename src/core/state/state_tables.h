#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/config/config_version.h"
#include "core/jobs/estimate.h"
#include "core/jobs/job.h"
#include "core/jobs/worker.h"
#include "core/jobs/worker_failure.h"
#include "core/state/command.h"
#include "core/state/idempotency_key.h"
#include "core/strong.h"

namespace parsleyledge {

/// An accepted change of configuration, kept so that a repeated request gets
/// the same result.
struct change_record {
  std::string id;
  std::uint64_t digest = 0;
  config_version version;
  std::string file;
  time_point at;
};

/// The replicated state: equal on every replica after the same commands.
struct state_tables {
  config_version version;
  std::map<std::string, std::string> files;
  std::deque<change_record> changes;  // oldest first
  std::uint64_t next_job = 1;
  std::map<job_id, job_record> jobs;
  std::deque<job_id> ended;  // ended jobs, oldest first
  std::map<guarantee_slot, std::vector<assignment>> homes;
  failure_table failures;  // by worker
  drained_workers draining_workers;
  std::map<std::string, run_time_history> histories;  // by customer
  std::map<key_name, key_record> keys;
  std::deque<key_name> key_order;  // by time of the claim, oldest first
  std::deque<key_name> stored_response_order;  // stored responses, oldest first
  std::uint64_t stored_response_bytes = 0;  // of the bodies of stored responses
};

}  // namespace parsleyledge
