#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace review {

namespace {

namespace json = boost::json;

constexpr int seed_count = 3;
constexpr int entry_host = 40;
constexpr int first_runner_host = 101;
constexpr milliseconds start_limit{30'000};
constexpr milliseconds operator_timeout{1000};

auto control_host(int number) -> int {
  return 10 + number;
}

}  // namespace

auto eventually(const std::function<bool()>& condition, milliseconds limit)
    -> bool {
  auto until = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) return true;
    pause_for(milliseconds(20));
  }
  return condition();
}

deployment::deployment(std::string programs, event_record& record, layout where)
    : programs_(std::move(programs)), record_(record), layout_(where) {
  for (int i = 1; i <= layout_.machines; ++i) control_list_.push_back(i);
  auto pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  subnet_ = static_cast<int>(::getpid() % 50'000) + 300;
  auto all_free = [&] {
    for (int host = control_host(1); host <= entry_host; ++host) {
      for (int port : {7000, 8521, 8523, 8526, 9464, 9465})
        if (!is_free(address(host, port))) return false;
    }
    return is_free(platform_address());
  };
  while (!all_free()) ++subnet_;
}

deployment::~deployment() {
  runners_.clear();
  for (const auto& [name, pid] : processes_) ::kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) ::waitpid(pid, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

auto deployment::address(int host, int port) const -> std::string {
  return "127." + std::to_string(subnet_ / 250 + 1) + "." +
         std::to_string(subnet_ % 250 + 1) + "." + std::to_string(host) + ":" +
         std::to_string(port);
}

void deployment::launch(const std::string& name, const std::string& program,
                        int host, bool first_start) {
  bool is_control = program.ends_with("control");
  auto ip = address(host, 0);
  ip.resize(ip.find(':'));
  auto zone = "zone-" +
              std::to_string(is_control ? (host - 11) % layout_.zones + 1 : 1);
  std::string seeds;
  for (int i = 1; i <= seed_count; ++i)
    seeds += (i > 1 ? "," : "") + address(control_host(i), 8526);
  auto file = folder_ + "/" + name + ".conf";
  std::ofstream(file)
      << "node=" << name << "\nrole=" << (is_control ? "control" : "entry")
      << "\nclass=edge\nserves=" << (is_control ? "control" : "edge")
      << "\nip=" << ip << "\nzone=" << zone << "\nregion=region"
      << "\nlisten.front=" << ip << ":8521\nlisten.readyAddr=" << ip
      << ":8523\nlisten.control=" << ip << ":8526\nportRange=7000,7015"
      << "\nseeds=" << seeds
      << "\nbootstrap=" << (first_start ? "true" : "false")
      << "\ninTolerance=true\nlimits.cpuShare=0.5\nlimits.cores=1"
      << "\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.diskMb=128\n"
      << (is_control ? "dataDir=" + folder_ + "/" + name + "-data\n" : "")
      << "discovery=registry\nentry=vip\nheartbeatMs=1500"
      << "\ncontracts=base,drain,config,cost,recover,sched,tenants,advice,"
         "upkeep,sharing"
      << "\ntolerate.machines=" << layout_.tolerated
      << "\ntolerate.zones=0\ntolerate.regions=0"
      << "\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000"
      << "\nbounds.ackMs=4000\nbounds.catchupS=" << layout_.catch_up_s
      << "\nbounds.drainMs=2000"
      << "\nbounds.graceS=6\nbounds.lostSlackMs=200\nbounds.configMs=2000"
      << "\nbounds.holdMaxMs=10000\nbounds.stopMs=200\nbounds.gangMs=3000"
      << "\nbounds.cancel_ms=3000\nbounds.visible_ms=3000"
      << "\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120"
      << "\nbounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2"
      << "\nbounds.fencing=true\nbounds.leaseMs=3000\nconfig_mode=highest"
      << "\norders=call\nadvice=\ncloud.addr=" << platform_address()
      << "\ncloud.ratePerS=60.0\ncloud.dutyPerS=60.0\n";
  auto log = folder_ + "/" + name + ".log";
  auto path = programs_ + "/" + program;
  auto variable = "PARSLEYLEDGE_NODE_FILE=" + file;
  auto pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    char* const arguments[] = {path.data(), nullptr};
    char* const environment[] = {variable.data(), nullptr};
    ::execve(path.c_str(), arguments, environment);
    ::_exit(127);
  }
  processes_[name] = pid;
  record_.add(name + " is started");
}

void deployment::start_control(int number, bool first_start) {
  launch("control-" + std::to_string(number), "parsleyledge-fleet-control",
         control_host(number), first_start);
}

void deployment::start() {
  for (int i : control_list_) start_control(i, true);
  launch("entry-1", "parsleyledge-fleet-entry", entry_host, true);
  auto ready = [&] {
    http_message get;
    get.method = "GET";
    get.target = "/api/ready";
    return call(address(entry_host, 8523), get, milliseconds(500)).status ==
           200;
  };
  if (!eventually(ready, start_limit))
    throw std::runtime_error("the entry does not become ready");
  if (operator_call("PUT", "/api/config", config()).status != 200)
    throw std::runtime_error("the config is not accepted");
}

auto deployment::config() const -> std::string {
  auto route = [](const char* name, const char* prefix, int priority) {
    return json::object{
        {"name", name},     {"host", "jobs.example"}, {"prefix", prefix},
        {"kind", "unsafe"}, {"timeoutMs", 3000},      {"sloMs", 3000},
        {"prio", priority}, {"service", "desk"},      {"attempts", 3},
        {"stretch", 3.0},   {"public", false}};
  };
  json::object service{{"name", "desk"},  {"healthPath", "/healthz"},
                       {"maxConns", 64},  {"proto", "h1"},
                       {"tls", false},    {"enforcesCapacity", false},
                       {"standby", false}};
  json::object tenant{{"name", "tenant-1"},
                      {"apiKeys", json::array{"key-1"}},
                      {"prio", 1},
                      {"guaranteed", json::object{{"gpu", 8}}}};
  json::object all{{"version", 1},
                   {"routes", json::array{route("scan", "/scan/", 2),
                                          route("review", "/review/", 1)}},
                   {"services", json::array{service}},
                   {"limits", json::object{{"headerBytes", 16384},
                                           {"bodyBytes", 262144},
                                           {"headerTimeoutMs", 3000},
                                           {"idleTimeoutMs", 15000}}},
                   {"tenants", json::array{tenant}}};
  return json::serialize(all);
}

void deployment::add_runners(
    int count, const std::string& kind,
    std::function<std::optional<milliseconds>(const std::string&)> length) {
  std::vector<std::string> control;
  for (int i : control_list_) control.push_back(address(control_host(i), 8526));
  for (int i = 0; i < count; ++i) {
    auto number = std::to_string(runners_.size() + 1);
    auto host = first_runner_host + static_cast<int>(runners_.size());
    runners_.push_back(std::make_unique<runner>(
        runner::settings{"i-" + number, "m-" + number, address(host, 8080),
                         "zone-1", kind, control, length},
        record_));
  }
}

auto deployment::state_of(int number) -> std::string {
  http_message get;
  get.method = "GET";
  get.target = "/state";
  return call(address(control_host(number), 9464), get, milliseconds(300)).body;
}

auto deployment::leader() -> int {
  for (int i : control_list_) {
    auto state = state_of(i);
    if (state.find("\"role\":\"leader\"") != std::string::npos) return i;
  }
  return 0;
}

auto deployment::peer_address(int number) const -> std::string {
  return address(control_host(number), 7000);
}

void deployment::erase_disk(int number) {
  auto name = "control-" + std::to_string(number);
  record_.add(name + " loses its disk");
  std::filesystem::remove_all(folder_ + "/" + name + "-data");
}

void deployment::set_control_list(std::vector<int> numbers) {
  control_list_ = std::move(numbers);
}

void deployment::kill_control(int number, int signal_number) {
  auto name = "control-" + std::to_string(number);
  record_.add(name + " gets signal " + std::to_string(signal_number));
  ::kill(processes_.at(name), signal_number);
  if (signal_number == SIGKILL) wait_for_exit(number);
}

void deployment::wait_for_exit(int number) {
  auto it = processes_.find("control-" + std::to_string(number));
  if (it == processes_.end()) return;
  ::waitpid(it->second, nullptr, 0);
  processes_.erase(it);
}

auto deployment::consumer_call(const std::string& method, const std::string& id,
                               const std::string& body) -> http_message {
  http_message response;
  auto is_clear = [&] {
    http_message request;
    request.method = method;
    request.target = "/scan/" + id;
    request.headers = {{"host", "jobs.example"},
                       {"authorization", "Token key-1"},
                       {"content-type", "application/json"},
                       {"x-deadline-ms", "3000"}};
    request.body = body;
    response = call(address(entry_host, 8521), request, milliseconds(3000));
    record_.add("consumer: " + method + " " + id + " -> " +
                std::to_string(response.status) + " " + response.body);
    bool is_unclear = response.status == 0 || response.status == 429 ||
                      response.status >= 500;
    if (is_unclear) pause_for(milliseconds(300));
    return !is_unclear;
  };
  eventually(is_clear, milliseconds(12'000));
  return response;
}

auto deployment::operator_call(const std::string& method,
                               const std::string& target,
                               const std::string& body) -> http_message {
  http_message response;
  std::size_t next = 0;
  auto is_accepted = [&] {
    http_message request;
    request.method = method;
    request.target = target;
    request.headers["content-type"] = "application/json";
    request.body = body;
    response =
        call(address(control_host(control_list_[next++ % control_list_.size()]),
                     8526),
             request, operator_timeout);
    record_.add("operator: " + method + " " + target + " -> " +
                std::to_string(response.status) + " " +
                (method == "GET" ? response.body : ""));
    return response.status / 100 == 2;
  };
  eventually(is_accepted, milliseconds(12'000));
  return response;
}

auto deployment::count_running(const std::string& task) -> int {
  int count = 0;
  for (auto& one : runners_) {
    for (const auto& running : one->running()) count += running == task;
  }
  return count;
}

}  // namespace review
