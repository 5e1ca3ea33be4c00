#pragma once

#include <boost/json.hpp>
#include <condition_variable>

#include "http.h"

namespace review {

namespace json = boost::json;

/// What happens to a start beside the worker's usual work.
enum class start_effect {
  none,
  no_answer_runs_late,  // the channel ends unanswered; carried out later
  unhealthy,            // 503, nothing done
  no_answer_runs_now,   // carried out at once, but the answer never comes
};

struct worker_options {
  std::string id;
  std::string address;  // ip:port
  std::string service;
  std::string zone;
  std::string rack;
  std::vector<std::string> control;  // addresses of control processes
  std::int64_t gpu = 8;
  bool guards_capacity = false;
  milliseconds task_length{1000};
  milliseconds late{2000};  // how late a late order is carried out
  // Called with the lock of the worker held for each start that is new.
  std::function<start_effect(const std::string& task, std::int64_t run)>
      on_start;
  // Called with the lock held when a run begins or ends.
  std::function<void(const std::string& worker, const std::string& task,
                     std::int64_t run, const std::string& what)>
      on_run;
};

/// A stand-in worker that follows the platform's pages: leases on its own
/// clock, fences, run numbers, ends that are listed until acknowledged, and
/// reports to the control processes. All tasks take the same time.
class worker {
 public:
  worker(worker_options options, record& log)
      : options_(std::move(options)), log_(log) {
    thread_ = std::thread([this] { work(); });
    begin();
  }

  worker(const worker&) = delete;

  ~worker() {
    end();
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  /// Starts a life: it knows nothing of earlier ones.
  void begin() {
    {
      std::lock_guard lock(mutex_);
      running_.clear();
      ended_runs_.clear();
      finished_.clear();
      late_.clear();
      fence_ = last_end_ = sequence_ = 0;
      lease_end_ = 0;
      life_start_ = steady_now();
      born_ = wall_ms();
      up_ = true;
    }
    server_ = std::make_unique<http_server>(
        options_.address,
        [this](const http_message& request) { return handle(request); });
    reporter_ = std::thread([this] { report(); });
  }

  /// Ends the life as a crash does, without a word.
  void end() {
    {
      std::lock_guard lock(mutex_);
      if (!up_) return;
      up_ = false;
      for (const auto& [task, one] : running_)
        note(task, one.run, "lost with its worker");
      running_.clear();
    }
    changed_.notify_all();
    server_.reset();
    reporter_.join();
  }

  auto running() -> std::vector<std::string> {
    std::lock_guard lock(mutex_);
    std::vector<std::string> all;
    for (const auto& [task, one] : running_) all.push_back(task);
    return all;
  }

  /// Lets everything that runs go on for that much longer.
  void extend(milliseconds more) {
    std::lock_guard lock(mutex_);
    for (auto& [task, one] : running_) one.ends_at += more;
  }

  auto id() const -> const std::string& { return options_.id; }

 private:
  struct run {
    std::int64_t run = 0;
    steady_time began;
    steady_time ends_at;
    bool stops = false;
  };
  struct finished_run {
    std::int64_t number;
    std::string task;
    std::int64_t run;
    std::string how;
  };
  struct late_start {
    std::string task;
    std::int64_t run;
    std::int64_t fence;
    std::int64_t deadline;
    steady_time at;
  };

  static constexpr milliseconds heartbeat{1500};
  static constexpr std::int64_t max_lease_ms = 10'000;
  static constexpr milliseconds stop_time{100};

  void note(const std::string& task, std::int64_t run,
            const std::string& what) {
    log_.line("worker " + options_.id + ": " + task + " run " +
              std::to_string(run) + " " + what);
    if (options_.on_run) options_.on_run(options_.id, task, run, what);
  }

  auto clock_ms() const -> std::int64_t {
    return 1000 +
           std::chrono::duration_cast<milliseconds>(steady_now() - life_start_)
               .count();
  }

  void extend_lease(std::int64_t deadline) {
    deadline = std::min(deadline, clock_ms() + max_lease_ms);
    lease_end_ = std::max(lease_end_, deadline);
  }

  void finish(const std::string& task, const std::string& how) {
    auto it = running_.find(task);
    auto number = it->second.run;
    running_.erase(it);
    ended_runs_[task] = std::max(ended_runs_[task], number);
    finished_.push_back({++last_end_, task, number, how});
    note(task, number, how);
  }

  /// Ends what is due; called with the lock held.
  void advance() {
    auto now = steady_now();
    std::vector<std::pair<std::string, std::string>> due;
    bool lapsed = clock_ms() > lease_end_;
    for (const auto& [task, one] : running_) {
      if (lapsed) {
        due.emplace_back(task, "lapsed");
      } else if (now >= one.ends_at) {
        due.emplace_back(task, one.stops ? "stopped" : "done");
      }
    }
    for (const auto& [task, how] : due) finish(task, how);
    auto late = std::exchange(late_, {});
    for (auto& one : late) {
      if (one.at > now) {
        late_.push_back(one);
        continue;
      }
      auto status = start(one.task, one.run, one.fence, one.deadline);
      log_.line("worker " + options_.id + ": late order " + one.task + " run " +
                std::to_string(one.run) + " carried out: " + status);
    }
    if (!due.empty()) changed_.notify_all();
  }

  void work() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      if (up_) advance();
      changed_.wait_for(lock, milliseconds(5));
    }
  }

