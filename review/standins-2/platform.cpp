#include "platform.h"

#include <boost/json.hpp>

namespace review {

namespace {

namespace json = boost::json;
constexpr milliseconds upkeep_length{2000};

}  // namespace

platform::platform(deployment& site, event_record& record)
    : site_(site),
      record_(record),
      server_(site.platform_address(),
              [this](http_message request) { return serve(request); }),
      restarter_([this] { restart_machines(); }) {}

platform::~platform() {
  stopped_ = true;
  restarter_.join();
}

void platform::add_wave(long number, std::set<std::string> machines) {
  std::lock_guard lock(mutex_);
  waves_[number] = std::move(machines);
}

auto platform::begun() -> std::size_t {
  std::lock_guard lock(mutex_);
  return done_.size();
}

auto platform::most_down() -> std::size_t {
  std::lock_guard lock(mutex_);
  return most_down_;
}

auto platform::serve(http_message request) -> http_message {
  http_message response;
  response.status = 404;
  response.body = "{}";
  if (request.target.starts_with("/api/machines")) {
    json::array rows;
    std::lock_guard lock(mutex_);
    for (auto& one : site_.runners()) {
      bool down = down_since_.contains(one->machine());
      rows.push_back(json::object{{"machine", one->machine()},
                                  {"pool", "desk"},
                                  {"state", down ? "upkeep" : "up"},
                                  {"zone", "zone-1"},
                                  {"labels", json::array{}},
                                  {"id", one->name()}});
    }
    response.status = 200;
    response.body = json::serialize(json::object{{"machines", rows}});
  } else if (request.target == "/api/machine-upkeep") {
    auto body = json::parse(request.body).as_object();
    std::string machine(body.at("machine").as_string());
    auto wave = body.at("wave").to_number<long>();
    auto fence = std::stol(request.headers["x-fence-token"]);
    response.status = begin_upkeep(machine, wave, fence);
    const char* reasons[] = {"fence", "busy", "wave"};
    if (response.status > 1000) {
      response.body = json::serialize(
          json::object{{"reason", reasons[response.status - 1001]}});
      response.status = 409;
    }
    record_.add("upkeep of " + machine + " for " +
                request.headers["x-lease-holder"] + ", fence " +
                std::to_string(fence) + " -> " +
                std::to_string(response.status) + " " + response.body);
  }
  pause_for(answer_delay_);
  return response;
}

/// Returns a status, or 1001, 1002, 1003 for the reasons fence, busy and wave.
auto platform::begin_upkeep(const std::string& machine, long wave, long fence)
    -> int {
  std::lock_guard lock(mutex_);
  if (fence < fences_[machine]) return 1001;
  fences_[machine] = fence;
  if (!waves_.contains(wave) || !waves_[wave].contains(machine)) return 1003;
  if (done_.contains(machine)) return 200;
  done_.insert(machine);
  for (auto& one : site_.runners()) {
    if (one->machine() == machine) one->crash();
  }
  down_since_[machine] = std::chrono::steady_clock::now();
  most_down_ = std::max(most_down_, down_since_.size());
  record_.add("upkeep of " + machine + " begins; " +
              std::to_string(down_since_.size()) + " machines are down");
  return 200;
}

void platform::restart_machines() {
  while (!stopped_) {
    {
      std::lock_guard lock(mutex_);
      for (auto it = down_since_.begin(); it != down_since_.end();) {
        if (std::chrono::steady_clock::now() - it->second < upkeep_length) {
          ++it;
          continue;
        }
        record_.add("upkeep of " + it->first + " ends");
        for (auto& one : site_.runners()) {
          if (one->machine() == it->first) one->start();
        }
        it = down_since_.erase(it);
      }
    }
    pause_for(milliseconds(10));
  }
}

}  // namespace review
