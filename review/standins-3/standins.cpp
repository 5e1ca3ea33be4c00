#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {

namespace {

const auto start_time = std::chrono::steady_clock::now();

// The bounds of the sheets of the small deployments.
constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t restart_delay_ms = 1000;
constexpr std::int64_t report_timeout_ms = 1000;

auto unix_ms() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto make_address(const std::string& text) -> sockaddr_in {
  sockaddr_in address{};
  auto colon = text.find(':');
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

auto lower(std::string text) -> std::string {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto wait_for(int socket, short events, std::int64_t until) -> bool {
  auto left = until - now_ms();
  if (left <= 0) return false;
  pollfd one{socket, events, 0};
  return ::poll(&one, 1, static_cast<int>(left)) > 0;
}

auto send_all(int socket, std::string_view bytes, std::int64_t until) -> bool {
  while (!bytes.empty()) {
    if (!wait_for(socket, POLLOUT, until)) return false;
    auto n =
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

auto receive_some(int socket, std::string& buffer, std::int64_t until) -> bool {
  if (!wait_for(socket, POLLIN, until)) return false;
  char bytes[65536];
  auto n = ::recv(socket, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

struct message_head {
  std::string first_line;
  std::map<std::string, std::string> fields;
};

auto parse_head(std::string_view text) -> message_head {
  message_head head;
  std::istringstream in{std::string(text)};
  std::getline(in, head.first_line);
  for (std::string line; std::getline(in, line);) {
    auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && value.back() == '\r') value.pop_back();
    head.fields[lower(line.substr(0, colon))] = value;
  }
  return head;
}

/// Reads a message with a length. Leaves what follows it in the buffer.
auto read_message(int socket, std::string& buffer, std::int64_t until,
                  message_head& head, std::string& body) -> bool {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!receive_some(socket, buffer, until)) return false;
  }
  head = parse_head(std::string_view(buffer).substr(0, end));
  buffer.erase(0, end + 4);
  std::size_t length = 0;
  auto field = head.fields.find("content-length");
  if (field != head.fields.end()) length = std::stoul(field->second);
  while (buffer.size() < length) {
    if (!receive_some(socket, buffer, until)) return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

auto integer(const json::object& body, std::string_view name) -> std::int64_t {
  const auto* value = body.if_contains(name);
  if (value == nullptr) return 0;
  json::error_code ec;
  auto number = value->to_number<std::int64_t>(ec);
  return ec ? 0 : number;
}

auto text(const json::object& body, std::string_view name) -> std::string {
  const auto* value = body.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->get_string());
}

auto is_port_free(const std::string& ip, int port) -> bool {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = make_address(ip + ":" + std::to_string(port));
  bool is_free = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                        sizeof address) == 0;
  ::close(socket);
  return is_free;
}

/// The memory that a process has allocated and touched, without the files that
/// it has mapped.
auto memory_mb(pid_t pid) -> long {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr std::string_view key = "RssAnon:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key))
      return std::atol(line.c_str() + key.size()) / 1024;
  }
  return 0;
}

}  // namespace

auto now_ms() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_time)
      .count();
}

void sleep_ms(std::int64_t time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

record::record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

record::~record() {
  if (file_ != nullptr) std::fclose(file_);
}

void record::line(const std::string& text) {
  std::lock_guard lock(mutex_);
  if (file_ == nullptr) return;
  std::fprintf(file_, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000,
               text.c_str());
  std::fflush(file_);
}

auto call(const std::string& address, const std::string& method,
          const std::string& target, const headers& fields,
          const std::string& body, std::int64_t timeout_ms) -> http_response {
  auto until = now_ms() + timeout_ms;
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return {};
  auto to = make_address(address);
  http_response response;
  bool connected =
      ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 ||
      (errno == EINPROGRESS && wait_for(socket, POLLOUT, until));
  std::string request = method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : fields) {
    has_host = has_host || name == "Host";
    request += name + ": " + value + "\r\n";
  }
  if (!has_host) request += "Host: " + address + "\r\n";
  if (!body.empty()) request += "Content-Type: application/json\r\n";
  request += "Content-Length: " + std::to_string(body.size()) +
             "\r\nConnection: close\r\n\r\n" + body;
  message_head head;
  std::string buffer;
  if (connected && send_all(socket, request, until) &&
      read_message(socket, buffer, until, head, response.body)) {
    auto space = head.first_line.find(' ');
    if (space != std::string::npos)
      response.status = std::atoi(head.first_line.c_str() + space);
  }
  ::close(socket);
  return response;
}

