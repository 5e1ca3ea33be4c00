#include "process_site.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace parsleyledge::fakes {

namespace {

constexpr std::chrono::milliseconds poll_interval{30};
constexpr std::size_t max_fleet_seeds = 3;

auto program_path(std::string_view program) -> std::string {
  const char* folder = std::getenv("PARSLEYLEDGE_BIN");
  return std::string(folder == nullptr ? "build/bin" : folder) + "/" +
         std::string(program);
}

}  // namespace

void pause_for(std::chrono::milliseconds time) {
  boost::asio::io_context context;
  boost::asio::steady_timer timer(context, time);
  timer.wait();
}

auto eventually(const std::function<bool()>& condition,
                std::chrono::seconds limit) -> bool {
  auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    pause_for(poll_interval);
  }
  return true;
}

process_site::process_site(int first_port) : first_port_(first_port), pool_(2) {
  auto path = std::filesystem::temp_directory_path() /
              ("parsleyledge-" + std::to_string(::getpid()) + "-" +
               std::to_string(first_port));
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  folder_ = path.string();
}

process_site::~process_site() {
  for (auto& [name, pid] : pids_) ::kill(pid, SIGKILL);
  for (auto& [name, pid] : pids_) ::waitpid(pid, nullptr, 0);
  pool_.stop();
  pool_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

auto process_site::address(int port) const -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

auto process_site::entries() const -> std::string {
  return address(entry_port(1)) + "," + address(entry_port(2));
}

void process_site::start(std::string_view name, std::string_view program,
                         std::vector<std::string> flags) {
  flags.insert(flags.begin(), {"--name", std::string(name)});
  launch(name, program, std::move(flags));
}

void process_site::launch(std::string_view name, std::string_view program,
                          std::vector<std::string> flags) {
  auto path = program_path(program);
  flags.insert(flags.begin(), path);
  auto log = folder_ + "/" + std::string(name) + ".log";
  std::vector<char*> argv;
  for (auto& flag : flags) argv.push_back(flag.data());
  argv.push_back(nullptr);
  auto pid = ::fork();
  if (pid == 0) {
    int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(fd, STDERR_FILENO);
    ::dup2(fd, STDOUT_FILENO);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // end with the test process
    ::execv(path.c_str(), argv.data());
    ::_exit(127);
  }
  pids_[std::string(name)] = pid;
}

void process_site::start_control(int number, int replica_count) {
  std::string peers;
  for (int i = 1; i <= replica_count; ++i) {
    if (i > 1) peers += ',';
    peers += std::to_string(i) + "=" + address(first_port_ + i);
  }
  auto n = std::to_string(number);
  start(
      "control-" + n, "parsleyledge-control",
      {"--data_centre", "dc" + n, "--replica", n, "--peers", peers,
       "--listen_peer", address(first_port_ + number), "--listen_http",
       address(control_port(number)), "--data_folder", folder_ + "/data-" + n});
}

void process_site::start_entry(int number) {
  auto n = std::to_string(number);
  std::string control;
  for (int i = 1; i <= 3; ++i) {
    if (i > 1) control += ',';
    control += address(first_port_ + i);
  }
  start("entry-" + n, "parsleyledge-entry",
        {"--data_centre", "dc" + n, "--control", control, "--entries",
         address(first_port_ + 21) + "," + address(first_port_ + 22),
         "--listen_peer", address(first_port_ + 20 + number), "--listen_http",
         address(entry_port(number)), "--drain_grace", "500ms"});
}

void process_site::start_fleet_entry(int number, std::chrono::seconds grace) {
  auto name = "fleet-entry-" + std::to_string(number);
  auto settings_path = folder_ + "/" + name + ".conf";
  auto peer_port = first_port_ + 1;
  std::ofstream(settings_path)
      << "node=" << name
      << "\nip=127.0.0.1\nlisten.front=" << address(entry_port(number))
      << "\nlisten.readyAddr=" << address(first_port_ + 80 + number)
      << "\nportRange=" << peer_port << "," << peer_port
      << "\nseeds=" << address(control_port(1))
      << "\nbounds.graceS=" << grace.count() << "\n";
  launch(name, "parsleyledge-fleet-entry",
         {"--node_file", settings_path, "--metrics_port",
          std::to_string(first_port_ + 90 + number)});
}

auto process_site::fleet_ip(int number) const -> std::string {
  return "127." + std::to_string(first_port_ / 256) + "." +
         std::to_string(first_port_ % 256) + "." + std::to_string(number);
}

auto process_site::fleet_control_address(int number) const -> std::string {
  return fleet_ip(number) + ":" + std::to_string(first_port_ + 2);
}

auto process_site::fleet_metrics_address(int number) const -> std::string {
  return fleet_ip(number) + ":" + std::to_string(first_port_ + 3);
}

void process_site::start_fleet_control(int number, bool first_start) {
  auto name = "fleet-control-" + std::to_string(number);
  auto settings_path = folder_ + "/" + name + ".conf";
  auto peer_port = first_port_ + 1;
  auto data_centre = fleet_data_centres_.try_emplace(number, number);
  std::ofstream(settings_path)
      << "node=" << name << "\nip=" << fleet_ip(number) << "\nzone=dc"
      << data_centre.first->second << "\nzones.dc1=r\nzones.dc2=r\nzones.dc3=r"
      << "\nlisten.control=" << fleet_control_address(number)
      << "\ndataDir=" << folder_ << "/" << name << ".data"
      << "\nportRange=" << peer_port << "," << peer_port
      << "\nseeds=" << fleet_seed_addresses()
      << "\nbootstrap=" << (first_start ? "true" : "false")
      << "\ntolerate.machines=" << tolerated_machines_
      << "\nbounds.catchupS=4\n"
      << fleet_limits_;
  launch(name, "parsleyledge-fleet-control",
         {"--node_file", settings_path, "--metrics_port",
          std::to_string(first_port_ + 3)});
}

void process_site::start_connected_fleet_entry(int number) {
  auto name = "fleet-entry-" + std::to_string(number);
  auto settings_path = folder_ + "/" + name + ".conf";
  auto peer_port = first_port_ + 1;
  std::ofstream(settings_path)
      << "node=" << name
      << "\nip=127.0.0.1\nlisten.front=" << address(entry_port(number))
      << "\nlisten.readyAddr=" << address(first_port_ + 80 + number)
      << "\nportRange=" << peer_port << "," << peer_port
      << "\nseeds=" << fleet_seed_addresses() << "\n"
      << fleet_limits_;
  launch(name, "parsleyledge-fleet-entry",
         {"--node_file", settings_path, "--metrics_port",
          std::to_string(first_port_ + 90 + number)});
}

void process_site::set_fleet_limits(int memory_mb, int descriptors) {
  fleet_limits_ = "limits.memoryMb=" + std::to_string(memory_mb) +
                  "\nlimits.maxFds=" + std::to_string(descriptors) + "\n";
}

auto process_site::fleet_seed_addresses() const -> std::string {
  std::string seeds;
  for (auto seed : fleet_seeds_) {
    if (!seeds.empty()) seeds += ',';
    seeds += fleet_control_address(seed);
  }
  return seeds;
}

auto process_site::peak_memory_kb(std::string_view name) const -> long {
  constexpr std::string_view key = "VmHWM:";
  auto pid = pids_.find(name);
  if (pid == pids_.end()) return 0;
  std::ifstream status("/proc/" + std::to_string(pid->second) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key))
      return std::strtol(line.c_str() + key.size(), nullptr, 10);
  }
  return 0;
}

