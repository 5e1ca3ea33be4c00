#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/dispatcher.h"
#include "core/fleet/fleet_state.h"

namespace parsleyledge::fakes {

/// A run on a fake worker.
struct fake_run {
  std::uint32_t run = 0;
  time_point ends;
  bool gang = false;
  std::uint32_t throttle = 100;
  time_point begun;
};

/// A worker that follows the rules of the platform, on the test's clock.
struct fake_worker {
  fleet::worker_record record;
  std::uint64_t fence = 0;
  std::int64_t lease_end = 0;
  std::map<fleet::task_ref, fake_run> running;
  std::map<fleet::task_ref, std::uint32_t> refused_up_to;  // runs
  std::deque<fleet::listed_end> ended;
  std::uint64_t next_end = 1;
  int starts = 0;

  // Faults.
  bool silent = false;  // hears nothing and answers nothing
  bool mute = false;    // carries requests out and answers nothing
  bool fails = false;   // fails all that it starts
  time_point up_again;  // of its machine, after maintenance
  int slowness = 1;     // tasks take so many times as long
  bool hangs = false;   // what it runs makes no progress
  time_point leaves;    // while it drains
};

/// How long decisions took, in microseconds.
struct decision_times {
  std::vector<double> answered;
  std::vector<double> changed;
  std::vector<double> ticked;
};

/// The dispatcher with tables, a clock and fake workers around it. Commands
/// are committed at once unless the test holds them back.
class fleet_site {
 public:
  explicit fleet_site(int workers, int a_rack = 4,
                      fleet::resources capacity = {64'000, 64'000, 8});

  /// A configuration with one service and queues q0, q1 and q2 of these
  /// priorities, and customers "a" and "b" with so many accelerators each.
  void configure(std::int64_t guaranteed_a, std::int64_t guaranteed_b = 0,
                 std::uint32_t attempts = 2);

  /// The same, with a policy for queue q1: it allows these workers only.
  void advise(std::set<std::string> allowed, milliseconds validity);

  /// Asks for the maintenance of these workers' machines.
  void start_wave(std::uint64_t number, std::vector<int> which,
                  std::uint32_t max_concurrent, milliseconds duration);
  auto wave(std::uint64_t number) const -> const fleet::wave_record&;

  /// Hands in a job of one step and returns its id.
  auto submit(const std::string& queue, fleet::step_spec step,
              const std::string& customer = "a") -> fleet::job_id;
  auto submit(const std::string& queue, std::vector<fleet::step_spec> steps,
              const std::string& customer = "a", std::uint32_t times = 0,
              milliseconds first = {}, milliseconds interval = {})
      -> fleet::job_id;
  void cancel(fleet::job_id id);

  /// Lets the clock run, in steps of ten milliseconds.
  void run_for(milliseconds time);

  /// Another leader takes over with the tables alone.
  void change_leader();

  /// The same, but the new leader is another process.
  void replace_leader();

  /// A worker starts again under its name.
  void reborn(int worker);
  void drain(int worker, milliseconds remaining = milliseconds(3000));

  auto job(fleet::job_id id) const -> const fleet::job_record&;
  auto state(fleet::job_id id) const -> fleet::job_state;
  auto running(fleet::job_id id) const -> int;  // tasks on all workers
  auto now() const -> time_point { return now_; }
  auto dispatcher() const -> const fleet::dispatcher& { return dispatcher_; }

  /// The rules broken so far, in one line; empty if none was.
  auto broken() const -> std::string;

  /// What the dispatcher believes of every run and worker, for messages.
  auto describe() const -> std::string;

  std::vector<fake_worker> workers;
  std::optional<fleet::machine_rejection> refuses_upkeep;
  int advice_calls = 0;
  std::set<std::string> advised_workers;  // that were asked about
  // A serving task's response time with this share of filling work beside it.
  std::function<std::int64_t(std::uint32_t)> tail_ms = [](std::uint32_t) {
    return 0;
  };
  milliseconds work{1000};  // of every task; 0: as long as estimated
  decision_times times;
  bool keeps_history = true;
  bool commits = true;  // false holds proposals back
  std::set<std::string> broken_rules;
  std::vector<std::string> history;  // of decisions and starts, for messages

 private:
  void report_all();
  void answered(std::uint64_t id, const fleet::worker_response& answer);
  void changed();
  void ticked();
  void carry_out(std::vector<fleet::effect> effects);
  void apply(const fleet::command& what, std::uint64_t token);
  void give(const fleet::send_worker_request& request);
  void give(const fleet::ask_advice& ask);
  void give(const fleet::send_machine_request& request);
  auto begin_maintenance(const fleet::begin_maintenance& request)
      -> fleet::machine_response;
  auto load_of(const fake_worker& worker, const fleet::task_ref& task) const
      -> std::int64_t;
  auto answer(fake_worker& worker, const fleet::send_worker_request& request)
      -> fleet::worker_response;
  auto poll(fake_worker& worker, const fleet::poll_request& request)
      -> fleet::worker_response;
  auto start(fake_worker& worker, const fleet::start_request& request)
      -> fleet::worker_response;
  void advance(fake_worker& worker);
  void end(fake_worker& worker, fleet::task_ref task, fleet::run_end how);
  auto hangs(const fake_worker& w, const fleet::task_ref& task) const -> bool;
  void check_rules();
  void remember(std::string_view what, const fleet::task_ref& task,
                std::uint32_t run, const fake_worker& worker);
  auto work_of(const fake_worker& w, const fleet::task_ref& task) const
      -> milliseconds;
  auto find(const std::string& name) -> fake_worker&;
  auto clock() const -> fleet::clock_reading { return {now_, now_}; }

  struct waiting_poll {
    std::uint64_t id;
    std::string worker;
    fleet::poll_request request;
    time_point until;
  };

  time_point now_ = at_ms(1'000'000);
  fleet::fleet_state state_;
  fleet::dispatcher dispatcher_;
  std::shared_ptr<const fleet::site> site_;
  std::uint64_t fence_ = 1;
  std::uint64_t next_job_ = 1;
  std::vector<waiting_poll> polls_;
  std::set<std::string> allowed_;
  std::map<std::string, time_point> tickets_;  // until when
  std::set<std::string> under_maintenance_;
  std::uint32_t max_concurrent_ = 0;
  std::vector<std::pair<std::uint64_t, time_point>> unanswered_;
  std::vector<std::pair<fleet::command, std::uint64_t>> held_back_;
  std::set<fleet::task_ref> acknowledged_done_;
};

/// A step of these tasks with accelerators each, and nothing else.
auto make_step(std::uint32_t tasks, std::int64_t accelerators)
    -> fleet::step_spec;

/// The same, as a gang.
auto make_gang(std::uint32_t tasks, std::int64_t accelerators)
    -> fleet::step_spec;

}  // namespace parsleyledge::fakes
