#include "adapters/membership_node.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/json.h"
#include "adapters/log.h"
#include "adapters/peer_socket.h"
#include "adapters/settings.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace asio = boost::asio;

constexpr milliseconds gossip_interval{250};
constexpr milliseconds probe_interval{1000};
constexpr milliseconds probe_timeout{500};
constexpr milliseconds entry_timeout{2000};  // without a message
constexpr milliseconds full_exchange_interval{1000};
constexpr std::size_t max_endpoints = 10'000;

}  // namespace

membership_node::membership_node(asio::thread_pool& pool, peer_socket& peers,
                                 entry_identity identity,
                                 std::vector<std::string> seeds,
                                 probe_handler on_probe)
    : pool_(pool),
      peers_(peers),
      identity_(std::move(identity)),
      on_probe_(std::move(on_probe)),
      gossip_timer_(pool),
      probe_timer_(pool) {
  for (auto& seed : seeds) {
    if (seed != identity_.address) entries_.try_emplace(seed);
  }
}

void membership_node::start() {
  schedule_gossip();
  schedule_probes();
}

void membership_node::stop() {
  ranked_lock lock(mutex_);
  stopped_ = true;
  gossip_timer_.cancel();
  probe_timer_.cancel();
}

void membership_node::set_draining() {
  ranked_lock lock(mutex_);
  draining_ = true;
}

auto membership_node::announce(endpoint_record record)
    -> result_or_problem<std::uint64_t> {
  if (!is_address(record.address)) {
    return problem{400, "Bad request", "address: must be ip:port",
                   run_outcome::not_run};
  }
  ranked_lock lock(mutex_);
  bool exists = table_.find(record.name) != nullptr;
  if (!exists && table_.records().size() >= max_endpoints) {
    return problem{503, "Too many endpoints", "the endpoint table is full",
                   run_outcome::not_run};
  }
  record.received_at = steady_now();
  auto name = record.name;
  if (!table_.announce(std::move(record))) {
    return problem{409, "Outdated incarnation",
                   name + " has already announced a later incarnation",
                   run_outcome::conflict};
  }
  return table_.find(name)->sequence;
}

void membership_node::schedule_gossip() {
  gossip_timer_.expires_after(gossip_interval);
  gossip_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    send_gossip();
    ranked_lock lock(mutex_);
    if (!stopped_) schedule_gossip();
  });
}

// Sends each entry the records announced here since the previous message. The
// message carries a digest of the table; an entry with a different digest
// responds with its whole table, at most once per full_exchange_interval.
void membership_node::send_gossip() {
  std::vector<std::pair<std::string, wire::envelope>> messages;
  {
    ranked_lock lock(mutex_);
    auto now = steady_now();
    for (const auto& name : table_.expire(now)) {
      log_event(log_level::info, "endpoint_expired", {{"endpoint", name}});
    }
    for (auto& [address, entry] : entries_) {
      wire::envelope envelope;
      auto& gossip = *envelope.mutable_entries();
      gossip.set_name(identity_.name);
      gossip.set_address(identity_.address);
      gossip.set_incarnation(identity_.incarnation);
      gossip.set_leaving(draining_);
      gossip.set_summary(table_.digest());
      for (const auto& record : table_.announced_since(entry.sent_revision)) {
        write(record, now, *gossip.add_endpoints());
      }
      entry.sent_revision = table_.revision();
      messages.emplace_back(address, std::move(envelope));
    }
  }
  for (auto& [address, envelope] : messages) {
    peers_.send(address, std::move(envelope));
  }
}

