#include "adapters/platform_client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "adapters/json.h"
#include "core/overloaded.h"

namespace parsleyledge {

namespace {

constexpr std::chrono::milliseconds call_timeout{900};

auto refusal_text(std::string_view body) -> std::string {
  boost::json::error_code ec;
  auto value = boost::json::parse(body, ec);
  if (!ec && value.is_object()) {
    if (const auto* detail = value.get_object().if_contains("detail")) {
      if (detail->is_string()) return std::string(detail->get_string());
    }
  }
  return "refused";
}

auto to_platform_response(const http_response& response) -> platform_response {
  if (response.status >= 400 && response.status < 500) {
    return worker_rejected{refusal_text(response.body)};
  }
  if (response.status != 200) return worker_no_response{};
  auto tasks = parse_task_reports(response.body);
  if (auto* reports = std::get_if<std::vector<task_report>>(&tasks)) {
    return worker_accepted{std::move(*reports)};
  }
  return worker_no_response{};
}

}  // namespace

auto platform_client::call(const platform_request& request)
    -> boost::asio::awaitable<platform_response> {
  http_request out;
  out.method = "POST";
  out.headers.emplace_back("Content-Type", "application/json");
  std::string address;
  std::visit(overloaded{[&](const worker_call& call) {
                          address = call.address;
                          out.target = "/tasks/";
                          out.target += to_string(call.verb);
                          out.body = boost::json::serialize(to_json(call));
                        },
                        [&](const lease_renewal& renewal) {
                          address = renewal.address;
                          out.target = "/leases";
                          out.body = boost::json::serialize(to_json(renewal));
                        }},
             request);
  exchange_limits limits;
  limits.timeout = call_timeout;
  limits.connect_timeout = call_timeout;
  limits.idempotent = true;  // workers handle duplicate calls
  limits.idle_connections = 2;
  auto result = co_await client_.exchange(address, out, limits);
  if (auto* answered = std::get_if<exchange_completed>(&result)) {
    co_return to_platform_response(answered->response);
  }
  co_return worker_no_response{};
}

}  // namespace parsleyledge
