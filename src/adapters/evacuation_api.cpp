#include "adapters/evacuation_api.h"

#include <boost/json.hpp>
#include <sstream>

namespace parsleyledge {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using fleet::reply_status;

constexpr std::string_view collection_path = "/v1/evacuations";
constexpr milliseconds time_limit{3000};

auto failure_of(const fleet::reply& result) -> http_response {
  switch (result.status) {
    case reply_status::invalid:
      return make_response(problem{404, "No such data centre", result.text,
                                   run_outcome::not_run});
    case reply_status::undetermined:
      return make_response(
          problem{504, "Outcome unknown", result.text, run_outcome::unknown});
    default:
      return make_response(
          problem{503, "Unavailable", result.text, run_outcome::not_run});
  }
}

/// Converts the lines of a read_evacuations_request to rows.
auto to_rows(std::string_view lines) -> json::array {
  json::array rows;
  std::istringstream text{std::string(lines)};
  std::string name;
  std::int64_t since = 0;
  std::int64_t tasks = 0;
  std::int64_t long_running = 0;
  while (text >> name >> since >> tasks >> long_running) {
    rows.push_back({{"data_centre", name},
                    {"since_ms", since},
                    {"tasks", tasks},
                    {"long_running", long_running}});
  }
  return rows;
}

}  // namespace

auto is_evacuation_call(const http_request& request) -> bool {
  return request.target.starts_with(collection_path);
}

auto serve_evacuations(http_request request, fleet_request_handler serve)
    -> asio::awaitable<http_response> {
  auto name = request.target.substr(collection_path.size());
  bool is_list = request.method == "GET" && name.empty();
  bool is_order = (request.method == "PUT" || request.method == "DELETE") &&
                  name.size() > 1 && name.front() == '/';
  if (!is_list && !is_order) {
    co_return make_response(problem{404, "Not found", "no such path or method",
                                    run_outcome::not_run});
  }
  fleet::request call = fleet::read_evacuations_request{};
  if (is_order)
    call = fleet::evacuate_request{name.substr(1), request.method == "DELETE"};
  auto result = co_await serve(std::move(call), time_limit);
  if (result.status != reply_status::done) co_return failure_of(result);
  json::object body;
  if (is_list) body["evacuations"] = to_rows(result.text);
  co_return make_response(200, "application/json", json::serialize(body));
}

}  // namespace parsleyledge