auto process_site::open_descriptors(std::string_view name) const -> long {
  auto pid = pids_.find(name);
  if (pid == pids_.end()) return 0;
  std::error_code ec;
  std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(pid->second) + "/fd", ec);
  return ec ? 0 : std::distance(begin(open), end(open));
}

void process_site::erase_fleet_data(int number) {
  std::filesystem::remove_all(folder_ + "/fleet-control-" +
                              std::to_string(number) + ".data");
}

void process_site::set_fleet_data_centre(int number, int data_centre) {
  fleet_data_centres_[number] = data_centre;
}

void process_site::set_tolerated_machines(int count) {
  tolerated_machines_ = count;
}

void process_site::set_fleet_seeds(std::span<const int> machines) {
  auto count = std::min(machines.size(), max_fleet_seeds);
  fleet_seeds_.assign(machines.begin(),
                      machines.begin() + static_cast<std::ptrdiff_t>(count));
}

auto process_site::call_fleet_control(int number, http_request request,
                                      std::chrono::milliseconds timeout)
    -> http_response {
  return exchange(fleet_control_address(number), std::move(request), timeout);
}

auto process_site::call_fleet_metrics(int number, std::string_view target,
                                      std::chrono::milliseconds timeout)
    -> http_response {
  http_request request;
  request.target = target;
  return exchange(fleet_metrics_address(number), std::move(request), timeout);
}

