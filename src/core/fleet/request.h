#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/fleet/job_spec.h"
#include "core/fleet/records.h"
#include "core/fleet/request_limits.h"
#include "core/fleet/worker_report.h"

namespace parsleyledge::fleet {

/// The job or queue that a caller addresses, and the key it presents.
struct job_address {
  std::string host;
  std::string path;
  std::string key;
};

struct submit_request {
  job_address address;
  job_spec spec;  // without its id, queue and customer
};

/// Requests a job's state, or a queue's number of waiting jobs.
struct read_request {
  job_address address;
};

struct cancel_request {
  job_address address;
};

struct report_request {
  worker_report report;
};

/// A worker ends. A start time of 0 stands for any incarnation.
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

/// Orders the evacuation of a data centre, or withdraws the order.
struct evacuate_request {
  std::string data_centre;
  bool withdraw = false;
};

/// Requests the evacuations in force: a line for each, with the name of the
/// data centre, since when (milliseconds since 1970), and the numbers of tasks
/// that still run there and of long-running ones among them.
struct read_evacuations_request {};

/// Checks whether the leader responds.
struct ping_request {};

/// A request from a client, a worker or an operator to the leader.
using request =
    std::variant<ping_request, submit_request, read_request, cancel_request,
                 report_request, leave_request, put_site_request,
                 read_site_request, start_wave_request, read_wave_request,
                 evacuate_request, read_evacuations_request>;

enum class reply_status {
  done,
  invalid,       // the request is malformed
  unauthorized,  // no customer has this key
  no_queue,      // no such queue
  not_found,     // no such job
  busy,          // rejected: it was not and will not be carried out
  unavailable,   // no leader can be reached; it was not carried out
  undetermined   // it may have been carried out
};

struct reply {
  reply_status status = reply_status::unavailable;
  std::string text;         // a state, a document, or the reason of a rejection
  std::int64_t number = 0;  // a count
  milliseconds retry_after{0};
  std::optional<request_limits> limits =
      std::nullopt;  // of callers; of a ping's reply only
};

}  // namespace parsleyledge::fleet