server::server(std::string address, std::size_t max_connections, handler serve)
    : address_(std::move(address)),
      max_connections_(max_connections),
      serve_(std::move(serve)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto local = make_address(address_);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof local) !=
          0 ||
      ::listen(listener_, 128) != 0) {
    std::fprintf(stderr, "cannot listen on %s\n", address_.c_str());
    std::exit(static_cast<int>(verdict::not_run));
  }
  acceptor_ = std::thread([this] { accept_connections(); });
}

server::~server() {
  stopping_ = true;
  acceptor_.join();
  ::close(listener_);
  {
    std::lock_guard lock(mutex_);
    for (int socket : sockets_) ::shutdown(socket, SHUT_RDWR);
  }
  while (open_ > 0) sleep_ms(5);
}

void server::accept_connections() {
  while (!stopping_) {
    if (open_ >= max_connections_ ||
        !wait_for(listener_, POLLIN, now_ms() + 50)) {
      if (open_ >= max_connections_) sleep_ms(5);
      continue;
    }
    int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    ++open_;
    {
      std::lock_guard lock(mutex_);
      sockets_.insert(socket);
    }
    std::thread([this, socket] { serve_connection(socket); }).detach();
  }
}

void server::serve_connection(int socket) {
  int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  while (!stopping_) {
    message_head head;
    http_request request;
    constexpr std::int64_t idle_ms = 15'000;
    if (!read_message(socket, buffer, now_ms() + idle_ms, head, request.body))
      break;
    auto first = head.first_line.find(' ');
    auto second = head.first_line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) break;
    request.method = head.first_line.substr(0, first);
    request.target = head.first_line.substr(first + 1, second - first - 1);
    request.fields = std::move(head.fields);
    auto response = serve_(request);
    if (response.status == 0) break;
    auto text = "HTTP/1.1 " + std::to_string(response.status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(response.body.size()) + "\r\n\r\n" +
                response.body;
    constexpr std::int64_t send_ms = 5000;
    if (!send_all(socket, text, now_ms() + send_ms)) break;
  }
  {
    std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    ::close(socket);
  }
  --open_;
}

runner::runner(runner_settings settings, std::string address,
               std::vector<std::string> control, history& runs, record& log,
               std::int64_t hold_max_ms)
    : settings_(std::move(settings)),
      address_(std::move(address)),
      control_(std::move(control)),
      history_(runs),
      log_(log),
      hold_max_ms_(hold_max_ms),
      born_(unix_ms()),
      clock_start_(now_ms()) {
  constexpr std::size_t max_connections = 64;
  server_ = std::make_unique<server>(
      address_, max_connections,
      [this](const http_request& request) { return serve(request); });
  worker_ = std::thread([this] {
    while (!stopping_) {
      advance();
      sleep_ms(10);
    }
  });
  reporter_ = std::thread([this] {
    std::int64_t next = 0;
    while (!stopping_) {
      if (now_ms() >= next) {
        next = now_ms() + heartbeat_ms;
        report();
      }
      sleep_ms(20);
    }
  });
}

runner::~runner() {
  stopping_ = true;
  server_.reset();
  worker_.join();
  reporter_.join();
}

auto runner::clock() const -> std::int64_t {
  constexpr std::int64_t first_reading = 1000;
  return now_ms() - clock_start_ + first_reading;
}

void runner::cut(bool on) {
  cut_ = on;
  log_.line("runner " + settings_.id + (on ? " is cut off" : " is joined"));
}

