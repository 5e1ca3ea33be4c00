#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <random>

#include "worker.h"

namespace review {

namespace fs = std::filesystem;

/// A process of the project. The destructor kills it.
class process {
 public:
  process(std::string program, std::string node_file, std::string log)
      : program_(std::move(program)),
        node_file_(std::move(node_file)),
        log_(std::move(log)) {
    start();
  }
  process(const process&) = delete;
  ~process() { kill(SIGKILL); }

  void start() {
    auto variable = "PARSLEYLEDGE_NODE_FILE=" + node_file_;
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // if the driver is killed
    int fd = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    char* arguments[] = {program_.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    ::execve(program_.c_str(), arguments, environment);
    ::_exit(127);
  }

  /// Sends a signal and waits for the end.
  void kill(int signal) {
    if (pid_ <= 0) return;
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
  }

  /// Sends a signal that does not end the process.
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }

  /// If the process has ended by itself, how; an empty string if it runs.
  auto own_end() -> std::string {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return {};
    pid_ = 0;
    return WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status))
               : "exit status " + std::to_string(WEXITSTATUS(status));
  }

 private:
  std::string program_;
  std::string node_file_;
  std::string log_;
  pid_t pid_ = 0;
};

/// A machine with a disk that runs both roles.
struct machine {
  std::string name;
  std::string ip;
  std::unique_ptr<process> control;
  std::unique_ptr<process> entry;
};