  /// Returns "200" or the reason of a rejection.
  auto start(const std::string& task, std::int64_t number, std::int64_t fence,
             std::int64_t deadline) -> std::string {
    if (fence < fence_) return "fence";
    fence_ = fence;
    auto known = running_.find(task);
    if (known != running_.end() && known->second.run == number) {
      extend_lease(deadline);
      return "200";
    }
    if (ended_runs_.contains(task) && number <= ended_runs_[task]) return "old";
    if (known != running_.end()) return "old";
    if (deadline <= clock_ms()) return "late";
    extend_lease(deadline);
    running_[task] = {number, steady_now(), steady_now() + options_.task_length,
                      false};
    note(task, number, "begins");
    return "200";
  }

  auto answer(int status, json::object body) -> http_message {
    body["clockMs"] = clock_ms();
    body["born"] = born_;
    http_message reply;
    reply.status = status;
    reply.body = json::serialize(body);
    return reply;
  }

  static auto whole(const json::object& body, std::string_view name)
      -> std::int64_t {
    const auto* value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
  }

  auto handle(const http_message& request) -> http_reply {
    std::unique_lock lock(mutex_);
    if (!up_) return {};
    auto wanted = request.headers.find("x-expect-instance");
    if (wanted != request.headers.end() && wanted->second != options_.id)
      return answer(421, {});
    json::object body;
    if (!request.body.empty()) body = json::parse(request.body).as_object();
    advance();
    if (request.target == "/api/run-start") return handle_start(body, lock);
    if (request.target == "/api/run-stop") return handle_stop(body);
    if (request.target == "/api/hold") return handle_hold(body, lock);
    if (request.target == "/api/pace") return answer(200, {});
    return answer(404, {});
  }

  auto handle_start(const json::object& body,
                    std::unique_lock<std::mutex>& lock) -> http_reply {
    std::string task(body.at("task").as_string());
    auto number = whole(body, "run");
    auto fence = whole(body, "fence");
    auto deadline = whole(body, "deadlineMs");
    auto effect = options_.on_start ? options_.on_start(task, number)
                                    : start_effect::none;
    auto what = "worker " + options_.id + ": start of " + task + " run " +
                std::to_string(number) + " fence " + std::to_string(fence);
    if (effect == start_effect::unhealthy) {
      log_.line(what + ": 503");
      return answer(503, {});
    }
    if (effect == start_effect::no_answer_runs_late) {
      late_.push_back(
          {task, number, fence, deadline, steady_now() + options_.late});
      log_.line(what + ": no answer, carried out later");
      return {};
    }
    auto status = start(task, number, fence, deadline);
    log_.line(what + ": " + status);
    if (effect == start_effect::no_answer_runs_now) {
      log_.line(what + ": the answer is lost");
      auto life = born_;
      changed_.wait_for(lock, std::chrono::seconds(3),
                        [&] { return !up_ || born_ != life || stopping_; });
      return {};
    }
    if (status == "200") return answer(200, {});
    return answer(409, {{"reason", status}});
  }