// Reports go to one control process after the other until one acknowledges.
void runner::report() {
  json::object body;
  {
    std::lock_guard lock(mutex_);
    body["seq"] = ++seq_;
  }
  body["service"] = settings_.service;
  body["addr"] = address_;
  body["zone"] = settings_.zone;
  body["machine"] = "m-" + settings_.id;
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = "ready";
  body["coldLeftMs"] = 0;
  body["capacity"] = {{"cpu", settings_.cpu},
                      {"memMb", settings_.memory_mb},
                      {"gpu", settings_.gpu}};
  body["labels"] = json::array{settings_.kind, settings_.rack};
  body["clockMs"] = clock();
  body["born"] = born_;
  auto bytes = json::serialize(body);
  for (std::size_t i = 0; i < control_.size() && !cut_ && !stopping_; ++i) {
    auto response =
        call(control_.front(), "PUT", "/api/instances/" + settings_.id, {},
             bytes, report_timeout_ms);
    if (response.status >= 200 && response.status < 300) return;
    std::rotate(control_.begin(), control_.begin() + 1, control_.end());
  }
}

// What arrives during a cut is lost: the system closes its connections
// meanwhile.
auto runner::serve(const http_request& request) -> http_response {
  if (cut_) {
    while (cut_ && !stopping_) sleep_ms(10);
    return {};
  }
  auto response = serve_connected(request);
  if (cut_) {
    while (cut_ && !stopping_) sleep_ms(10);
    return {};
  }
  return response;
}

auto runner::serve_connected(const http_request& request) -> http_response {
  auto expected = request.fields.find("x-expect-instance");
  if (expected != request.fields.end() && expected->second != settings_.id)
    return {421, "{}"};
  json::error_code ec;
  auto body = json::parse(request.body, ec);
  if (ec || !body.is_object()) return {400, "{}"};
  const auto& object = body.get_object();
  if (request.target == "/api/run-start") return start(object);
  if (request.target == "/api/run-stop") return stop(object);
  if (request.target == "/api/hold") return hold(object);
  if (request.target == "/api/pace")
    return {200, json::serialize(json::object{{"clockMs", clock()}})};
  return {404, "{}"};
}

auto runner::reject(const std::string& reason) -> http_response {
  return {409, json::serialize(
                   json::object{{"clockMs", clock()}, {"reason", reason}})};
}

void runner::extend(std::int64_t deadline) {
  deadline_ = std::max(deadline_, std::min(deadline, clock() + hold_max_ms_));
}

auto runner::start(const json::object& body) -> http_response {
  std::lock_guard lock(mutex_);
  auto fence = static_cast<std::uint64_t>(integer(body, "fence"));
  if (fence < fence_) return reject("fence");
  fence_ = fence;
  auto task = text(body, "task");
  auto run = static_cast<std::uint32_t>(integer(body, "run"));
  auto deadline = integer(body, "deadlineMs");
  auto known = running_.find(task);
  if (known != running_.end() && known->second.run == run) {
    extend(deadline);
    return {200, json::serialize(json::object{{"clockMs", clock()}})};
  }
  auto rejected = rejected_up_to_.find(task);
  if (known != running_.end() ||
      (rejected != rejected_up_to_.end() && run <= rejected->second)) {
    extend(deadline);
    return reject("old");
  }
  if (deadline <= clock()) return reject("late");
  if (settings_.checks_tickets &&
      !policy::is_valid(text(body, "ticket"), task, settings_.id))
    return reject("ticket");
  extend(deadline);
  json::error_code ec;
  auto spec = json::parse(text(body, "spec"), ec);
  running one{run, now_ms(), 0, false, 0};
  if (!ec && spec.is_object()) {
    one.length = integer(spec.get_object(), "ms");
    const auto* lasts = spec.get_object().if_contains("lasts");
    one.lasts = lasts != nullptr && lasts->is_bool() && lasts->get_bool();
  }
  {
    std::lock_guard history_lock(history_.mutex);
    one.entry = history_.runs.size();
    history_.runs.push_back(
        {settings_.id, task, run, one.started_at, -1, {}, false});
  }
  running_[task] = one;
  log_run("starts " + task + " run " + std::to_string(run) + " fence " +
          std::to_string(fence));
  return {200, json::serialize(json::object{{"clockMs", clock()}})};
}

