// Test worker: simulates tasks of a given run time, enforces leases and fences,
// and injects failures, rejections and delays.

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <map>
#include <mutex>

#include "adapters/app.h"
#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/json.h"
#include "adapters/log.h"
#include "adapters/settings.h"

using namespace parsleyledge;
namespace asio = boost::asio;
namespace json = boost::json;

ABSL_FLAG(std::string, name, "", "the worker's name");
ABSL_FLAG(std::string, data_centre, "dc1", "its data centre");
ABSL_FLAG(std::string, rack, "rack1", "its rack");
ABSL_FLAG(std::string, accelerator_kind, "gpu", "kind of its accelerators");
ABSL_FLAG(int, accelerators, 8, "number of its accelerators");
ABSL_FLAG(int, processors, 128, "number of its processors");
ABSL_FLAG(int, memory_mb, 524288, "its memory in MB");
ABSL_FLAG(socket_address, listen_http, {}, "ip:port to listen on");
ABSL_FLAG(address_list, entry, {}, "ip:port,... of entries to announce to");
ABSL_FLAG(bool, fail_tasks, false, "fail every started task");
ABSL_FLAG(bool, refuse_prepare, false, "reject every prepare request");
ABSL_FLAG(int, delay_ms, 0, "delay of every response, in ms");
ABSL_FLAG(double, speed, 1, "seconds of run time simulated per second");
ABSL_FLAG(std::string, journal, "", "file to which task events are appended");
ABSL_FLAG(std::string, log_level, "warning", "debug, info, warning or error");

namespace {

constexpr milliseconds announce_interval{1000};

struct running_task {
  task_report report;
  std::uint64_t accelerators = 0;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
  milliseconds run_time{0};
  time_point started;
  time_point lease_until;
};

class standin_worker {
 public:
  explicit standin_worker(asio::thread_pool& pool)
      : pool_(pool), incarnation_(to_ms(wall_now())) {}

  auto serve(http_request request) -> asio::awaitable<http_response> {
    auto delay = absl::GetFlag(FLAGS_delay_ms);
    if (delay > 0) {
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               milliseconds(delay));
      co_await timer.async_wait(asio::use_awaitable);
    }
    json::error_code ec;
    auto body = request.body.empty() ? json::value(json::object())
                                     : json::parse(request.body, ec);
    if (ec || !body.is_object()) co_return reject(400, "not a JSON object");
    std::lock_guard lock(mutex_);
    update_tasks();
    if (request.target == "/state") co_return tasks_response();
    if (request.target == "/leases") co_return renew(body.get_object());
    if (request.target.starts_with("/tasks/")) {
      co_return handle_task_request(request.target.substr(7),
                                    body.get_object());
    }
    co_return reject(404, "no such path");
  }