  auto handle_stop(const json::object& body) -> http_reply {
    std::string task(body.at("task").as_string());
    auto number = whole(body, "run");
    auto fence = whole(body, "fence");
    log_.line("worker " + options_.id + ": stop of " + task + " run " +
              std::to_string(number));
    if (fence < fence_) return answer(409, {{"reason", "fence"}});
    fence_ = fence;
    ended_runs_[task] = std::max(ended_runs_[task], number);
    auto known = running_.find(task);
    if (known != running_.end() && known->second.run <= number) {
      known->second.stops = true;
      known->second.ends_at = steady_now() + stop_time;
    }
    return answer(200, {});
  }

  auto handle_hold(const json::object& body, std::unique_lock<std::mutex>& lock)
      -> http_reply {
    auto fence = whole(body, "fence");
    if (fence < fence_) return answer(409, {{"reason", "fence"}});
    fence_ = fence;
    if (auto deadline = whole(body, "deadlineMs")) extend_lease(deadline);
    // Forgets the ends that there are. A poll that was meant for an earlier
    // life has no effect on ends that come later.
    auto acked = whole(body, "ackedSeq");
    auto forgotten = std::erase_if(finished_, [&](const finished_run& one) {
      return one.number <= acked;
    });
    if (forgotten > 0) {
      log_.line("worker " + options_.id + ": ends up to " +
                std::to_string(acked) + " taken note of");
    }
    auto life = born_;
    auto wait = whole(body, "waitMs");
    if (wait > 0 && finished_.empty()) {
      changed_.wait_for(lock, milliseconds(wait), [&] {
        return !finished_.empty() || !up_ || born_ != life || stopping_;
      });
    }
    if (!up_ || born_ != life) return {};
    json::array running;
    for (const auto& [task, one] : running_) {
      auto length = std::max<std::int64_t>(
          (one.ends_at - one.began) / milliseconds(1), 1);
      auto done = (steady_now() - one.began) / milliseconds(1);
      running.push_back(json::array{
          task, one.run, "", std::min<std::int64_t>(done * 100 / length, 99)});
    }
    json::array finished;
    for (const auto& one : finished_)
      finished.push_back(
          json::array{one.number, one.task, one.run, one.how, ""});
    return answer(200, {{"running", running}, {"finished", finished}});
  }

  /// Reports to one control process after another until one acknowledges.
  void report() {
    std::size_t at = 0;
    while (true) {
      json::object body;
      {
        std::unique_lock lock(mutex_);
        if (!up_) return;
        body = {{"service", options_.service},
                {"addr", options_.address},
                {"zone", options_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"capacity",
                 {{"cpu", 128000}, {"memMb", 524288}, {"gpu", options_.gpu}}},
                {"labels", {"a", options_.rack}},
                {"machine", "m-" + options_.id},
                {"born", born_},
                {"clockMs", clock_ms()},
                {"seq", ++sequence_}};
      }
      bool acknowledged = false;
      for (std::size_t n = 0; n < options_.control.size(); ++n) {
        auto reply = http_call(options_.control[at], "PUT",
                               "/api/instances/" + options_.id,
                               json::serialize(body), milliseconds(1000));
        acknowledged = reply && reply->status / 100 == 2;
        if (acknowledged) break;
        at = (at + 1) % options_.control.size();
      }
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, acknowledged ? heartbeat : milliseconds(200),
                        [&] { return !up_; });
      if (!up_) return;
    }
  }

  worker_options options_;
  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool up_ = false;
  steady_time life_start_;
  std::int64_t born_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t lease_end_ = 0;  // on its own clock
  std::map<std::string, run> running_;
  std::map<std::string, std::int64_t> ended_runs_;  // highest, by task
  std::vector<finished_run> finished_;
  std::vector<late_start> late_;
  std::unique_ptr<http_server> server_;
  std::thread reporter_;
  std::thread thread_;
};

}  // namespace review