auto runner::stop(const json::object& body) -> http_response {
  std::lock_guard lock(mutex_);
  auto fence = static_cast<std::uint64_t>(integer(body, "fence"));
  if (fence < fence_) return reject("fence");
  fence_ = fence;
  auto task = text(body, "task");
  auto run = static_cast<std::uint32_t>(integer(body, "run"));
  auto known = running_.find(task);
  if (known != running_.end() && known->second.run <= run) end(task, "stopped");
  auto& rejected = rejected_up_to_[task];
  rejected = std::max(rejected, run);
  return {200, json::serialize(json::object{{"clockMs", clock()}})};
}

auto runner::hold(const json::object& body) -> http_response {
  auto until = now_ms() + integer(body, "waitMs");
  {
    std::lock_guard lock(mutex_);
    auto fence = static_cast<std::uint64_t>(integer(body, "fence"));
    if (fence < fence_) return reject("fence");
    fence_ = fence;
    if (body.contains("deadlineMs")) extend(integer(body, "deadlineMs"));
    auto acked = static_cast<std::uint64_t>(integer(body, "ackedSeq"));
    while (!ended_.empty() && ended_.front().number <= acked) {
      std::lock_guard history_lock(history_.mutex);
      history_.runs[ended_.front().entry].acked = true;
      ended_.pop_front();
    }
  }
  polled_since_ = now_ms();
  while (now_ms() < until && !stopping_ && !cut_) {
    {
      std::lock_guard lock(mutex_);
      if (!ended_.empty()) break;
    }
    sleep_ms(5);
  }
  std::lock_guard lock(mutex_);
  polled_since_ = -1;
  json::array runs;
  for (const auto& [task, one] : running_) {
    std::int64_t percent = 100;
    auto age = now_ms() - one.started_at;
    if (!one.lasts && one.length > 0)
      percent = std::min<std::int64_t>(age * 100 / one.length, 100);
    runs.push_back(json::array{task, one.run, "", percent, 0});
  }
  json::array ends;
  constexpr std::size_t max_listed = 500;
  for (const auto& one : ended_) {
    if (ends.size() == max_listed) break;
    ends.push_back(json::array{one.number, one.task, one.run, one.how, ""});
  }
  return {200, json::serialize(json::object{{"clockMs", clock()},
                                            {"born", born_},
                                            {"running", std::move(runs)},
                                            {"finished", std::move(ends)}})};
}

// Keeps the record of a day with very many work units short.
void runner::log_run(const std::string& text) {
  constexpr int max_lines = 1'500;
  int lines = ++history_.lines;
  if (lines == max_lines) log_.line("further starts and ends are left out");
  if (lines < max_lines) log_.line("runner " + settings_.id + " " + text);
}

// Called with the lock held.
void runner::end(const std::string& task, const std::string& how) {
  auto it = running_.find(task);
  auto one = it->second;
  running_.erase(it);
  auto& rejected = rejected_up_to_[task];
  rejected = std::max(rejected, one.run);
  {
    std::lock_guard history_lock(history_.mutex);
    history_.runs[one.entry].ended_at = now_ms();
    history_.runs[one.entry].how = how;
  }
  log_run("ends " + task + " run " + std::to_string(one.run) + " " + how +
          " as end " + std::to_string(next_end_));
  ended_.push_back({next_end_++, task, one.run, how, one.entry});
}

void runner::advance() {
  std::lock_guard lock(mutex_);
  bool lapsed = clock() > deadline_;
  std::vector<std::string> over;
  for (const auto& [task, one] : running_) {
    bool is_done = one.length > 0 && now_ms() - one.started_at >= one.length;
    if (lapsed || is_done) over.push_back(task);
  }
  for (const auto& task : over) end(task, lapsed ? "lapsed" : "done");
}

auto runner::unacknowledged() -> std::size_t {
  std::lock_guard lock(mutex_);
  return ended_.size();
}

