#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <future>
#include <optional>
#include <span>
#include <vector>

#include "adapters/clock.h"
#include "adapters/fleet_client.h"
#include "adapters/fleet_codec.h"
#include "adapters/fleet_control_node.h"
#include "fakes/process_site.h"
#include "wire.pb.h"

using namespace parsleyledge;
namespace asio = boost::asio;
using fleet::reply_status;

namespace {

constexpr std::string_view leader_address = "127.0.0.1:18931";
constexpr milliseconds time_limit{8000};
constexpr std::uint64_t changes = 3000;

/// A control process that is a group of its own.
auto make_lone_settings(agreement::incarnation_number incarnation)
    -> fleet_control_settings {
  fleet_control_settings settings;
  settings.name = "leader";
  settings.group = "fleet";
  settings.listen_peer = leader_address;
  settings.control = {std::string(leader_address)};
  settings.replica.id = {1};
  settings.replica.incarnation = incarnation;
  settings.replica.peers = {{{1}, {}, std::string(leader_address), true}};
  return settings;
}

/// The control processes at these loopback ports, whose IDs are the ports.
auto members_at(std::span<const std::uint32_t> ports)
    -> std::vector<agreement::member> {
  std::vector<agreement::member> members;
  for (auto port : ports) {
    members.push_back({{port}, {}, "127.0.0.1:" + std::to_string(port), true});
  }
  return members;
}

/// The settings of a control process at a loopback port, whose seeds are at the
/// ports of `seeds`. If it is one of them, it may bootstrap the group.
auto make_settings(std::uint32_t port, std::span<const std::uint32_t> seeds)
    -> fleet_control_settings {
  auto self = members_at(std::span(&port, 1)).front();
  fleet_control_settings settings;
  settings.name = "control-" + std::to_string(port);
  settings.group = "fleet";
  settings.listen_peer = self.address;
  settings.replica.id = self.id;
  settings.replica.seed = port;
  settings.replica.admits_unknown_replicas = true;
  settings.replica.peers = members_at(seeds);
  for (const auto& seed : settings.replica.peers) {
    settings.control.push_back(seed.address);
  }
  settings.replica.may_bootstrap =
      std::ranges::find(seeds, port) != seeds.end();
  if (!settings.replica.may_bootstrap) settings.replica.peers.push_back(self);
  return settings;
}

/// A control process with a thread of its own.
class control_process {
 public:
  explicit control_process(fleet_control_settings settings)
      : address_(settings.listen_peer), pool_(1) {
    journal disk{file_store(memory_files())};
    agreement::recovered_state recovered;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(recovered,
                            disk.open({"fleet", settings.replica.id}));
          return {};
        },
        [] { CPPUNIT_FAIL("the journal cannot be opened"); });
    settings.replica.incarnation = disk.incarnation();
    fleet::platform_port platform;
    platform.parse_site = [](std::string_view) -> std::optional<fleet::site> {
      return {};
    };
    node_.emplace(pool_, std::move(settings), std::move(disk),
                  std::move(recovered), platform, [](std::string_view detail) {
                    CPPUNIT_FAIL(std::string(detail));
                  });
    CPPUNIT_ASSERT_EQUAL(std::string(), node_->start());
  }

  ~control_process() {
    node_->stop();
    pool_.stop();
    pool_.join();
  }

  control_process(const control_process&) = delete;
  auto operator=(const control_process&) -> control_process& = delete;

  auto node() -> fleet_control_node& { return *node_; }
  auto address() const -> const std::string& { return address_; }

  /// Occupies the thread again and again until the process gives its
  /// leadership away.
  void overload() {
    constexpr milliseconds pause{300};
    auto& transfers = node_->counters().counter("overload_transfers_total");
    auto before = transfers.load();
    CPPUNIT_ASSERT(fakes::eventually([&] {
      std::promise<void> paused;
      asio::post(pool_, [&] {
        fakes::pause_for(pause);
        paused.set_value();
      });
      paused.get_future().wait();
      return transfers.load() > before;
    }));
  }

  /// The addresses of the members of the group, one per line. Empty if no
  /// leader responds.
  auto members() -> std::string {
    auto reply =
        asio::co_spawn(asio::make_strand(pool_),
                       node_->serve(fleet::ping_request{}, milliseconds(500)),
                       asio::use_future)
            .get();
    return reply.status == reply_status::done ? reply.text : std::string();
  }

 private:
  std::string address_;
  asio::thread_pool pool_;
  std::optional<fleet_control_node> node_;
};

}  // namespace