auto process_site::fleet_metric(int number, std::string_view name) -> long {
  auto text = "\n" + call_fleet_metrics(number, "/metrics").body;
  auto line = "\n" + std::string(name) + " ";
  auto at = text.find(line);
  return at == std::string::npos
             ? -1
             : std::strtol(text.c_str() + at + line.size(), nullptr, 10);
}

auto process_site::fleet_role(int number) -> std::string {
  auto response = call_fleet_metrics(number, "/state");
  if (response.status != 200) return {};
  auto role = boost::json::parse(response.body).at("role").as_string();
  return {role.begin(), role.end()};
}

void process_site::start_endpoint(int number, std::vector<std::string> flags) {
  flags.insert(flags.end(), {"--entry", entries(), "--listen_http",
                             address(endpoint_port(number)), "--journal",
                             folder_ + "/executions"});
  start("runner-" + std::to_string(number), "standin-endpoint", flags);
}

void process_site::start_worker(int number, std::vector<std::string> flags) {
  flags.insert(flags.end(), {"--entry", entries(), "--listen_http",
                             address(first_port_ + 70 + number)});
  start("worker-" + std::to_string(number), "standin-worker", flags);
}

void process_site::start_ctl(std::string_view name,
                             std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"--entry", address(entry_port(1))});
  launch(name, "parsleyctl", std::move(arguments));
}

auto process_site::output(std::string_view name) const -> std::string {
  std::ifstream file(folder_ + "/" + std::string(name) + ".log");
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

auto process_site::write_config_file(std::string_view name,
                                     std::string_view toml) -> std::string {
  auto folder = folder_ + "/config";
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + std::string(name)) << toml;
  return folder;
}

void process_site::start_all() {
  for (int i = 1; i <= 3; ++i) start_control(i);
  for (int i = 1; i <= 2; ++i) start_entry(i);
  bool up = eventually([&] {
    return get(1, "/healthz").status == 200 && get(2, "/healthz").status == 200;
  });
  if (!up) throw std::runtime_error("the entries are not healthy in time");
}

void process_site::configure(std::string_view toml) {
  auto before = config_version(1);
  http_response response;
  bool accepted = eventually([&] {
    response = put_file(1, "10-site.toml", toml, before, "test-configuration");
    return response.status == 200;
  });
  if (!accepted) {
    throw std::runtime_error("the configuration was not accepted: " +
                             std::to_string(response.status) + " " +
                             response.body);
  }
  bool done = eventually([&] {
    return config_version(1) == before + 1 && config_version(2) == before + 1;
  });
  if (!done) throw std::runtime_error("the entries lack the configuration");
}

void process_site::signal(std::string_view name, int signal_number) {
  auto pid = pids_.find(name)->second;
  ::kill(pid, signal_number);
  if (signal_number != SIGSTOP) return;
  // A process on another processor runs on for a moment. WNOWAIT, as a process
  // may be stopped again before it has continued.
  siginfo_t stopped{};
  ::waitid(P_PID, static_cast<id_t>(pid), &stopped,
           WSTOPPED | WEXITED | WNOWAIT);
}

