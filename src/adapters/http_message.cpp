#include "adapters/http_message.h"

#include <algorithm>
#include <boost/json.hpp>
#include <span>

namespace parsleyledge {

namespace {

auto lower(char c) -> char {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

auto find_header(std::span<const http_header> headers, std::string_view name)
    -> std::string_view {
  for (const auto& [key, value] : headers) {
    if (same_header(key, name)) return value;
  }
  return {};
}

}  // namespace

auto same_header(std::string_view a, std::string_view b) -> bool {
  return std::ranges::equal(
      a, b, [](char x, char y) { return lower(x) == lower(y); });
}

auto http_request::header(std::string_view name) const -> std::string_view {
  return find_header(headers, name);
}

auto http_response::header(std::string_view name) const -> std::string_view {
  return find_header(headers, name);
}

auto make_response(int status, std::string_view content_type,
                   std::string_view body) -> http_response {
  http_response response;
  response.status = status;
  response.headers.emplace_back("Content-Type", content_type);
  response.body = body;
  return response;
}

auto make_response(const problem& refusal) -> http_response {
  auto outcome = to_string(refusal.outcome);
  boost::json::object body{{"title", refusal.title},
                           {"status", refusal.status},
                           {"detail", refusal.detail},
                           {"outcome", outcome}};
  auto response = make_response(refusal.status, "application/problem+json",
                                boost::json::serialize(body));
  response.headers.emplace_back("Parsley-Outcome", outcome);
  return response;
}

}  // namespace parsleyledge