void membership_node::receive(const wire::gossip& message) {
  wire::envelope full_gossip;
  {
    ranked_lock lock(mutex_);
    auto now = steady_now();
    auto& entry = entries_[message.address()];
    if (message.incarnation() < entry.incarnation) return;
    bool restarted = message.incarnation() > entry.incarnation;
    if (restarted) entry.sent_revision = 0;
    entry.name = message.name();
    entry.incarnation = message.incarnation();
    entry.received_at = now;
    entry.draining = message.leaving();
    for (const auto& record : message.endpoints()) {
      table_.merge(read(record, now));
    }
    for (const auto& address : message.known()) {
      if (address != identity_.address) entries_.try_emplace(address);
    }
    bool differs = message.summary() != table_.digest();
    if (message.full() || !differs ||
        now - entry.full_sent_at < full_exchange_interval) {
      return;
    }
    entry.full_sent_at = now;
    auto& gossip = *full_gossip.mutable_entries();
    gossip.set_name(identity_.name);
    gossip.set_address(identity_.address);
    gossip.set_incarnation(identity_.incarnation);
    gossip.set_leaving(draining_);
    gossip.set_full(true);
    for (const auto& [name, record] : table_.records()) {
      write(record, now, *gossip.add_endpoints());
    }
    for (const auto& [address, other] : entries_) gossip.add_known(address);
  }
  peers_.send(message.address(), std::move(full_gossip));
}

void membership_node::schedule_probes() {
  probe_timer_.expires_after(probe_interval);
  probe_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    std::vector<std::pair<std::string, std::string>> targets;
    {
      ranked_lock lock(mutex_);
      if (stopped_) return;
      for (const auto& [name, record] : table_.records()) {
        targets.emplace_back(name, record.address);
      }
      schedule_probes();
    }
    for (auto& [name, address] : targets) {
      asio::co_spawn(asio::make_strand(pool_), probe(name, address),
                     asio::detached);
    }
  });
}

auto membership_node::probe(std::string endpoint, std::string address)
    -> asio::awaitable<void> {
  http_request request;
  request.target = "/healthz";
  exchange_limits limits;
  limits.timeout = probe_timeout;
  limits.connect_timeout = probe_timeout;
  limits.idempotent = true;
  limits.idle_connections = 1;
  auto start = steady_now();
  auto result = co_await probe_client_.exchange(address, request, limits);
  auto health = probe_result::failed;
  if (auto* response = std::get_if<exchange_completed>(&result)) {
    auto status = response->response.status;
    // Any other status, such as 404 without /healthz, shows that the endpoint
    // is reachable; a draining endpoint responds with 503.
    health = status == 503 ? probe_result::draining : probe_result::ready;
  }
  on_probe_(endpoint, health, steady_now() - start);
}

auto membership_node::live_entries() -> std::size_t {
  ranked_lock lock(mutex_);
  auto now = steady_now();
  std::size_t live = 1;
  for (const auto& [address, entry] : entries_) {
    if (entry.incarnation != 0 && now - entry.received_at < entry_timeout)
      ++live;
  }
  return live;
}

auto membership_node::idle_connections(std::string_view endpoint)
    -> std::size_t {
  auto entries = live_entries();
  ranked_lock lock(mutex_);
  const auto* record = table_.find(endpoint);
  if (record == nullptr || record->connections <= record->slots) return 0;
  auto share = (record->connections - record->slots) / entries;
  return share > 0 ? share - 1 : 0;  // one is reserved for probes
}

auto membership_node::state_json() -> boost::json::object {
  boost::json::array endpoints;
  boost::json::array entries;
  ranked_lock lock(mutex_);
  auto now = steady_now();
  for (const auto& [name, record] : table_.records()) {
    auto row = to_json(record);
    row["age_ms"] = (now - record.received_at).count();
    endpoints.push_back(std::move(row));
  }
  for (const auto& [address, entry] : entries_) {
    boost::json::object row{{"address", address},
                            {"name", entry.name},
                            {"leaving", entry.draining}};
    if (entry.incarnation != 0)
      row["age_ms"] = (now - entry.received_at).count();
    entries.push_back(std::move(row));
  }
  return {{"endpoints", std::move(endpoints)}, {"entries", std::move(entries)}};
}

}  // namespace parsleyledge
