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

/// Blocking calls of an operator's shell to the entries, tried in turn.
class operator_client {
 public:
  explicit operator_client(std::vector<std::string> entries);
  ~operator_client();
  operator_client(const operator_client&) = delete;
  auto operator=(const operator_client&) -> operator_client& = delete;

  /// Sends a request to the first entry that takes it. A change is sent again
  /// only where `repeatable`, after no answer.
  auto send(const http_request& request, bool repeatable) -> exchange_result;

  /// Gets a document as JSON. On failure prints why and ends the process.
  auto document(std::string_view target) -> boost::json::value;

 private:
  std::vector<std::string> entries_;
  boost::asio::thread_pool pool_;
  http_client client_;
};

/// Prints a refusal to stderr and tells the exit code that it stands for.
auto explain(const exchange_result& result) -> exit_code;

/// The files of an operators' folder that end in .toml, by name. Ends the
/// process if the folder cannot be read.
auto read_directory(std::string_view path)
    -> std::map<std::string, std::string>;

/// The text of a file. Ends the process if it cannot be read.
auto read_text(std::string_view path) -> std::string;

/// Ends the process with this code after a word on stderr.
[[noreturn]] void give_up(exit_code code, std::string_view detail);

}  // namespace parsleyledge
