#include "clients.h"

#include <absl/strings/str_cat.h>

#include <boost/json.hpp>
#include <chrono>

#include "fakes/process_site.h"

namespace parsleyledge::soak {

namespace {

constexpr int reader_count = 2;
constexpr const char* evacuated_data_centre = "dc1";
constexpr std::chrono::milliseconds order_interval{300};
constexpr std::chrono::milliseconds read_interval{40};
// Short, so that a write has often just been confirmed when machines are lost.
constexpr std::chrono::milliseconds write_interval{5};
// The platform's bound for a confirmed configuration to be in force everywhere.
constexpr std::chrono::milliseconds config_bound{2000};
// Of one call, so that a client soon turns to another machine when one is
// paused.
constexpr std::chrono::milliseconds call_timeout{2500};

auto config_text(std::uint64_t version) -> std::string {
  return absl::StrCat(R"({"version":)", version,
                      R"(,"routes":[],"services":[],"tenants":[]})");
}

/// The version of a configuration that was read; 0 if it is none of those that
/// clients wrote.
auto version_of(std::string_view body) -> std::uint64_t {
  boost::system::error_code error;
  auto parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) return 0;
  const auto* version = parsed.as_object().if_contains("version");
  if (version == nullptr || !version->is_int64()) return 0;
  auto number = static_cast<std::uint64_t>(version->as_int64());
  return body == config_text(number) ? number : 0;
}

}  // namespace

clients::clients(fakes::process_site& site, history& seen, std::uint64_t seed)
    : site_(site), seen_(seen) {
  threads_.emplace_back(
      [this, seed](const std::stop_token& stop) { write_all(stop, seed); });
  for (int i = 1; i <= reader_count; ++i) {
    threads_.emplace_back([this, seed, i](const std::stop_token& stop) {
      read_all(stop, seed + static_cast<std::uint64_t>(i) * 1000);
    });
  }
  threads_.emplace_back(
      [this, seed](const std::stop_token& stop) { evacuate_all(stop, ~seed); });
}

auto clients::order_until_confirmed(const std::stop_token& stop,
                                    std::mt19937_64& random,
                                    std::string_view method) -> bool {
  auto path = absl::StrCat("/api/evacuate/", evacuated_data_centre);
  bool all_refused = true;
  while (!stop.stop_requested()) {
    auto machine = any_machine(random);
    if (machine != 0) {
      http_request order{std::string(method), path, {}, {}};
      auto status =
          site_.call_fleet_control(machine, std::move(order), call_timeout)
              .status;
      if (status == 200) return all_refused;
      // 503 says that the order was not carried out and will not be.
      all_refused = all_refused && status == 503;
    }
    fakes::pause_for(read_interval);
  }
  return false;
}

void clients::check_evacuation(int machine, bool evacuated) {
  auto response =
      site_.call_fleet_metrics(machine, "/v1/evacuations", call_timeout);
  if (response.status != 200) return;
  bool listed = response.body.find(evacuated_data_centre) != std::string::npos;
  if (listed == evacuated) return;
  seen_.report(
      {"a confirmed order to evacuate is in force", 0, machine, response.body});
}

void clients::evacuate_all(const std::stop_token& stop, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  // An attempt without a definite response may take effect after the order that
  // follows, so one more order is confirmed before the next check.
  bool was_certain = true;
  for (bool evacuate = true; !stop.stop_requested(); evacuate = !evacuate) {
    bool is_certain =
        order_until_confirmed(stop, random, evacuate ? "POST" : "DELETE");
    fakes::pause_for(order_interval);
    auto machine = any_machine(random);
    if (is_certain && was_certain && machine != 0)
      check_evacuation(machine, evacuate);
    was_certain = is_certain;
  }
}

void clients::set_machines(std::span<const int> machines) {
  std::lock_guard lock(mutex_);
  machines_.assign(machines.begin(), machines.end());
}

auto clients::any_machine(std::mt19937_64& random) const -> int {
  std::lock_guard lock(mutex_);
  return machines_.empty() ? 0 : machines_[random() % machines_.size()];
}

void clients::write_all(const std::stop_token& stop, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (std::uint64_t version = 1; !stop.stop_requested(); ++version) {
    fakes::pause_for(write_interval);
    auto machine = any_machine(random);
    if (machine == 0) continue;
    client_call call{
        call_kind::write, machine, std::chrono::steady_clock::now(), {}, 0,
        version};
    call.status =
        site_
            .call_fleet_control(
                machine, {"PUT", "/api/config", {}, config_text(version)},
                call_timeout)
            .status;
    call.answered = std::chrono::steady_clock::now();
    seen_.add(call);
    if (call.status != 200 && seen_.newest_confirmed() > 0)
      await_read(stop, random);
  }
}

void clients::await_read(const std::stop_token& stop, std::mt19937_64& random) {
  fakes::pause_for(config_bound);
  while (!stop.stop_requested()) {
    auto machine = any_machine(random);
    if (machine != 0 && read(machine).status == 200) return;
    fakes::pause_for(read_interval);
  }
}

void clients::read_all(const std::stop_token& stop, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stop.stop_requested()) {
    fakes::pause_for(read_interval);
    auto machine = any_machine(random);
    if (machine != 0) read(machine);
  }
}

auto clients::read(int machine) -> client_call {
  client_call call{
      call_kind::read, machine, std::chrono::steady_clock::now(), {}, 0, 0};
  auto response = site_.call_fleet_control(
      machine, {"GET", "/api/config", {}, {}}, call_timeout);
  call.answered = std::chrono::steady_clock::now();
  call.status = response.status;
  if (response.status == 200) {
    call.version = version_of(response.body);
    if (call.version == 0) {
      seen_.report({"a configuration is read as it was written", 0, machine,
                    response.body});
    }
  }
  seen_.add(call);
  return call;
}

auto clients::reads(int machine, std::uint64_t version) -> bool {
  auto call = read(machine);
  return call.status == 200 && call.version >= version;
}

}  // namespace parsleyledge::soak