  auto announce_loop() -> asio::awaitable<void> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    std::size_t next_entry = 0;
    while (true) {
      http_request request;
      request.method = "POST";
      request.target = "/v1/workers";
      request.body = announcement();
      auto entries = absl::GetFlag(FLAGS_entry).addresses;
      auto entry = entries[next_entry++ % entries.size()];
      co_await client_.exchange(entry, request, exchange_limits{});
      timer.expires_after(announce_interval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

 private:
  static auto reject(int status, std::string detail) -> http_response {
    return make_response(
        problem{status, "Refused", std::move(detail), run_outcome::not_run});
  }

  void record_event(std::string_view event, const task_ref& task) {
    auto path = absl::GetFlag(FLAGS_journal);
    if (path.empty()) return;
    if (auto* file = std::fopen(path.c_str(), "a")) {
      std::fprintf(file, "%lld %s %.*s %llu %u\n",
                   static_cast<long long>(to_ms(wall_now())),
                   absl::GetFlag(FLAGS_name).c_str(),
                   static_cast<int>(event.size()), event.data(),
                   static_cast<unsigned long long>(task.job.value),
                   task.attempt);
      std::fclose(file);
    }
  }

  /// Ends tasks that have reached their run time or whose lease has expired.
  void update_tasks() {
    auto now = steady_now();
    for (auto& [job, task] : tasks_) {
      auto& state = task.report.state;
      bool active = state == task_state::prepared ||
                    state == task_state::running ||
                    state == task_state::checkpointed;
      if (active && now >= task.lease_until) {
        state = task_state::stopped;
        record_event("lapsed", task.report.task);
      }
      if (state != task_state::running) continue;
      auto elapsed =
          std::chrono::duration<double, std::milli>(now - task.started) *
          absl::GetFlag(FLAGS_speed);
      if (absl::GetFlag(FLAGS_fail_tasks)) {
        state = task_state::failed;
        task.report.reason = "failure injected by --fail_tasks";
        record_event("failed", task.report.task);
      } else if (elapsed >= task.run_time) {
        state = task_state::done;
        record_event("done", task.report.task);
      }
    }
  }

  auto tasks_json() -> json::array {
    json::array tasks;
    for (auto& [job, task] : tasks_) {
      if (task.report.state == task_state::stopped) continue;
      task.report.processors = task.processors;
      task.report.memory_mb = task.memory_mb;
      tasks.push_back(to_json(task.report));
    }
    return tasks;
  }

  auto tasks_response() -> http_response {
    return make_response(
        200, "application/json",
        json::serialize(json::object{{"name", absl::GetFlag(FLAGS_name)},
                                     {"tasks", tasks_json()}}));
  }

  auto announcement() -> std::string {
    std::lock_guard lock(mutex_);
    update_tasks();
    worker self;
    self.name = absl::GetFlag(FLAGS_name);
    self.incarnation = static_cast<std::uint64_t>(incarnation_);
    self.address = absl::GetFlag(FLAGS_listen_http).text;
    self.data_centre = absl::GetFlag(FLAGS_data_centre);
    self.rack = absl::GetFlag(FLAGS_rack);
    self.accelerator_kind = absl::GetFlag(FLAGS_accelerator_kind);
    self.processors =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_processors));
    self.memory_mb = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_memory_mb));
    self.accelerators =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_accelerators));
    auto out = to_json(self);
    out.erase("condition");
    out["reports"] = tasks_json();
    return json::serialize(out);
  }

  auto renew(const json::object& body) -> http_response {
    auto now = steady_now();
    auto ttl = milliseconds(number(body, "ttl_ms"));
    if (const auto* listed = body.if_contains("tasks")) {
      for (const auto& item : listed->as_array()) {
        auto it = tasks_.find({number(item.as_object(), "job")});
        if (it == tasks_.end()) continue;
        bool same_fence = it->second.report.task.fence.value ==
                          number(item.as_object(), "fence");
        if (same_fence) it->second.lease_until = now + ttl;
      }
    }
    return tasks_response();
  }

  static auto number(const json::object& body, std::string_view key)
      -> std::uint64_t {
    const auto* value = body.if_contains(key);
    json::error_code ec;
    return value == nullptr || !value->is_number()
               ? 0
               : value->to_number<std::uint64_t>(ec);
  }

  auto handle_task_request(std::string_view action, const json::object& body)
      -> http_response {
    task_ref ref{{number(body, "job")},
                 static_cast<std::uint32_t>(number(body, "attempt")),
                 {number(body, "fence")}};
    auto& fence = fences_[ref.job];
    if (ref.fence < fence) return reject(409, "the fence is stale");
    fence = ref.fence;
    auto it = tasks_.find(ref.job);
    bool known = it != tasks_.end() && it->second.report.task == ref;
    if (action == "prepare")
      return known ? tasks_response() : prepare(ref, body);
    if (action == "stop") {
      // Advancing the fence rejects a prepare request of this attempt that
      // arrives after its stop.
      if (known && it->second.report.state != task_state::stopped) {
        it->second.report.state = task_state::stopped;
        record_event("stopped", ref);
      }
      fence = ref.fence.next();
      return tasks_response();
    }
    if (!known) return reject(404, "no such task");
    auto& task = it->second;
    if (action == "start" && task.report.state == task_state::prepared) {
      task.report.state = task_state::running;
      task.started = steady_now();
      record_event("started", ref);
    }
    if (action == "checkpoint" && task.report.state == task_state::running) {
      task.report.state = task_state::checkpointed;
      record_event("checkpointed", ref);
    }
    return tasks_response();
  }

  auto prepare(const task_ref& ref, const json::object& body) -> http_response {
    if (absl::GetFlag(FLAGS_refuse_prepare))
      return reject(409, "rejected because of --refuse_prepare");
    auto requested = number(body, "accelerators");
    for (const auto& [job, task] : tasks_) {
      bool active = task.report.state != task_state::stopped &&
                    task.report.state != task_state::done &&
                    task.report.state != task_state::failed;
      if (active && (task.accelerators & requested) != 0) {
        return reject(409, "the requested accelerators are in use");
      }
    }
    running_task task;
    task.report.task = ref;
    task.accelerators = requested;
    task.processors = static_cast<std::uint32_t>(number(body, "processors"));
    task.memory_mb = number(body, "memory_mb");
    task.run_time = milliseconds(number(body, "run_time_ms"));
    task.lease_until = steady_now() + milliseconds(6000);
    tasks_.insert_or_assign(ref.job, task);
    record_event("prepared", ref);
    return tasks_response();
  }

  asio::thread_pool& pool_;
  http_client client_;
  std::int64_t incarnation_;
  std::mutex mutex_;
  std::map<job_id, running_task> tasks_;
  std::map<job_id, fence_number> fences_;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr std::string_view required[] = {"name", "listen_http", "entry"};
  parse_command_line(argc, argv, "standin-worker: a worker for tests",
                     required);
  start_log_from_flag(absl::GetFlag(FLAGS_log_level),
                      absl::GetFlag(FLAGS_name));
  block_signals();
  asio::thread_pool pool(1);
  standin_worker self(pool);
  http_server server(pool, http_limits{});
  auto error = server.listen(
      absl::GetFlag(FLAGS_listen_http).text,
      [&self](http_request request) { return self.serve(std::move(request)); });
  if (!error.empty()) exit_with_error("start_failed", error);
  asio::co_spawn(pool, self.announce_loop(), asio::detached);
  wait_for_signal();
  pool.stop();
  pool.join();
  return 0;
}
