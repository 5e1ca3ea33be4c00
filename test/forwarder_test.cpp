#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <mutex>

#include "adapters/clock.h"
#include "adapters/codec.h"
#include "adapters/config_holder.h"
#include "adapters/control_client.h"
#include "adapters/forwarder.h"
#include "adapters/membership_node.h"
#include "adapters/peer_socket.h"
#include "adapters/site_state_machine.h"
#include "adapters/slot_allocator.h"
#include "fakes/process_site.h"
#include "wire.pb.h"

using namespace parsleyledge;
namespace asio = boost::asio;

namespace {

constexpr std::string_view control_address = "127.0.0.1:22311";
constexpr std::chrono::seconds release_limit{10};

/// What happens to a command on its way to the state and back.
enum class fate { answered, reply_lost, lost, not_committed, refused };

/// A control group of one replica that treats commands as a script says.
class scripted_control {
 public:
  using script = std::function<fate(const command&)>;

  explicit scripted_control(script decide) : decide_(std::move(decide)) {
    CPPUNIT_ASSERT_EQUAL(std::string(), peers_.start(control_address));
  }
  ~scripted_control() { peers_.stop(); }
  scripted_control(const scripted_control&) = delete;
  auto operator=(const scripted_control&) -> scripted_control& = delete;

 private:
  void receive(std::string_view from, const wire::envelope& message) {
    if (!message.has_request()) return;
    auto change = read(message.request().change());
    CPPUNIT_ASSERT(change.has_value());
    if (auto* claim = std::get_if<claim_key>(&*change)) claim->at = wall_now();
    auto fate_of_command = decide_(*change);
    if (fate_of_command == fate::lost) return;
    if (fate_of_command == fate::refused) {
      refuse(from, message.request().id());
      return;
    }
    auto result = fate_of_command == fate::not_committed
                      ? site_state_machine::not_committed()
                      : state_.apply(*change, {});
    if (fate_of_command == fate::reply_lost) return;
    wire::envelope out;
    out.mutable_reply()->set_id(message.request().id());
    write(result, *out.mutable_reply()->mutable_result());
    peers_.reply(from, std::move(out));
  }

  void refuse(std::string_view from, std::uint64_t call) {
    wire::envelope out;
    out.mutable_reply()->set_id(call);
    write(problem{409, "Refused", "scripted", run_outcome::not_run},
          *out.mutable_reply()->mutable_refused());
    peers_.reply(from, std::move(out));
  }

  script decide_;           // called on the socket's thread
  replicated_state state_;  // used on the socket's thread only
  peer_socket peers_{{"site", "control"},
                     [this](std::string_view from, wire::envelope message) {
                       receive(from, message);
                     }};
};

/// The forwarder of an entry that knows no endpoint, so that no request runs.
class scripted_entry {
 public:
  scripted_entry() { CPPUNIT_ASSERT_EQUAL(std::string(), peers_.start({})); }
  ~scripted_entry() {
    pool_.stop();
    pool_.join();
    peers_.stop();
  }
  scripted_entry(const scripted_entry&) = delete;
  auto operator=(const scripted_entry&) -> scripted_entry& = delete;

  /// Sends the order with the key "k".
  auto post_order() -> http_response {
    site_config site;
    site.customers["grocer"];
    config_.replace({++version_}, std::move(site), steady_now());
    http_request request;
    request.method = "POST";
    request.target = "/s/orders/1";
    request.headers = {{"Customer", "grocer"},
                       {"Idempotency-Key", "k"},
                       {"Parsley-Deadline", "4000"}};
    return asio::co_spawn(asio::make_strand(pool_),
                          forwarder_.forward(std::move(request)),
                          asio::use_future)
        .get();
  }

 private:
  asio::thread_pool pool_{2};
  metrics metrics_;
  config_holder config_;
  std::uint64_t version_ = 0;
  peer_socket peers_{{"site", "entry"},
                     [this](std::string_view, wire::envelope message) {
                       control_.receive(std::move(*message.mutable_reply()));
                     }};
  control_client control_{peers_, {std::string(control_address)}};
  slot_allocator slots_{sampled_load{}, 1};
  membership_node members_{pool_, peers_, {"entry", "", 1}, {}, {}};
  forwarder forwarder_{"entry", config_, control_, members_, slots_, metrics_};
};

auto is_claim(const command& change) -> bool {
  return std::holds_alternative<claim_key>(change);
}

auto is_not_run(const http_response& response) -> bool {
  return response.status == 503 &&
         response.header("Parsley-Outcome") == "not-run";
}

/// Whether the order gets past the claim of its key within some seconds.
auto can_be_sent_again(scripted_entry& entry) -> bool {
  return fakes::eventually(
      [&] {
        return entry.post_order().body.find("no endpoint of orders") !=
               std::string::npos;
      },
      release_limit);
}

}  // namespace

/// Idempotency keys of requests whose caller was told that nothing ran.
class forwarder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(forwarder_test);
  CPPUNIT_TEST(frees_the_key_of_a_claim_without_a_reply);
  CPPUNIT_TEST(frees_the_key_of_a_claim_refused_after_a_lost_reply);
  CPPUNIT_TEST(frees_the_key_of_a_claim_that_another_leader_refuses);
  CPPUNIT_TEST(frees_the_key_after_lost_releases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void frees_the_key_of_a_claim_without_a_reply() {
    std::atomic<bool> replies{false};
    scripted_control control([&](const command& change) {
      return is_claim(change) && !replies ? fate::reply_lost : fate::answered;
    });
    scripted_entry entry;
    auto first = entry.post_order();
    CPPUNIT_ASSERT_MESSAGE(first.body, is_not_run(first));
    replies = true;
    CPPUNIT_ASSERT(can_be_sent_again(entry));
  }

  // Guards against taking the refusal of a second attempt for that of the
  // first, which may have been committed.
  void frees_the_key_of_a_claim_refused_after_a_lost_reply() {
    std::atomic<int> claims{0};
    std::atomic<bool> replies{false};
    scripted_control control([&](const command& change) {
      if (!is_claim(change) || replies) return fate::answered;
      return claims++ == 0 ? fate::reply_lost : fate::not_committed;
    });
    scripted_entry entry;
    auto first = entry.post_order();
    CPPUNIT_ASSERT_MESSAGE(first.body, is_not_run(first));
    CPPUNIT_ASSERT(claims > 1);
    replies = true;
    CPPUNIT_ASSERT(can_be_sent_again(entry));
  }

  // Guards against "not run" for a change that is refused by the next leader
  // after the former one committed it.
  void frees_the_key_of_a_claim_that_another_leader_refuses() {
    std::atomic<int> claims{0};
    std::atomic<bool> replies{false};
    scripted_control control([&](const command& change) {
      if (!is_claim(change) || replies) return fate::answered;
      return claims++ == 0 ? fate::reply_lost : fate::refused;
    });
    scripted_entry entry;
    auto first = entry.post_order();
    CPPUNIT_ASSERT(first.header("Parsley-Outcome") == "not-run");
    CPPUNIT_ASSERT(claims > 1);
    replies = true;
    CPPUNIT_ASSERT(can_be_sent_again(entry));
  }

  void frees_the_key_after_lost_releases() {
    std::atomic<bool> delivers{false};
    scripted_control control([&](const command& change) {
      return is_claim(change) || delivers ? fate::answered : fate::lost;
    });
    scripted_entry entry;
    auto first = entry.post_order();
    CPPUNIT_ASSERT_MESSAGE(first.body, is_not_run(first));
    delivers = true;
    CPPUNIT_ASSERT(can_be_sent_again(entry));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarder_test);