deployment::deployment(deployment_settings settings, record& log)
    : settings_(std::move(settings)), log_(log) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "review-XXXXXX";
  folder_ = ::mkdtemp(pattern.data());
  base_ = static_cast<int>(::getpid());
  std::vector<int> ports;
  constexpr int first_port = 7100;
  for (int port = first_port; ports.size() < 6; ++port) {
    bool is_free = true;
    for (int m = 0; m < settings_.machines; ++m)
      is_free = is_free && is_port_free(ip(m), port);
    if (is_free) ports.push_back(port);
  }
  front_port_ = ports[0];
  ready_port_ = ports[1];
  control_port_ = ports[2];
  peer_port_ = ports[3];
  entry_metrics_port_ = ports[4];
  control_metrics_port_ = ports[5];
  std::string seeds;
  for (int m = 0; m < std::min(settings_.machines, 3); ++m)
    seeds += (m > 0 ? "," : "") + control(m);
  for (int m = 0; m < settings_.machines; ++m) {
    for (bool is_control : {false, true}) {
      std::string role = is_control ? "control" : "entry";
      auto name = role + "-" + std::to_string(m);
      auto file = folder_ + "/" + name + ".conf";
      std::ofstream out(file);
      out << "node=edge-z" << m << "-1\nrole=" << role
          << "\nclass=edge\nip=" << ip(m) << "\nzone=z" << m << "\nregion=r\n";
      for (int z = 0; z < settings_.machines; ++z)
        out << "zones.z" << z << "=r\n";
      if (is_control) {
        out << "serves=control\nlisten.control=" << control(m)
            << "\ndataDir=" << folder_ << "/data-" << m << "\n";
      } else {
        out << "serves=edge\nlisten.front=" << front(m)
            << "\nlisten.readyAddr=" << ip(m) << ":" << ready_port_ << "\n";
      }
      out << "portRange=" << peer_port_ << "," << peer_port_
          << "\nseeds=" << seeds << "\nbootstrap=true\ninTolerance=true\n"
          << "limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb="
          << settings_.memory_mb << "\nlimits.maxFds=" << settings_.descriptors
          << "\ndiscovery=registry\nentry=vip\nheartbeatMs=" << heartbeat_ms
          << "\ntolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n"
          << "bounds.reuseAfterS=2\nbounds.catchupS=4\nbounds.graceS=6\n"
          << "bounds.holdMaxMs=10000\nbounds.gangMs=3000\n"
          << "bounds.recoveryS=12\norders=call\n";
      if (!settings_.advice.empty())
        out << "advice=" << settings_.advice << "\n";
      processes_.push_back(
          {name, settings_.programs + "/parsleyledge-fleet-" + role, file,
           std::to_string(is_control ? control_metrics_port_
                                     : entry_metrics_port_),
           -1, -1, 0});
    }
  }
  for (auto& one : processes_) launch(one);
  watcher_ = std::thread([this] { watch(); });
}

deployment::~deployment() {
  stopping_ = true;
  watcher_.join();
  for (auto& one : processes_) {
    if (one.pid <= 0) continue;
    ::kill(one.pid, SIGKILL);
    ::waitpid(one.pid, nullptr, 0);
  }
  std::error_code ec;
  if (std::getenv("REVIEW_KEEP") == nullptr)
    std::filesystem::remove_all(folder_, ec);
}

auto deployment::ip(int machine) const -> std::string {
  return "127." + std::to_string(64 + base_ % 128) + "." +
         std::to_string(base_ / 128 % 250) + "." + std::to_string(machine + 1);
}

auto deployment::front(int machine) const -> std::string {
  return ip(machine) + ":" + std::to_string(front_port_);
}

auto deployment::control(int machine) const -> std::string {
  return ip(machine) + ":" + std::to_string(control_port_);
}

auto deployment::metrics(int machine) const -> std::string {
  return ip(machine) + ":" + std::to_string(control_metrics_port_);
}

auto deployment::control_addresses() const -> std::vector<std::string> {
  std::vector<std::string> all;
  for (int m = 0; m < settings_.machines; ++m) all.push_back(control(m));
  return all;
}

