#include "history.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <boost/json.hpp>

namespace parsleyledge::soak {

namespace {

namespace json = boost::json;

// The platform's bounds: for a confirmed configuration to be in force
// everywhere, and for the service to recover.
constexpr std::chrono::milliseconds config_bound{2000};
constexpr std::chrono::seconds recovery_bound{12};

auto now_text() -> std::string {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                          absl::UTCTimeZone());
}

}  // namespace

history::history(const std::string& path) : file_(path) {}

void history::add(const client_call& call) {
  std::lock_guard lock(mutex_);
  ++call_count_;
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.answered - call.sent);
  file_ << json::serialize(json::object{
               {"time", now_text()},
               {"call", call.kind == call_kind::write ? "write" : "read"},
               {"machine", call.machine},
               {"took_ms", took.count()},
               {"status", call.status},
               {"version", call.version}})
        << std::endl;
  if (call.status == 200) {
    bool sent_since = recovers_since_ && call.sent >= *recovers_since_;
    if (call.kind == call_kind::write) {
      confirmed_.emplace(call.version, call.answered);
      if (sent_since) write_recovered_ = true;
    } else {
      check_age(call);
      if (sent_since && call.version >= expected_version_)
        read_recovered_ = true;
    }
  }
  check_recovery(call.answered);
  changed_.notify_all();
}

void history::check_age(const client_call& call) {
  for (auto it = confirmed_.upper_bound(call.version); it != confirmed_.end();
       ++it) {
    if (it->second + config_bound >= call.sent) continue;
    set_broken({"a confirmed configuration is never read in an older version",
                it->first, call.machine,
                absl::StrCat("read version ", call.version)});
    return;
  }
}

void history::check_recovery(steady_time now) {
  if (!recovers_since_ || (read_recovered_ && write_recovered_)) return;
  if (now <= *recovers_since_ + recovery_bound) return;
  set_broken({"the service recovers in time after losses", expected_version_, 0,
              absl::StrCat(read_recovered_ ? "" : "no read of the newest one. ",
                           write_recovered_ ? "" : "no write confirmed.")});
}

void history::add_fault(std::string_view text) {
  std::lock_guard lock(mutex_);
  faults_.push_back(now_text() + " " + std::string(text));
  file_ << json::serialize(json::object{{"time", now_text()}, {"fault", text}})
        << std::endl;
}

void history::suspend_recovery() {
  std::lock_guard lock(mutex_);
  recovers_since_.reset();
}

void history::expect_recovery() {
  std::lock_guard lock(mutex_);
  recovers_since_ = std::chrono::steady_clock::now();
  expected_version_ = confirmed_.empty() ? 0 : confirmed_.rbegin()->first;
  read_recovered_ = false;
  write_recovered_ = false;
}

auto history::await_recovery() -> bool {
  std::unique_lock lock(mutex_);
  if (!recovers_since_) return !broken_;
  changed_.wait_until(lock, *recovers_since_ + recovery_bound, [this] {
    return broken_ || (read_recovered_ && write_recovered_);
  });
  if (!read_recovered_ || !write_recovered_) check_recovery(steady_time::max());
  return !broken_;
}

auto history::await_time(steady_time until) -> bool {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, until, [this] { return broken_.has_value(); });
  return !broken_;
}

void history::report(broken_promise found) {
  std::lock_guard lock(mutex_);
  set_broken(std::move(found));
}

void history::set_broken(broken_promise found) {
  if (broken_) return;
  broken_ = std::move(found);
  file_ << json::serialize(json::object{{"time", now_text()},
                                        {"broken", broken_->promise},
                                        {"machine", broken_->machine},
                                        {"version", broken_->version},
                                        {"detail", broken_->detail}})
        << std::endl;
  changed_.notify_all();
}

auto history::broken() const -> std::optional<broken_promise> {
  std::lock_guard lock(mutex_);
  return broken_;
}

auto history::newest_confirmed() const -> std::uint64_t {
  std::lock_guard lock(mutex_);
  return confirmed_.empty() ? 0 : confirmed_.rbegin()->first;
}

auto history::call_count() const -> std::size_t {
  std::lock_guard lock(mutex_);
  return call_count_;
}

auto history::latest_faults(std::size_t count) const
    -> std::vector<std::string> {
  std::lock_guard lock(mutex_);
  auto first = faults_.size() - std::min(count, faults_.size());
  return {faults_.begin() + static_cast<std::ptrdiff_t>(first), faults_.end()};
}

}  // namespace parsleyledge::soak