void process_site::kill(std::string_view name) {
  signal(name, SIGKILL);
  wait(name);
}

auto process_site::wait(std::string_view name) -> int {
  auto it = pids_.find(name);
  int status = 0;
  ::waitpid(it->second, &status, 0);
  pids_.erase(it);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

auto process_site::is_running(std::string_view name) -> bool {
  auto it = pids_.find(name);
  if (it == pids_.end()) return false;
  if (::waitpid(it->second, nullptr, WNOHANG) == 0) return true;
  pids_.erase(it);
  return false;
}

void process_site::copy_logs(std::string_view folder) const {
  for (const auto& file : std::filesystem::directory_iterator(folder_)) {
    if (file.path().extension() != ".log") continue;
    std::filesystem::copy(file.path(), folder,
                          std::filesystem::copy_options::overwrite_existing);
  }
}

void process_site::erase_data_folder(int number) {
  std::filesystem::remove_all(folder_ + "/data-" + std::to_string(number));
}

auto process_site::call(int entry, http_request request) -> http_response {
  return exchange(address(entry_port(entry)), std::move(request));
}

auto process_site::exchange(std::string_view address, http_request request,
                            std::chrono::milliseconds timeout)
    -> http_response {
  exchange_limits limits;
  limits.timeout = timeout;
  limits.idle_connections = 0;
  auto result =
      boost::asio::co_spawn(pool_, client_.exchange(address, request, limits),
                            boost::asio::use_future)
          .get();
  if (auto* answered = std::get_if<exchange_completed>(&result)) {
    return std::move(answered->response);
  }
  http_response none;
  none.status = 0;
  return none;
}

auto process_site::get(int entry, std::string_view target) -> http_response {
  http_request request;
  request.target = target;
  return call(entry, request);
}

auto process_site::post(int entry, std::string_view target,
                        std::string_view body) -> http_response {
  http_request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return call(entry, request);
}

auto process_site::send_as_customer(int entry, std::string_view method,
                                    std::string_view path,
                                    std::vector<http_header> headers)
    -> http_response {
  http_request request;
  request.method = method;
  request.target = path;
  request.headers = std::move(headers);
  request.headers.emplace_back("Customer", "grocer");
  return call(entry, request);
}

auto process_site::put_file(int entry, std::string_view name,
                            std::string_view body, std::uint64_t version,
                            std::string_view change) -> http_response {
  http_request request;
  request.method = "PUT";
  request.target = "/v1/config/files/" + std::string(name);
  request.body = body;
  request.headers = {{"If-Match", std::to_string(version)},
                     {"Change-Id", std::string(change)}};
  return call(entry, request);
}

auto process_site::state(int port) -> boost::json::value {
  http_request request;
  request.target = "/state";
  exchange_limits limits;
  limits.timeout = std::chrono::seconds(2);
  auto result = boost::asio::co_spawn(
                    pool_, client_.exchange(address(port), request, limits),
                    boost::asio::use_future)
                    .get();
  auto* answered = std::get_if<exchange_completed>(&result);
  if (answered == nullptr) return boost::json::object();
  return boost::json::parse(answered->response.body);
}

auto process_site::config_version(int entry) -> std::uint64_t {
  auto dump = state(entry_port(entry));
  const auto* value = dump.as_object().if_contains("config_version");
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

auto process_site::leader() -> int {
  for (int i = 1; i <= 3; ++i) {
    if (!pids_.contains("control-" + std::to_string(i))) continue;
    auto dump = state(control_port(i));
    const auto* serving = dump.as_object().if_contains("serving");
    if (serving != nullptr && serving->as_bool()) return i;
  }
  return 0;
}

auto process_site::execution_count(std::string_view key) -> int {
  std::ifstream in(folder_ + "/executions");
  std::string name;
  std::string found;
  int count = 0;
  while (in >> name >> found) count += found == key ? 1 : 0;
  return count;
}

}  // namespace parsleyledge::fakes
