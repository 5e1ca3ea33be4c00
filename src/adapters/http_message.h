#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/problem.h"

namespace parsleyledge {

using http_header = std::pair<std::string, std::string>;

/// An HTTP request, free of any library.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<http_header> headers;
  std::string body;

  /// The value of a header, compared without case; empty if absent.
  auto header(std::string_view name) const -> std::string_view;
};

/// An HTTP response, free of any library.
struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
  bool close = false;  // end the connection after this response

  auto header(std::string_view name) const -> std::string_view;
};

/// Whether two header names are the same, whatever their case.
auto same_header(std::string_view a, std::string_view b) -> bool;

/// A response with a body of this type.
auto make_response(int status, std::string_view content_type,
                   std::string_view body) -> http_response;

/// A refusal as application/problem+json (RFC 9457).
auto make_response(const problem& refusal) -> http_response;

}  // namespace parsleyledge