auto deployment::free_address(int number) const -> std::string {
  constexpr int first = 100;
  auto address = ip(first + number);
  int port = front_port_;
  while (!is_port_free(address, port)) ++port;
  return address + ":" + std::to_string(port);
}

void deployment::launch(process& one) {
  auto log = folder_ + "/" + one.name + ".log";
  auto pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl(one.program.c_str(), one.program.c_str(), "--node_file",
            one.settings_file.c_str(), "--metrics_port",
            one.metrics_port.c_str(), nullptr);
    ::_exit(127);
  }
  one.pid = pid;
  one.restart_at = -1;
}

// Restarts what has ended. A process is not started again with `bootstrap`.
void deployment::watch() {
  while (!stopping_) {
    {
      std::lock_guard lock(mutex_);
      for (auto& one : processes_) {
        int status = 0;
        if (one.pid > 0 && ::waitpid(one.pid, &status, WNOHANG) == one.pid) {
          ++exits_;
          ++one.exits;
          log_.line(
              "process " + one.name + " ended" +
              (WIFSIGNALED(status)
                   ? " by signal " + std::to_string(WTERMSIG(status))
                   : " with code " + std::to_string(WEXITSTATUS(status))));
          one.pid = -1;
          one.restart_at = now_ms() + restart_delay_ms;
          std::ifstream in(one.settings_file);
          std::string all{std::istreambuf_iterator<char>(in), {}};
          auto at = all.find("bootstrap=true");
          if (at != std::string::npos) {
            all.replace(at, 14, "bootstrap=false");
            std::ofstream(one.settings_file) << all;
          }
        }
        if (one.pid < 0 && one.restart_at >= 0 && now_ms() >= one.restart_at) {
          launch(one);
          log_.line("process " + one.name + " is started again");
        }
        if (one.pid <= 0) continue;
        auto mb = memory_mb(one.pid);
        if (mb > peak_mb_) peak_mb_ = mb;
        if (settings_.kills_large_processes && mb > settings_.memory_mb) {
          ++memory_kills_;
          log_.line("process " + one.name + " uses " + std::to_string(mb) +
                    " MB of " + std::to_string(settings_.memory_mb) +
                    " MB and is killed");
          ::kill(one.pid, SIGKILL);
        }
      }
    }
    sleep_ms(20);
  }
}

void deployment::signal_entry(int machine, int signal) {
  std::lock_guard lock(mutex_);
  auto& one = processes_[static_cast<std::size_t>(machine) * 2];
  if (one.pid > 0) ::kill(one.pid, signal);
  log_.line("signal " + std::to_string(signal) + " to " + one.name);
}

void deployment::signal_control(int machine, int signal) {
  std::lock_guard lock(mutex_);
  auto& one = processes_[static_cast<std::size_t>(machine) * 2 + 1];
  if (one.pid > 0) ::kill(one.pid, signal);
  log_.line("signal " + std::to_string(signal) + " to " + one.name);
}

auto deployment::control_exits(int machine) -> int {
  std::lock_guard lock(mutex_);
  return processes_[static_cast<std::size_t>(machine) * 2 + 1].exits;
}

auto deployment::leader() -> int {
  for (int m = 0; m < settings_.machines; ++m) {
    auto response = call(metrics(m), "GET", "/state", {}, {}, 1000);
    json::error_code ec;
    auto state = json::parse(response.body, ec);
    if (ec || !state.is_object()) continue;
    if (text(state.get_object(), "role") == "leader") return m;
  }
  return -1;
}

auto deployment::configure(const std::string& document, std::int64_t timeout_ms)
    -> bool {
  auto until = now_ms() + timeout_ms;
  for (int i = 0; now_ms() < until; ++i) {
    auto response = call(control(i % settings_.machines), "PUT", "/api/config",
                         {}, document, 1000);
    if (response.status == 200) {
      log_.line("config is acknowledged");
      return true;
    }
    sleep_ms(200);
  }
  return false;
}