/// A small deployment on loopback addresses: three machines with both roles, a
/// client, an operator, and addresses for workers.
class site {
 public:
  explicit site(const std::string& record_file) : log(record_file) {
    std::random_device random;
    prefix_ = "127." + std::to_string(1 + random() % 250) + "." +
              std::to_string(random() % 250) + ".";
    char name[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(name);
  }

  site(const site&) = delete;

  ~site() {
    machines.clear();
    if (std::getenv("REVIEW_KEEP") != nullptr) {
      log.line("kept " + folder_);
      return;
    }
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }

  /// Starts the machines and waits until the control group has a leader.
  void start() {
    for (int i = 1; i <= 3; ++i) {
      machine one;
      one.name = "edge-" + std::to_string(i);
      one.ip = prefix_ + std::to_string(i);
      machines.push_back(std::move(one));
    }
    for (auto& one : machines) {
      one.control = start_role(one, "control", "parsleyledge-fleet-control");
      one.entry = start_role(one, "entry", "parsleyledge-fleet-entry");
    }
    auto ready = wait_until(std::chrono::seconds(20), [&] {
      for (const auto& one : machines) {
        auto reply = http_call(one.ip + ":8523", "GET", "/api/ready", "",
                               milliseconds(500));
        if (!reply || reply->status != 200) return false;
      }
      return true;
    });
    if (!ready) give_up("the machines are not ready");
    log.line("3 machines are ready");
  }

  auto control_addresses() const -> std::vector<std::string> {
    std::vector<std::string> all;
    for (const auto& one : machines) all.push_back(one.ip + ":8526");
    return all;
  }

  /// Options of the worker of this number, from 1.
  auto options_of(int number) const -> worker_options {
    worker_options options;
    options.id = "i-" + std::to_string(1000 + number);
    options.address = prefix_ + std::to_string(50 + number) + ":8080";
    options.service = "svc";
    options.zone = "zone-" + std::to_string(1 + number % 3);
    options.rack = "r" + std::to_string(1 + number % 3);
    options.control = control_addresses();
    return options;
  }

  /// The number of the machine that leads, by the processes' logs. It only
  /// chooses the machine to disturb.
  auto leader() -> std::size_t {
    std::size_t found = machines.size();
    wait_until(std::chrono::seconds(10), [&] {
      long best = -1;
      for (std::size_t i = 0; i < machines.size(); ++i) {
        std::ifstream in(folder_ + "/" + machines[i].name + "-control.log");
        for (std::string text; std::getline(in, text);) {
          if (text.find("\"event\":\"role_changed\",\"role\":\"leader\"") ==
              std::string::npos)
            continue;
          auto at = text.find("\"term\":");
          auto term = std::atol(text.c_str() + at + 7);
          if (term <= best) continue;
          best = term;
          found = i;
        }
      }
      return found < machines.size();
    });
    if (found == machines.size()) give_up("there is no leader");
    return found;
  }

  /// Kills the processes of a machine, which come back with an empty disk.
  void lose_disk(std::size_t number, milliseconds down) {
    auto& one = machines[number];
    log.line(one.name + " loses its disk");
    one.control->kill(SIGKILL);
    one.entry->kill(SIGKILL);
    auto base = folder_ + "/" + one.name + "-control";
    fs::remove_all(base + ".data");
    for (const auto* role : {"control", "entry"}) {
      auto name = folder_ + "/" + one.name + "-" + role + ".conf";
      std::ifstream in(name);
      std::string text((std::istreambuf_iterator<char>(in)), {});
      auto at = text.find("bootstrap=true");
      if (at != std::string::npos) text.replace(at, 14, "bootstrap=false");
      std::ofstream(name) << text;
    }
    std::this_thread::sleep_for(down);
    one.control->start();
    one.entry->start();
    log.line(one.name + " is back with an empty disk");
  }

  /// Sends a configuration until it is acknowledged.
  void put_config(const json::object& config) {
    auto body = json::serialize(config);
    auto done = wait_until(std::chrono::seconds(20), [&] {
      for (const auto& address : control_addresses()) {
        auto reply =
            http_call(address, "PUT", "/api/config", body, milliseconds(1000));
        if (reply && reply->status == 200) return true;
      }
      return false;
    });
    if (!done) give_up("no machine acknowledged the configuration");
    log.line("configuration acknowledged: " + body);
  }

  /// Calls the entry of a machine as a client.
  auto call(std::size_t on, const std::string& method, const std::string& path,
            const std::string& body = {}) -> std::optional<http_message> {
    auto reply = http_call(machines[on % machines.size()].ip + ":8521", method,
                           path, body, milliseconds(3500),
                           {{"Host", "shop.example"},
                            {"X-Deadline-Ms", "3000"},
                            {"Authorization", "Token key-1"}});
    if (verbose)
      log.line("client: " + method + " " + path + " " + body + " -> " +
               (reply ? std::to_string(reply->status) + " " + reply->body
                      : "no answer"));
    return reply;
  }

  /// Hands a job in until it is accepted.
  void submit(const std::string& path, const json::object& job) {
    auto body = json::serialize(job);
    std::size_t on = 0;
    auto done = wait_until(std::chrono::seconds(20), [&] {
      auto reply = call(on++, "POST", path, body);
      return reply && reply->status / 100 == 2;
    });
    if (!done) give_up("a job was not accepted");
  }

  /// The state of a job; an empty string without a 200.
  auto state(const std::string& path) -> std::string {
    static std::atomic<std::size_t> on{0};
    auto reply = call(on++, "GET", path);
    if (!reply || reply->status != 200) return {};
    auto body = json::parse(reply->body).as_object();
    return body.contains("state") ? std::string(body["state"].as_string()) : "";
  }

  template <typename Condition>
  auto wait_until(milliseconds limit, Condition condition) -> bool {
    auto until = steady_now() + limit;
    while (!condition()) {
      if (steady_now() > until) return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
  }

  [[noreturn]] void give_up(const std::string& why) {
    log.line("could not run: " + why);
    throw std::runtime_error(why);
  }

  /// The text of all logs of the project's processes that contain a word.
  auto log_lines(const std::string& word) const -> std::vector<std::string> {
    std::vector<std::string> found;
    for (const auto& file : fs::directory_iterator(folder_)) {
      if (file.path().extension() != ".log") continue;
      std::ifstream in(file.path());
      for (std::string text; std::getline(in, text);) {
        if (text.find(word) != std::string::npos) found.push_back(text);
      }
    }
    return found;
  }

  record log;
  std::vector<machine> machines;
  bool verbose = true;

 private:
  auto start_role(const machine& on, const std::string& role,
                  const std::string& program) -> std::unique_ptr<process> {
    auto base = folder_ + "/" + on.name + "-" + role;
    std::ofstream file(base + ".conf");
    file << "node=" << on.name << "\nrole=" << role
         << "\nclass=edge\nserves=" << (role == "entry" ? "edge" : "control")
         << "\nip=" << on.ip << "\nzone=zone-1\nregion=region-1"
         << "\nzones.zone-1=region-1\n";
    if (role == "entry") {
      file << "listen.front=" << on.ip << ":8521\nlisten.readyAddr=" << on.ip
           << ":8523\n";
    } else {
      file << "listen.control=" << on.ip << ":8526\ndataDir=" << base
           << ".data\n";
    }
    file << "portRange=7000,7015\nseeds=" << prefix_ << "1:8526," << prefix_
         << "2:8526," << prefix_ << "3:8526\n"
         << "bootstrap=true\ninTolerance=true\nlimits.cores=1\n"
            "discovery=registry\nentry=vip\nheartbeatMs=1500\n"
            "contracts=base,drain,config,cost,recover,sched,tenants,advice,"
            "upkeep,sharing\n"
            "tolerate.machines=1\nbounds.reuseAfterS=2\nbounds.graceS=6\n"
            "bounds.holdMaxMs=10000\nbounds.stopMs=200\nbounds.gangMs=3000\n"
            "config_mode=highest\norders=call\n";
    file.close();
    return std::make_unique<process>("target/bin/" + program, base + ".conf",
                                     base + ".log");
  }

  std::string prefix_;
  std::string folder_;
};

/// A route of the configuration.
inline auto make_route(const std::string& name, const std::string& prefix,
                       int priority = 1, int attempts = 2) -> json::object {
  return {{"name", name},     {"host", "shop.example"}, {"prefix", prefix},
          {"kind", "unsafe"}, {"timeoutMs", 3000},      {"sloMs", 1000},
          {"prio", priority}, {"service", "svc"},       {"attempts", attempts},
          {"stretch", 3.0},   {"public", false}};
}

/// A configuration with one service and one tenant.
inline auto make_config(int version, json::array routes) -> json::object {
  return {{"version", version},
          {"routes", std::move(routes)},
          {"services",
           {{{"name", "svc"},
             {"healthPath", "/healthz"},
             {"maxConns", 64},
             {"proto", "h1"},
             {"tls", false},
             {"enforcesCapacity", false},
             {"standby", false}}}},
          {"limits",
           {{"headerBytes", 16384},
            {"bodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "shop"}, {"apiKeys", json::array{"key-1"}}}}}};
}

/// Whether the disruption takes place; not with TROUBLE=0.
inline auto has_trouble() -> bool {
  const auto* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
template <typename Case>
auto run_case(int argc, char** argv, Case test) -> int {
  try {
    site deployment(argc > 1 ? argv[1] : "record.txt");
    deployment.log.line(has_trouble() ? "with the disruption"
                                      : "TROUBLE=0: without the disruption");
    bool broken = test(deployment);
    deployment.log.line(broken ? "RESULT: the rule was broken"
                               : "RESULT: the rule held");
    return broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace review
