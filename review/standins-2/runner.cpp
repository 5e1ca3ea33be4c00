#include "runner.h"

#include <algorithm>
#include <boost/json.hpp>

namespace review {

namespace {

namespace json = boost::json;
using clock = std::chrono::steady_clock;

constexpr long hold_max_ms = 10'000;
constexpr long max_wait_ms = 2000;
constexpr milliseconds report_interval{1500};
constexpr milliseconds report_timeout{1000};
constexpr milliseconds update_interval{20};
constexpr long startup_ms = 500;  // of a work unit that lasts

auto integer(const json::object& body, const char* name) -> long {
  const auto* value = body.if_contains(name);
  return value == nullptr ? 0
                          : static_cast<long>(value->to_number<std::int64_t>());
}

auto text(const json::object& body, const char* name) -> std::string {
  const auto* value = body.if_contains(name);
  return value == nullptr ? "" : std::string(value->as_string());
}

auto body_of(const http_message& request) -> json::object {
  return json::parse(request.body).as_object();
}

}  // namespace

runner::runner(settings s, event_record& record)
    : settings_(std::move(s)), record_(record) {
  start();
  server_ = std::make_unique<http_server>(
      settings_.address,
      [this](http_message request) { return serve(std::move(request)); });
  worker_ = std::thread([this] { work(); });
  reporter_ = std::thread([this] { report(); });
}

runner::~runner() {
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  worker_.join();
  reporter_.join();
  server_.reset();
}

void runner::set_cut(bool cut) {
  std::lock_guard lock(mutex_);
  cut_ = cut;
  record_.add(settings_.id + (cut ? " is cut off" : " is connected again"));
}

void runner::crash() {
  std::lock_guard lock(mutex_);
  up_ = false;
  ++lifetime_;
  for (const auto& [task, one] : running_)
    record_.add(settings_.id + " crashes with " + task + " run " +
                std::to_string(one.run));
  running_.clear();
  ends_.clear();
  rejected_up_to_.clear();
  record_.add(settings_.id + " crashed");
  changed_.notify_all();
}

void runner::start() {
  std::lock_guard lock(mutex_);
  up_ = true;
  ++lifetime_;
  born_ms_ = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  clock_start_ = clock::now();
  lease_end_ms_ = fence_ = sequence_ = 0;
  next_end_ = 1;
  record_.add(settings_.id + " starts, born " + std::to_string(born_ms_));
}

auto runner::running() -> std::vector<std::string> {
  std::lock_guard lock(mutex_);
  update();
  std::vector<std::string> tasks;
  for (const auto& [task, one] : running_) tasks.push_back(task);
  return tasks;
}

auto runner::is_at_work(const std::string& task) -> bool {
  std::lock_guard lock(mutex_);
  update();
  auto it = running_.find(task);
  return it != running_.end() &&
         (it->second.length ||
          clock::now() - it->second.since >= milliseconds(startup_ms));
}

auto runner::stopped_at(const std::string& task)
    -> std::optional<std::chrono::steady_clock::time_point> {
  std::lock_guard lock(mutex_);
  auto it = stopped_at_.find(task);
  if (it == stopped_at_.end()) return {};
  return it->second;
}

auto runner::clock_ms() const -> long {
  return std::chrono::duration_cast<milliseconds>(clock::now() - clock_start_)
      .count();
}

void runner::extend_lease(long deadline_ms) {
  lease_end_ms_ =
      std::max(lease_end_ms_, std::min(deadline_ms, clock_ms() + hold_max_ms));
}

void runner::end_unit(const std::string& task, const std::string& how) {
  auto it = running_.find(task);
  auto run = it->second.run;
  running_.erase(it);
  rejected_up_to_[task] = std::max(rejected_up_to_[task], run);
  ends_.push_back({next_end_++, task, run, how});
  record_.add(settings_.id + " ends " + task + " run " + std::to_string(run) +
              " as " + how);
  changed_.notify_all();
}

void runner::update() {
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, one] : running_) {
    if (one.length && clock::now() - one.since >= *one.length) {
      over.emplace_back(task, "done");
    } else if (clock_ms() > lease_end_ms_) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) end_unit(task, how);
}