auto deployment::wait_until_ready(std::int64_t timeout_ms) -> bool {
  auto until = now_ms() + timeout_ms;
  while (now_ms() < until) {
    int ready = 0;
    for (int m = 0; m < settings_.machines; ++m) {
      auto response = call(ip(m) + ":" + std::to_string(ready_port_), "GET",
                           "/api/ready", {}, {}, 500);
      if (response.status == 200) ++ready;
    }
    if (ready == settings_.machines && leader() >= 0) return true;
    sleep_ms(200);
  }
  return false;
}

namespace {

auto client_headers(const client& from) -> headers {
  return {{"Host", from.host},
          {"Authorization", "Token " + from.key},
          {"X-Deadline-Ms", std::to_string(from.time_budget_ms)}};
}

}  // namespace

auto client::submit(const std::string& front, const std::string& path,
                    const std::string& body) const -> http_response {
  return call(front, "POST", path, client_headers(*this), body, time_budget_ms);
}

auto client::state(const std::string& front, const std::string& path) const
    -> std::string {
  auto response =
      call(front, "GET", path, client_headers(*this), {}, time_budget_ms);
  if (response.status != 200)
    return "status " + std::to_string(response.status);
  json::error_code ec;
  auto body = json::parse(response.body, ec);
  return ec || !body.is_object() ? "" : text(body.get_object(), "state");
}

auto client::cancel(const std::string& front, const std::string& path) const
    -> http_response {
  return call(front, "DELETE", path, client_headers(*this), {}, time_budget_ms);
}

policy::policy(std::string address, record& log) : log_(log) {
  constexpr std::size_t max_connections = 64;
  server_ = std::make_unique<server>(
      std::move(address), max_connections,
      [this](const http_request& request) { return serve(request); });
}

void policy::set_terms(std::int64_t decide_ms, std::int64_t period_ms,
                       std::int64_t valid_ms) {
  decide_ms_ = decide_ms;
  period_ms_ = period_ms;
  valid_ms_ = valid_ms;
}

auto policy::serve(const http_request& request) -> http_response {
  json::error_code ec;
  auto body = json::parse(request.body, ec);
  if (ec || !body.is_object() || request.target != "/api/advise")
    return {400, "{}"};
  const auto* workers = body.get_object().if_contains("workers");
  if (workers == nullptr || !workers->is_array()) return {400, "{}"};
  auto step = text(body.get_object(), "step");
  std::lock_guard lock(turn_);
  const auto& names = workers->get_array();
  sleep_ms(decide_ms_ + period_ms_ * static_cast<std::int64_t>(names.size()));
  json::array allowed;
  for (const auto& name : names) {
    auto worker = std::string(name.get_string());
    auto ticket =
        step + "/" + worker + "/" + std::to_string(now_ms() + valid_ms_);
    allowed.push_back(json::array{worker, ticket});
  }
  log_.line("advice on step " + step + ": all " + std::to_string(names.size()) +
            " workers, for " + std::to_string(valid_ms_) + " ms from now on");
  return {200, json::serialize(json::object{{"allowed", std::move(allowed)}})};
}

auto policy::is_valid(const std::string& ticket, const std::string& task,
                      const std::string& worker) -> bool {
  auto first = ticket.find('/');
  auto second = ticket.find('/', first + 1);
  if (first == std::string::npos || second == std::string::npos) return false;
  return task.starts_with(ticket.substr(0, first) + ".") &&
         ticket.substr(first + 1, second - first - 1) == worker &&
         std::stoll(ticket.substr(second + 1)) >= now_ms();
}

auto any_free_address() -> std::string {
  auto base = static_cast<int>(::getpid());
  auto ip = "127." + std::to_string(64 + base % 128) + "." +
            std::to_string(base / 128 % 250) + ".99";
  int port = 7100;
  while (!is_port_free(ip, port)) ++port;
  return ip + ":" + std::to_string(port);
}

auto parse_script(int argc, char** argv) -> script {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PROGRAMS FOLDER\n", argv[0]);
    std::exit(static_cast<int>(verdict::not_run));
  }
  ::signal(SIGPIPE, SIG_IGN);
  const auto* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review
