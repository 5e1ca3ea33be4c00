#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/problem.h"

namespace parsleyledge {

using http_header = std::pair<std::string, std::string>;

/// An HTTP request, independent of the HTTP library.
struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<http_header> headers;
  std::string body;

  /// The value of a header, whose name is compared without case; empty if
  /// absent.
  auto header(std::string_view name) const -> std::string_view;
};

/// An HTTP response, independent of the HTTP library.
struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
  bool close = false;  // close the connection after this response

  /// As in http_request.
  auto header(std::string_view name) const -> std::string_view;
};

/// Whether two header names are equal, compared without case.
auto same_header(std::string_view a, std::string_view b) -> bool;

/// A response with a body of the given content type.
auto make_response(int status, std::string_view content_type,
                   std::string_view body) -> http_response;

/// A problem as an application/problem+json response (RFC 9457). The header
/// Parsley-Outcome carries its outcome.
auto make_response(const problem& refusal) -> http_response;

}  // namespace parsleyledge
