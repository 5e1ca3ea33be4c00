#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/agreement/types.h"
#include "core/config/site_config.h"
#include "core/jobs/job.h"
#include "core/jobs/worker.h"
#include "core/membership/endpoint_record.h"
#include "core/problem.h"
#include "core/state/command.h"
#include "ports/platform.h"

namespace parsleyledge {

/// The announcement of a worker: its description and the states of its tasks.
struct worker_announcement {
  worker self;
  std::vector<task_report> reports;
};

/// Parse the body of a request. The problem returned for an invalid body names
/// the key and the expected value.
auto parse_job(std::string_view body) -> result_or_problem<job_spec>;
auto parse_cancel(std::string_view body) -> result_or_problem<cancel_jobs>;
auto parse_endpoint(std::string_view body)
    -> result_or_problem<endpoint_record>;
auto parse_worker(std::string_view body)
    -> result_or_problem<worker_announcement>;

/// Parses the response of a worker to a lease renewal: the states of its tasks.
auto parse_task_reports(std::string_view body)
    -> result_or_problem<std::vector<task_report>>;

auto to_json(const job_record& job) -> boost::json::object;
auto to_json(const worker& w) -> boost::json::object;
auto to_json(const endpoint_record& record) -> boost::json::object;
auto to_json(const site_config& site) -> boost::json::object;
auto to_json(const task_report& report) -> boost::json::object;
auto to_json(const task_ref& task) -> boost::json::object;

/// The body of a request to a worker.
auto to_json(const worker_call& call) -> boost::json::object;
auto to_json(const lease_renewal& renewal) -> boost::json::object;

/// Formats a time as ISO 8601 in UTC with milliseconds; empty for the zero
/// time.
auto format_time(time_point at) -> std::string;

}  // namespace parsleyledge