/// Control processes during a transfer of the leadership, and when they join a
/// group.
class fleet_control_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_control_test);
  CPPUNIT_TEST(a_hand_over_refuses_no_change_that_the_next_leader_can_commit);
  CPPUNIT_TEST(a_report_that_cannot_be_decoded_again_is_not_committed);
  CPPUNIT_TEST(a_replica_joins_through_a_seed_without_a_disk);
  CPPUNIT_TEST(a_replica_joins_through_seeds_named_later);
  CPPUNIT_TEST(a_leader_that_was_overloaded_can_lead_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that are refused during a planned hand-over,
  // although there is a leader again before their deadline.
  void a_hand_over_refuses_no_change_that_the_next_leader_can_commit() {
    asio::thread_pool pool(2);
    journal disk{file_store(memory_files())};
    agreement::recovered_state recovered;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(recovered, disk.open({"fleet", {1}}));
          return {};
        },
        [] { CPPUNIT_FAIL("the journal cannot be opened"); });
    auto settings = make_lone_settings(disk.incarnation());
    fleet::platform_port platform;
    platform.parse_site = [](std::string_view) -> std::optional<fleet::site> {
      return {};
    };
    fleet_control_node node(
        pool, settings, std::move(disk), std::move(recovered), platform,
        [](std::string_view detail) { CPPUNIT_FAIL(std::string(detail)); });
    control_client* receiver = nullptr;
    peer_socket peers({"fleet", "entry"},
                      [&](std::string_view, wire::envelope message) {
                        receiver->receive(std::move(*message.mutable_reply()));
                      });
    control_client client(peers, {std::string(leader_address)});
    receiver = &client;
    CPPUNIT_ASSERT_EQUAL(std::string(), peers.start({}));
    CPPUNIT_ASSERT_EQUAL(std::string(), node.start());
    auto call = [&](fleet::request request) {
      return asio::co_spawn(
          asio::make_strand(pool),
          ask_leader(client, std::move(request), steady_now() + time_limit),
          asio::use_future);
    };
    CPPUNIT_ASSERT(reply_status::done ==
                   call(fleet::ping_request{}).get().status);
    std::vector<std::future<fleet::reply>> replies;
    for (std::uint64_t i = 1; i <= changes; ++i) {
      replies.push_back(call(fleet::start_wave_request{i, {}}));
      if (i == changes / 2) node.retire();
    }
    std::uint64_t refused = 0;
    for (auto& reply : replies) {
      if (reply.get().status == reply_status::unavailable) ++refused;
    }
    node.stop();
    peers.stop();
    pool.stop();
    pool.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, refused);
  }

  // Guards against a replica that ends at a command that it cannot decode, and
  // again at each restart, whichever front end passed the text on.
  void a_report_that_cannot_be_decoded_again_is_not_committed() {
    asio::thread_pool pool(2);
    journal disk{file_store(memory_files())};
    agreement::recovered_state recovered;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(recovered, disk.open({"fleet", {1}}));
          return {};
        },
        [] { CPPUNIT_FAIL("the journal cannot be opened"); });
    auto settings = make_lone_settings(disk.incarnation());
    fleet::platform_port platform;
    platform.parse_site = [](std::string_view) -> std::optional<fleet::site> {
      return {};
    };
    std::atomic<bool> ended = false;
    fleet_control_node node(pool, settings, std::move(disk),
                            std::move(recovered), platform,
                            [&](std::string_view) { ended = true; });
    CPPUNIT_ASSERT_EQUAL(std::string(), node.start());
    auto give_up_at = steady_now() + time_limit;
    while (!node.leads() && steady_now() < give_up_at)
      fakes::pause_for(milliseconds(10));
    auto report = [&](const std::string& name) {
      fleet::report_request request;
      request.report.incarnation = {name, 5};
      return asio::co_spawn(asio::make_strand(pool),
                            node.serve(std::move(request), time_limit),
                            asio::use_future)
          .get()
          .status;
    };
    auto odd = report("i-\xff");
    auto valid = report("i-1");
    node.stop();
    pool.stop();
    pool.join();
    CPPUNIT_ASSERT(!ended);
    CPPUNIT_ASSERT(odd == reply_status::invalid);
    CPPUNIT_ASSERT(valid == reply_status::done);
  }

  // Guards against the loss of the state: the successor of a replaced machine
  // never joined, as its seeds were no members, and the next disk that was lost
  // left the group without a quorum.
  void a_replica_joins_through_a_seed_without_a_disk() {
    constexpr std::uint32_t leader_port = 18'934;
    constexpr std::uint32_t seed_port = 18'935;
    constexpr std::uint32_t joining_port = 18'936;
    auto seed_settings = make_settings(seed_port, std::array{leader_port});
    seed_settings.has_disk = false;
    control_process seed(std::move(seed_settings));
    control_process leader(make_settings(leader_port, std::array{leader_port}));
    leader.node().set_seeds(members_at(std::array{seed_port}));
    control_process joining(make_settings(joining_port, std::array{seed_port}));
    CPPUNIT_ASSERT(fakes::eventually([&] {
      return leader.members().find(joining.address()) != std::string::npos;
    }));
  }

  // Guards against a successor that never joins, as it started while the seeds
  // in its settings were all gone.
  void a_replica_joins_through_seeds_named_later() {
    constexpr std::uint32_t leader_port = 18'937;
    constexpr std::uint32_t gone_port = 18'938;
    constexpr std::uint32_t joining_port = 18'939;
    control_process leader(make_settings(leader_port, std::array{leader_port}));
    control_process joining(make_settings(joining_port, std::array{gone_port}));
    joining.node().set_seeds(members_at(std::array{leader_port}));
    CPPUNIT_ASSERT(fakes::eventually([&] {
      return leader.members().find(joining.address()) != std::string::npos;
    }));
  }

  // Guards against a group without a leader once each of its members has led
  // and been slow for a while, although all are well again.
  void a_leader_that_was_overloaded_can_lead_again() {
    const std::vector<std::uint32_t> ports = {18'932, 18'933};
    control_process first(make_settings(ports[0], ports));
    control_process second(make_settings(ports[1], ports));
    CPPUNIT_ASSERT(fakes::eventually(
        [&] { return first.node().leads() || second.node().leads(); }));
    auto& old_leader = first.node().leads() ? first : second;
    auto& new_leader = first.node().leads() ? second : first;
    old_leader.overload();
    CPPUNIT_ASSERT(
        fakes::eventually([&] { return new_leader.node().leads(); }));
    new_leader.overload();
    CPPUNIT_ASSERT(
        fakes::eventually([&] { return old_leader.node().leads(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_control_test);
