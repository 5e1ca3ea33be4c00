#pragma once

#include <boost/json/value.hpp>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "adapters/app.h"
#include "adapters/http_client.h"
#include "adapters/http_message.h"

namespace parsleyledge {

/// Blocking HTTP client of the operators' command line tool. It tries the
/// entries in order.
class operator_client {
 public:
  explicit operator_client(std::vector<std::string> entries);
  ~operator_client();
  operator_client(const operator_client&) = delete;
  auto operator=(const operator_client&) -> operator_client& = delete;

  /// Sends a request to each entry in order until one serves it. If an entry
  /// may have run it but sent no response, the next one is tried only if the
  /// request is `repeatable`.
  auto send(const http_request& request, bool repeatable) -> exchange_result;

  /// Reads a document as JSON. On failure it prints the reason to stderr and
  /// exits the process.
  auto document(std::string_view target) -> boost::json::value;

 private:
  std::vector<std::string> entries_;
  boost::asio::thread_pool pool_;
  http_client client_;
};

/// Prints a failure, if any, to stderr and returns the matching exit code.
auto report_failure(const exchange_result& result) -> exit_code;

/// Reads the .toml files of a directory and returns their text by file name.
/// Exits the process if the directory cannot be read.
auto read_directory(std::string_view path)
    -> std::map<std::string, std::string>;

/// Reads the text of a file. Exits the process if it cannot be read.
auto read_text(std::string_view path) -> std::string;

/// Prints `detail` to stderr and exits the process with `code`.
[[noreturn]] void exit_with_message(exit_code code, std::string_view detail);

}  // namespace parsleyledge