auto runner::answer(int status, const std::string& reason) -> http_message {
  json::object body{{"clockMs", clock_ms()}, {"born", born_ms_}};
  if (!reason.empty()) body["reason"] = reason;
  http_message response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

auto runner::serve(http_message request) -> std::optional<http_message> {
  std::unique_lock lock(mutex_);
  if (cut_ || !up_) return {};
  update();
  auto expected = request.headers["x-expect-instance"];
  if (!expected.empty() && expected != settings_.id) return answer(421, "");
  auto lifetime = lifetime_;
  http_message response;
  if (request.target == "/api/run-start") {
    response = serve_start(request);
  } else if (request.target == "/api/run-stop") {
    response = serve_stop(request);
  } else if (request.target == "/api/hold") {
    response = serve_hold(request, lock);
  } else {
    response = answer(200, "");
  }
  if (cut_ || !up_ || lifetime != lifetime_) return {};
  return response;
}

auto runner::serve_start(const http_message& request) -> http_message {
  auto body = body_of(request);
  auto task = text(body, "task");
  auto run = integer(body, "run");
  if (integer(body, "fence") < fence_) return answer(409, "fence");
  fence_ = integer(body, "fence");
  extend_lease(integer(body, "deadlineMs"));
  if (integer(body, "deadlineMs") <= clock_ms()) return answer(409, "late");
  auto known = running_.find(task);
  if (known != running_.end() && known->second.run == run)
    return answer(200, "");
  if (run <= rejected_up_to_[task]) return answer(409, "old");
  running_[task] = {run, clock::now(), settings_.length(task)};
  record_.add(settings_.id + " starts " + task + " run " + std::to_string(run) +
              " fence " + std::to_string(fence_));
  return answer(200, "");
}

auto runner::serve_stop(const http_message& request) -> http_message {
  auto body = body_of(request);
  auto task = text(body, "task");
  auto run = integer(body, "run");
  if (integer(body, "fence") < fence_) return answer(409, "fence");
  fence_ = integer(body, "fence");
  rejected_up_to_[task] = std::max(rejected_up_to_[task], run);
  auto known = running_.find(task);
  if (known == running_.end() || known->second.run != run)
    return answer(409, "old");
  record_.add(settings_.id + " is told to stop " + task + " run " +
              std::to_string(run));
  stopped_at_[task] = clock::now();
  end_unit(task, "stopped");
  return answer(200, "");
}

auto runner::serve_hold(const http_message& request,
                        std::unique_lock<std::mutex>& lock) -> http_message {
  auto body = body_of(request);
  if (integer(body, "fence") < fence_) return answer(409, "fence");
  fence_ = integer(body, "fence");
  extend_lease(integer(body, "deadlineMs"));
  auto acked = integer(body, "ackedSeq");
  while (!ends_.empty() && ends_.front().sequence <= acked) {
    record_.add(settings_.id + " forgets the end of " + ends_.front().task +
                " run " + std::to_string(ends_.front().run));
    ends_.pop_front();
  }
  auto until = clock::now() +
               milliseconds(std::min(integer(body, "waitMs"), max_wait_ms));
  auto lifetime = lifetime_;
  changed_.wait_until(lock, until, [&] {
    return !ends_.empty() || stopped_ || lifetime != lifetime_;
  });
  auto response = answer(200, "");
  auto out = json::parse(response.body).as_object();
  json::array running;
  for (const auto& [task, one] : running_) {
    auto worked =
        std::chrono::duration_cast<milliseconds>(clock::now() - one.since)
            .count();
    auto whole = one.length ? one.length->count() : startup_ms;
    running.push_back(json::array{
        task, one.run, "", std::min<std::int64_t>(worked * 100 / whole, 100)});
  }
  json::array finished;
  for (const auto& e : ends_)
    finished.push_back(json::array{e.sequence, e.task, e.run, e.how, ""});
  out["running"] = std::move(running);
  out["finished"] = std::move(finished);
  response.body = json::serialize(out);
  return response;
}

void runner::work() {
  std::unique_lock lock(mutex_);
  while (!stopped_) {
    update();
    changed_.wait_for(lock, update_interval);
  }
}

void runner::report() {
  std::size_t next = 0;
  while (true) {
    http_message put;
    put.method = "PUT";
    put.target = "/api/instances/" + settings_.id;
    put.headers["content-type"] = "application/json";
    bool sends = false;
    {
      std::unique_lock lock(mutex_);
      if (stopped_) return;
      sends = up_ && !cut_;
      json::object body{
          {"service", "desk"},
          {"addr", settings_.address},
          {"zone", settings_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"capacity",
           json::object{{"cpu", 64000}, {"memMb", 262144}, {"gpu", 8}}},
          {"labels", json::array{settings_.kind, "r1-1"}},
          {"machine", settings_.machine},
          {"clockMs", clock_ms()},
          {"born", born_ms_},
          {"seq", ++sequence_}};
      put.body = json::serialize(body);
    }
    bool acknowledged = false;
    for (std::size_t i = 0; sends && !acknowledged && i < 3; ++i) {
      const auto& to = settings_.control[next % settings_.control.size()];
      acknowledged = call(to, put, report_timeout).status / 100 == 2;
      if (!acknowledged) ++next;
    }
    auto wait = !sends || acknowledged ? report_interval : milliseconds(200);
    std::unique_lock lock(mutex_);
    auto was_sending = sends;
    changed_.wait_for(
        lock, wait, [&] { return stopped_ || (up_ && !cut_) != was_sending; });
  }
}

}  // namespace review
