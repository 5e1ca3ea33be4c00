// A start gets no answer and is carried out 2 s later; the copy that is sent at
// once on a new channel is refused by the worker as unhealthy. The task must
// not run on two workers at the same time.

#include "../common/site.h"

using namespace review;

auto main(int argc, char** argv) -> int {
  return run_case(argc, argv, [](site& s) {
    s.start();
    s.put_config(make_config(1, {make_route("r-a", "/a/")}));
    constexpr std::string_view target = "00000000000000c1";
    std::mutex mutex;
    int starts = 0;  // of the target
    int running = 0;
    int most_running = 0;
    bool done = false;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 1; i <= 3; ++i) {
      auto options = s.options_of(i);
      options.task_length = milliseconds(5000);
      options.on_start = [&](const std::string& task, auto) {
        std::lock_guard lock(mutex);
        if (!has_trouble() || !task.starts_with(target))
          return start_effect::none;
        ++starts;
        if (starts == 1) return start_effect::no_answer_runs_late;
        return starts == 2 ? start_effect::unhealthy : start_effect::none;
      };
      options.on_run = [&](const auto&, const std::string& task, auto,
                           const std::string& what) {
        if (!task.starts_with(target)) return;
        std::lock_guard lock(mutex);
        running += what == "begins" ? 1 : -1;
        most_running = std::max(most_running, running);
        done = done || what == "done";
      };
      workers.push_back(std::make_unique<worker>(options, s.log));
    }
    auto job_of = [](int tasks) {
      return json::object{{"spec", "work"},
                          {"steps",
                           {{{"count", tasks},
                             {"cpu", 30000},
                             {"memMb", 100},
                             {"estMs", 5000}}}}};
    };
    // Leaves channels to the workers open for the requests that follow.
    s.submit("/a/00000000000000c0", job_of(9));
    if (!s.wait_until(std::chrono::seconds(20), [&] {
          return s.state("/a/00000000000000c0") == "complete";
        })) {
      s.give_up("the first job did not end");
    }
    s.submit("/a/00000000000000c1", job_of(1));
    bool ended = s.wait_until(std::chrono::seconds(30), [&] {
      std::lock_guard lock(mutex);
      return done;
    });
    if (!ended) s.give_up("the task did not end");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::lock_guard lock(mutex);
    s.log.line("most runs of the task at the same time: " +
               std::to_string(most_running));
    return most_running > 1;
  });
}
