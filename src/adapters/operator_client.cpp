#include "adapters/operator_client.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "core/overloaded.h"

namespace parsleyledge {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds call_timeout{8000};
constexpr std::chrono::milliseconds connect_timeout{1500};

}  // namespace

void exit_with_message(exit_code code, std::string_view detail) {
  std::cerr << detail << "\n";
  std::exit(static_cast<int>(code));
}

operator_client::operator_client(std::vector<std::string> entries)
    : entries_(std::move(entries)), pool_(1) {}

operator_client::~operator_client() {
  pool_.stop();
  pool_.join();
}

auto operator_client::send(const http_request& request, bool repeatable)
    -> exchange_result {
  exchange_limits limits;
  limits.timeout = call_timeout;
  limits.connect_timeout = connect_timeout;
  limits.idempotent = repeatable;
  exchange_result last_result =
      exchange_not_sent{"no entry address is configured"};
  for (const auto& entry : entries_) {
    last_result =
        boost::asio::co_spawn(pool_, client_.exchange(entry, request, limits),
                              boost::asio::use_future)
            .get();
    if (const auto* answered = std::get_if<exchange_completed>(&last_result)) {
      // Another entry may be able to serve a request that this one rejected
      // without running it.
      bool try_next = answered->response.status == 503 &&
                      answered->response.header("Parsley-Outcome") == "not-run";
      if (!try_next) return last_result;
    } else if (std::holds_alternative<exchange_incomplete>(last_result) &&
               !repeatable) {
      return last_result;
    }
  }
  return last_result;
}

auto operator_client::document(std::string_view target) -> json::value {
  http_request request;
  request.target = target;
  auto result = send(request, true);
  const auto* answered = std::get_if<exchange_completed>(&result);
  if (answered == nullptr || answered->response.status != 200) {
    std::exit(static_cast<int>(report_failure(result)));
  }
  json::error_code ec;
  auto value = json::parse(answered->response.body, ec);
  if (ec) exit_with_message(exit_code::refused, "the response is not JSON");
  return value;
}

auto report_failure(const exchange_result& result) -> exit_code {
  return std::visit(
      overloaded{[](const exchange_completed& answered) {
                   const auto& response = answered.response;
                   if (response.status < 300) return exit_code::done;
                   std::cerr << response.status << ": " << response.body
                             << "\n";
                   return response.header("Parsley-Outcome") == "unknown"
                              ? exit_code::unknown
                              : exit_code::refused;
                 },
                 [](const exchange_not_sent& failed) {
                   std::cerr << "not sent: " << failed.reason << "\n";
                   return exit_code::refused;
                 },
                 [](const exchange_incomplete& failed) {
                   std::cerr << "outcome unknown: " << failed.reason << "\n";
                   return exit_code::unknown;
                 }},
      result);
}

auto read_text(std::string_view path) -> std::string {
  std::ifstream file{std::string(path), std::ios::binary};
  if (!file) {
    exit_with_message(exit_code::bad_usage, "cannot read " + std::string(path));
  }
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

auto read_directory(std::string_view path)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> files;
  std::error_code ec;
  std::filesystem::directory_iterator items(path, ec);
  if (ec) {
    exit_with_message(exit_code::bad_usage,
                      "cannot read " + std::string(path) + ": " + ec.message());
  }
  for (const auto& item : items) {
    auto name = item.path().filename().string();
    if (item.path().extension() == ".toml") {
      files[name] = read_text(item.path().string());
    }
  }
  return files;
}

}  // namespace parsleyledge
