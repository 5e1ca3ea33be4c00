#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include "adapters/log_rate_limiter.h"
#include "adapters/log_summary.h"
#include "adapters/log_trace.h"
#include "adapters/log_writer.h"

using namespace parsleyledge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A pipe that is read only when the test calls `read_all`.
struct test_pipe {
  test_pipe() {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    read_end = ends[0];
    write_end = ends[1];
  }
  ~test_pipe() {
    ::close(read_end);
    ::close(write_end);
  }

  /// Reads until no bytes have arrived for 500 ms.
  auto read_all() const -> std::string {
    std::string all;
    std::array<char, 65536> buffer{};
    ::fcntl(read_end, F_SETFL, O_NONBLOCK);
    for (int idle = 0; idle < 5;) {
      auto n = ::read(read_end, buffer.data(), buffer.size());
      if (n > 0) {
        all.append(buffer.data(), static_cast<std::size_t>(n));
        idle = 0;
      } else {
        ++idle;
        ::usleep(100'000);
      }
    }
    return all;
  }

  int read_end = -1;
  int write_end = -1;
};

/// Returns the signal mask of each thread of this process by thread ID.
auto blocked_signals() -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> threads;
  for (const auto& thread :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::ifstream status(thread.path() / "status");
    for (std::string line; std::getline(status, line);) {
      constexpr std::string_view field = "SigBlk:";
      if (!line.starts_with(field)) continue;
      constexpr int hex = 16;
      threads[thread.path().filename().string()] =
          std::stoull(line.substr(field.size()), nullptr, hex);
    }
  }
  return threads;
}

auto count(const std::string& text, std::string_view part) -> std::size_t {
  std::size_t n = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

}  // namespace

