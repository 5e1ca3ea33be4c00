#include <cppunit/extensions/HelperMacros.h>

#include <boost/leaf/handle_errors.hpp>

#include "adapters/io_error.h"
#include "adapters/journal.h"

using namespace parsleyledge;
using namespace parsleyledge::agreement;
namespace leaf = boost::leaf;

namespace {

const folder_owner owner{"default", {1}};

auto entry(std::uint64_t index, const std::string& payload,
           std::uint64_t term = 1) -> log_entry {
  return {{{term}, {index}}, entry_kind::command, payload, {}};
}

/// The error text of an operation; empty if it succeeded.
template <typename F>
auto error_of(F operation) -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(operation());
        return std::string();
      },
      [](const io_error& e) { return e.text(); },
      [](const journal_error& e) { return e.file + ": " + e.detail; },
      [] { return std::string("unknown"); });
}

auto open(journal& disk, recovered_state& state,
          const folder_owner& expected_owner = owner) -> std::string {
  return error_of([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(state, disk.open(expected_owner));
    return {};
  });
}

/// Appends the entries and syncs after each of them.
auto write(journal& disk, std::vector<log_entry> entries) -> std::string {
  return error_of([&]() -> leaf::result<void> {
    for (const auto& e : entries) {
      BOOST_LEAF_CHECK(disk.append({&e, 1}));
      BOOST_LEAF_CHECK(disk.sync());
    }
    return {};
  });
}

const std::string first_segment = "log-0000000000000001";

}  // namespace

