#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/fleet/job_spec.h"
#include "core/fleet/records.h"
#include "core/fleet/worker_report.h"

namespace parsleyledge::fleet {

/// Which job or queue a caller means, and who it says it is.
struct job_address {
  std::string host;
  std::string path;
  std::string key;
};

struct submit_request {
  job_address where;
  job_spec spec;  // without its id, queue and customer
};

/// Asks for a job's state, or for a queue's count of jobs that wait.
struct read_request {
  job_address where;
};

struct cancel_request {
  job_address where;
};

struct report_request {
  worker_report report;
};

/// A worker ends. Without the time of its start, any incarnation is meant.
struct leave_request {
  worker_incarnation incarnation;
};

struct put_site_request {
  std::uint64_t version = 0;
  std::string document;
};

struct read_site_request {};

struct start_wave_request {
  std::uint64_t number = 0;
  wave_record wave;
};

struct read_wave_request {
  std::uint64_t number = 0;
};

/// Asks only whether the leader answers.
struct ping_request {};

/// What the outside asks of the leader.
using request =
    std::variant<ping_request, submit_request, read_request, cancel_request,
                 report_request, leave_request, put_site_request,
                 read_site_request, start_wave_request, read_wave_request>;

enum class reply_status {
  done,
  invalid,       // the request makes no sense
  unauthorized,  // no customer has the key
  no_queue,      // no such queue
  not_found,     // no such job
  busy,          // refused: it has not run and will not
  unavailable,   // nobody can answer for the group now; it has not run
  unknown        // it may have been carried out
};

struct reply {
  reply_status status = reply_status::unavailable;
  std::string text;         // a state, a document, or the reason of a refusal
  std::int64_t number = 0;  // a count
  milliseconds retry_after{0};
};

}  // namespace parsleyledge::fleet