class log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_test);
  CPPUNIT_TEST(writes_lines_complete_and_in_order);
  CPPUNIT_TEST(drops_and_counts_lines_of_a_stalled_reader);
  CPPUNIT_TEST(destructor_returns_with_a_stalled_reader);
  CPPUNIT_TEST(sums_up_discarded_work_and_waiting_by_cause);
  CPPUNIT_TEST(suppresses_and_counts_lines_above_the_rate);
  CPPUNIT_TEST(sorts_the_trace_of_a_request_by_time);
  CPPUNIT_TEST(blocks_signals_in_the_writer_thread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writes_lines_complete_and_in_order() {
    test_pipe pipe;
    {
      log_writer writer(pipe.write_end, 1 << 20);
      for (int i = 0; i < 1000; ++i) {
        CPPUNIT_ASSERT(writer.write("line " + std::to_string(i)));
      }
      writer.flush(seconds(10));
    }
    auto text = pipe.read_all();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, count(text, "\n"));
    CPPUNIT_ASSERT(text.starts_with("line 0\nline 1\n"));
    CPPUNIT_ASSERT(text.ends_with("line 999\n"));
  }

  void drops_and_counts_lines_of_a_stalled_reader() {
    test_pipe pipe;
    log_writer writer(pipe.write_end, 1 << 16);
    std::string line(200, 'x');
    std::size_t dropped = 0;
    for (int i = 0; i < 5000; ++i) dropped += writer.write(line) ? 0 : 1;
    CPPUNIT_ASSERT(dropped > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{dropped}, writer.dropped());
    auto text = pipe.read_all();
    CPPUNIT_ASSERT(writer.write("after"));
    text += pipe.read_all();
    CPPUNIT_ASSERT_EQUAL(5000 - dropped, count(text, line + "\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(text, "after\n"));
    CPPUNIT_ASSERT(text.find("\"log_dropped\",\"lines\":" +
                             std::to_string(dropped)) != std::string::npos);
  }

  void destructor_returns_with_a_stalled_reader() {
    test_pipe pipe;
    log_writer writer(pipe.write_end, 1 << 20);
    std::string line(1000, 'x');
    for (int i = 0; i < 500; ++i) writer.write(line);
  }  // the destructor of the writer returns although nobody reads

  void sorts_the_trace_of_a_request_by_time() {
    std::vector<std::string> logs = {
        R"({"time":"2026-01-01T00:00:02.000Z","process":"b","event":"ended",)"
        R"("task":"00ff.0.0.1","how":"done"})"
        "\nnoise 00ff {cut\n",
        "7.1 a/control "
        R"({"time":"2026-01-01T00:00:01.000Z","level":"info","process":"a",)"
        R"("event":"job_submitted","job":"00ff","steps":1})"
        "\n"
        R"({"time":"2026-01-01T00:00:00.000Z","event":"other","job":"01"})"};
    auto trace = read_log_trace(logs, "00ff");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, trace.events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, trace.malformed_lines);
    CPPUNIT_ASSERT_EQUAL(std::string("job_submitted"), trace.events[0].event);
    CPPUNIT_ASSERT_EQUAL(std::string("job=00ff steps=1"),
                         trace.events[0].details);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), trace.events[1].process);
  }

  void sums_up_discarded_work_and_waiting_by_cause() {
    auto lost = [](std::string_view task, std::string_view cause,
                   std::string_view reason, int core_ms) {
      return R"({"time":"t","event":"work_discarded","task":")" +
             std::string(task) + R"(","queue":"q","cause":")" +
             std::string(cause) + R"(","reason":")" + std::string(reason) +
             R"(","core_ms":)" + std::to_string(core_ms) + "}\n";
    };
    std::vector<std::string> logs = {
        lost("1.0.0.0", "displaced", "reclaimed for 9.0.0", 1500) +
            "3.1 a/control " +
            lost("2.0.0.3", "displaced", "reclaimed for 9.0.0", 500),
        lost("3.0.0.0", "task_failed", "failed", 1000) +
            R"({"event":"work_discarded",)"
            "\n"
            R"({"event":"waited","step":"1.0.0","queue":"q",)"
            R"("cause":"rack_full","wait_ms":250,"folded":7})"};
    auto summary = summarize_logs(logs, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, summary.totals.size());
    auto displaced = summary.totals.at({"discarded", "displaced", "q"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, displaced.count);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, displaced.cost, 1e-9);
    auto waited = summary.totals.at({"waited", "rack_full", "q"});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, waited.cost, 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.malformed_lines);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, summary.suppressed_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.costliest.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, summary.costliest[0].total.count);
    CPPUNIT_ASSERT_EQUAL(std::string("1.0.0"), summary.costliest[0].step);
  }

  // A SIGHUP during shutdown (issue sarza-ke) was delivered to the thread of
  // the writer, where the default action ended the process.
  void blocks_signals_in_the_writer_thread() {
    test_pipe pipe;
    auto before = blocked_signals();
    log_writer writer(pipe.write_end, 1 << 16);
    // A new thread blocks all signals until it runs: wait for its first line.
    CPPUNIT_ASSERT(writer.write("begun"));
    writer.flush(seconds(10));
    auto after = blocked_signals();
    CPPUNIT_ASSERT_EQUAL(before.size() + 1, after.size());
    for (const auto& [thread, blocked] : after) {
      if (before.contains(thread)) continue;
      for (int signal : {SIGHUP, SIGTERM, SIGINT}) {
        CPPUNIT_ASSERT((blocked >> (signal - 1) & 1) != 0);
      }
    }
  }

  void suppresses_and_counts_lines_above_the_rate() {
    log_rate_limiter limiter(10, 20);
    auto now = log_rate_limiter::clock::now();
    int passed = 0;
    for (int i = 0; i < 100; ++i) passed += limiter.admit("a", now).admitted;
    CPPUNIT_ASSERT_EQUAL(20, passed);
    CPPUNIT_ASSERT(limiter.admit("b", now).admitted);
    auto next = limiter.admit("a", now + seconds(1));
    CPPUNIT_ASSERT(next.admitted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, next.suppressed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         limiter.admit("a", now + seconds(1)).suppressed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);