/// Recovery of a data folder after power loss, damage and disk errors.
class journal_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(journal_test);
  CPPUNIT_TEST(recovers_synced_records);
  CPPUNIT_TEST(later_entry_replaces_conflicting_tail);
  CPPUNIT_TEST(truncates_torn_tail_of_any_length);
  CPPUNIT_TEST(detects_every_single_bit_flip);
  CPPUNIT_TEST(reports_failed_writes_and_syncs);
  CPPUNIT_TEST(recovers_entries_after_snapshot);
  CPPUNIT_TEST(drops_a_tail_that_a_snapshot_replaced);
  CPPUNIT_TEST(rejects_unusable_folders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void recovers_synced_records() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(disk, state));
    auto incarnation = disk.incarnation();
    CPPUNIT_ASSERT(incarnation != incarnation_number{});
    hard_state hard{{4}, {2}};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         error_of([&] { return disk.append(hard); }));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         write(disk, {entry(1, "a"), entry(2, "b")}));
    files.simulate_power_loss(0);
    journal reopened(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened, state));
    CPPUNIT_ASSERT(reopened.incarnation() == incarnation);
    CPPUNIT_ASSERT(state.hard == hard);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), state.entries[1].payload);
  }

  void later_entry_replaces_conflicting_tail() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    open(disk, state);
    write(disk,
          {entry(1, "a"), entry(2, "b"), entry(3, "c"), entry(2, "other", 2)});
    journal reopened(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened, state));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("other"), state.entries[1].payload);
  }

  void truncates_torn_tail_of_any_length() {
    for (std::uint64_t torn = 0; torn < 40; ++torn) {
      memory_files files;
      recovered_state state;
      journal disk(files);
      open(disk, state);
      write(disk, {entry(1, "a"), entry(2, "b")});
      auto unsynced = entry(3, "not synced");
      files.fault_injection().failing_syncs = 1;
      CPPUNIT_ASSERT(!write(disk, {unsynced}).empty());
      files.simulate_power_loss(torn);
      journal reopened(files);
      CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened, state));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
      // Records written after the truncation must be recovered too.
      CPPUNIT_ASSERT_EQUAL(std::string(), write(reopened, {entry(3, "next")}));
      journal reopened_again(files);
      CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened_again, state));
      CPPUNIT_ASSERT_EQUAL(std::string("next"), state.entries[2].payload);
    }
  }

  void detects_every_single_bit_flip() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    open(disk, state);
    write(disk, {entry(1, "first"), entry(2, "second"), entry(3, "third")});
    auto intact = files.bytes(first_segment);
    for (std::size_t at = 0; at < intact.size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        auto& bytes = files.bytes(first_segment);
        bytes = intact;
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << bit));
        journal reopened(files);
        auto error = open(reopened, state);
        CPPUNIT_ASSERT_MESSAGE(
            "byte " + std::to_string(at),
            error.find("damaged record") != std::string::npos);
      }
    }
  }

  void reports_failed_writes_and_syncs() {
    struct fault_case {
      const char* name;
      memory_files::injected_faults faults;
      const char* expected;
    };
    const fault_case cases[] = {
        {"fsync error", {1, false, ~0ULL}, "sync"},
        {"full disk", {0, true, ~0ULL}, "no space left"},
        {"interrupted write", {0, false, 7}, "write"},
    };
    for (const auto& c : cases) {
      memory_files files;
      recovered_state state;
      journal disk(files);
      open(disk, state);
      write(disk, {entry(1, "a")});
      files.fault_injection() = c.faults;
      auto error = write(disk, {entry(2, "b")});
      CPPUNIT_ASSERT_MESSAGE(c.name,
                             error.find(c.expected) != std::string::npos);
    }
  }

  void recovers_entries_after_snapshot() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    open(disk, state);
    write(disk, {entry(1, "a"), entry(2, "b"), entry(3, "c")});
    std::vector<member> members{{{1}, {9}, "x", true},
                                {{2}, {8}, "y", false, true}};
    members.push_back({{3},
                       {7},
                       "z",
                       true,
                       false,
                       "dc3",
                       {12},
                       exchange_part::outgoing,
                       true});
    std::vector<log_entry> tail{entry(3, "c")};
    CPPUNIT_ASSERT_EQUAL(std::string(), error_of([&] {
                           return disk.write_snapshot(
                               {{1}, {2}}, members, "state", {{5}, {1}}, tail);
                         }));
    write(disk, {entry(4, "d")});
    files.simulate_power_loss(0);
    journal reopened(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened, state));
    CPPUNIT_ASSERT_EQUAL(std::string("state"), *state.snapshot);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.snapshot_last.index.value);
    CPPUNIT_ASSERT(state.members == members);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("d"), state.entries[1].payload);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.hard.term.value);
  }

  // Guards against a replica that takes part in elections with a discarded log
  // after a loss of power between a received snapshot and the durable removal
  // of the segments before it.
  void drops_a_tail_that_a_snapshot_replaced() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    open(disk, state);
    write(disk, {entry(1, "a"), entry(2, "b"), entry(3, "discarded"),
                 entry(4, "discarded")});
    auto former_segment = files.bytes(first_segment);
    CPPUNIT_ASSERT_EQUAL(
        std::string(), error_of([&] {
          return disk.write_snapshot({{2}, {2}}, {}, "state", {{2}, {}}, {});
        }));
    files.bytes(first_segment) = former_segment;
    journal reopened(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened, state));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.hard.term.value);
    CPPUNIT_ASSERT_EQUAL(std::string(), write(reopened, {entry(3, "next", 2)}));
    files.bytes(first_segment) = former_segment;
    journal reopened_again(files);
    CPPUNIT_ASSERT_EQUAL(std::string(), open(reopened_again, state));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("next"), state.entries[0].payload);
  }

  void rejects_unusable_folders() {
    memory_files files;
    recovered_state state;
    journal disk(files);
    open(disk, state);
    struct folder_case {
      folder_owner expected_owner;
      const char* expected;
    };
    const folder_case cases[] = {
        {{"other", {1}}, "belongs to group default"},
        {{"default", {2}}, "belongs to replica 1"},
    };
    for (const auto& c : cases) {
      journal reopened(files);
      auto error = open(reopened, state, c.expected_owner);
      CPPUNIT_ASSERT_MESSAGE(error,
                             error.find(c.expected) != std::string::npos);
    }
    files.bytes("folder")[20] ^= 1;
    journal damaged(files);
    CPPUNIT_ASSERT(open(damaged, state).find("is damaged") !=
                   std::string::npos);
    memory_files without_owner;
    without_owner.bytes("letter.txt") = "hello";
    journal other(without_owner);
    CPPUNIT_ASSERT(open(other, state).find("is missing") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_test);
