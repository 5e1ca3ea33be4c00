#pragma once

#include <map>
#include <mutex>
#include <set>

#include "deployment.h"

namespace review {

/// The platform's calls on machines, as PROTOCOL.md describes them. An upkeep
/// ends the machine's runner; a new one starts after upkeepS.
class platform {
 public:
  platform(deployment& site, event_record& record);
  ~platform();
  platform(const platform&) = delete;
  auto operator=(const platform&) -> platform& = delete;

  /// Tells the platform the machines of a wave.
  void add_wave(long number, std::set<std::string> machines);

  /// The time from a call to its answer.
  void set_answer_delay(milliseconds delay) { answer_delay_ = delay; }

  /// How many upkeeps have begun.
  auto begun() -> std::size_t;

  /// The most machines of a wave that were down for its upkeep at once.
  auto most_down() -> std::size_t;

 private:
  auto serve(http_message request) -> http_message;
  auto begin_upkeep(const std::string& machine, long wave, long fence) -> int;
  void restart_machines();

  deployment& site_;
  event_record& record_;
  std::atomic<milliseconds> answer_delay_{milliseconds(20)};
  std::mutex mutex_;
  std::map<long, std::set<std::string>> waves_;
  std::set<std::string> done_;
  std::map<std::string, std::chrono::steady_clock::time_point> down_since_;
  std::map<std::string, long> fences_;
  std::size_t most_down_ = 0;
  std::atomic<bool> stopped_{false};
  http_server server_;
  std::thread restarter_;
};

}  // namespace review
