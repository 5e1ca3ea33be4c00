#include "adapters/journal.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cstdio>
#include <cstring>
#include <random>

#include "adapters/codec.h"
#include "wire.pb.h"

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;
namespace ag = agreement;

constexpr std::uint32_t record_magic = 0x314a4c50;  // "PLJ1"
constexpr std::uint32_t format_version = 1;
constexpr std::uint32_t max_record_bytes = 1u << 30;
constexpr std::size_t header_bytes = 20;  // magic, length, two checksums
constexpr std::string_view owner_file = "folder";
constexpr std::string_view log_prefix = "log-";
constexpr std::string_view snapshot_prefix = "snapshot-";

auto failure(std::string_view file, std::string detail) -> leaf::error_id {
  return leaf::new_error(journal_error{std::string(file), std::move(detail)});
}

/// The fixed part of a record. The header has a checksum of its own, so that
/// a damaged length is not mistaken for a torn tail.
struct record_header {
  std::uint32_t magic = record_magic;
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;  // of the payload

  auto header_checksum() const -> std::uint32_t {
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
        &checksum, sizeof checksum, (std::uint64_t{magic} << 32) | length));
  }
};

auto frame_record(const wire::journal_record& record) -> std::string {
  auto payload = record.SerializeAsString();
  record_header header;
  header.length = static_cast<std::uint32_t>(payload.size());
  header.checksum = XXH3_64bits(payload.data(), payload.size());
  auto header_checksum = header.header_checksum();
  std::string bytes(header_bytes, '\0');
  std::memcpy(bytes.data(), &header.magic, sizeof header.magic);
  std::memcpy(bytes.data() + 4, &header.length, sizeof header.length);
  std::memcpy(bytes.data() + 8, &header.checksum, sizeof header.checksum);
  std::memcpy(bytes.data() + 16, &header_checksum, sizeof header_checksum);
  return bytes += payload;
}

enum class frame_state { valid, torn, damaged };

struct frame_view {
  frame_state state = frame_state::torn;
  std::string_view payload;
  std::size_t size = 0;  // header and payload, in bytes
};

auto read_frame(std::string_view bytes) -> frame_view {
  if (bytes.size() < header_bytes) return {};
  record_header header;
  std::uint32_t header_checksum = 0;
  std::memcpy(&header.magic, bytes.data(), sizeof header.magic);
  std::memcpy(&header.length, bytes.data() + 4, sizeof header.length);
  std::memcpy(&header.checksum, bytes.data() + 8, sizeof header.checksum);
  std::memcpy(&header_checksum, bytes.data() + 16, sizeof header_checksum);
  if (header.magic != record_magic || header.length > max_record_bytes ||
      header_checksum != header.header_checksum()) {
    return {frame_state::damaged, {}, 0};
  }
  if (bytes.size() < header_bytes + header.length) return {};
  auto payload = bytes.substr(header_bytes, header.length);
  if (XXH3_64bits(payload.data(), payload.size()) != header.checksum) {
    return {frame_state::damaged, {}, 0};
  }
  return {frame_state::valid, payload, header_bytes + header.length};
}

/// Whether a complete record starts at any offset of the bytes.
auto contains_record(std::string_view bytes) -> bool {
  std::string_view magic(reinterpret_cast<const char*>(&record_magic),
                         sizeof record_magic);
  for (auto at = bytes.find(magic); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (read_frame(bytes.substr(at)).state == frame_state::valid) return true;
  }
  return false;
}

auto numbered_name(std::string_view prefix, std::uint64_t number)
    -> std::string {
  char digits[24];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(number));
  return std::string(prefix) + digits;
}

auto number_in_name(std::string_view name, std::string_view prefix)
    -> std::uint64_t {
  return std::strtoull(std::string(name.substr(prefix.size())).c_str(), nullptr,
                       16);
}

}  // namespace

journal::journal(file_store files, std::uint64_t segment_bytes)
    : files_(std::move(files)), segment_bytes_(segment_bytes) {}

auto journal::segment_name() const -> std::string {
  return numbered_name(log_prefix, segment_);
}

auto journal::open(const folder_owner& owner)
    -> leaf::result<ag::recovered_state> {
  BOOST_LEAF_CHECK(std::visit([](auto& f) { return f.open(); }, files_));
  BOOST_LEAF_CHECK(open_folder(owner));
  BOOST_LEAF_AUTO(names, std::visit([](auto& f) { return f.list(); }, files_));
  std::vector<std::string> segments;
  std::string snapshot;
  for (const auto& name : names) {
    if (name.starts_with(log_prefix)) segments.push_back(name);
    if (name.starts_with(snapshot_prefix)) snapshot = name;
  }
  ag::recovered_state state;
  if (!snapshot.empty()) BOOST_LEAF_CHECK(read_snapshot(snapshot, state));
  for (std::size_t i = 0; i < segments.size(); ++i) {
    bool is_last = i + 1 == segments.size();
    BOOST_LEAF_CHECK(read_segment(segments[i], is_last, state));
    segment_ = number_in_name(segments[i], log_prefix);
  }
  return state;
}

auto journal::open_folder(const folder_owner& owner) -> leaf::result<void> {
  BOOST_LEAF_AUTO(names, std::visit([](auto& f) { return f.list(); }, files_));
  bool initialized = std::ranges::find(names, owner_file) != names.end();
  wire::journal_record record;
  if (!initialized) {
    if (!names.empty()) {
      return failure(owner_file,
                     "is missing, but the folder is not empty; use another "
                     "folder or restore the file");
    }
    std::random_device random;
    incarnation_ = {(std::uint64_t{random()} << 32) | random()};
    auto& header = *record.mutable_folder();
    header.set_format(format_version);
    header.set_group(owner.group);
    header.set_replica(owner.replica.value);
    header.set_life(incarnation_.value);
    return std::visit(
        [&](auto& f) { return f.replace(owner_file, frame_record(record)); },
        files_);
  }
  BOOST_LEAF_AUTO(
      bytes, std::visit([](auto& f) { return f.read(owner_file); }, files_));
  auto view = read_frame(bytes);
  if (view.state != frame_state::valid ||
      !record.ParseFromArray(view.payload.data(),
                             static_cast<int>(view.payload.size())) ||
      !record.has_folder()) {
    return failure(owner_file,
                   "is damaged; empty the folder to rejoin the group");
  }
  const auto& header = record.folder();
  if (header.format() > format_version) {
    return failure(owner_file, "has format " + std::to_string(header.format()) +
                                   "; this program supports formats up to " +
                                   std::to_string(format_version));
  }
  if (header.group() != owner.group) {
    return failure(owner_file, "belongs to group " + header.group() + ", not " +
                                   owner.group);
  }
  if (header.replica() != owner.replica.value) {
    return failure(owner_file, "belongs to replica " +
                                   std::to_string(header.replica()) + ", not " +
                                   std::to_string(owner.replica.value));
  }
  incarnation_ = {header.life()};
  return {};
}

auto journal::read_snapshot(std::string_view name, ag::recovered_state& state)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(bytes,
                  std::visit([&](auto& f) { return f.read(name); }, files_));
  auto view = read_frame(bytes);
  wire::journal_record record;
  if (view.state != frame_state::valid ||
      !record.ParseFromArray(view.payload.data(),
                             static_cast<int>(view.payload.size())) ||
      !record.has_snapshot()) {
    return failure(name, "is damaged; empty the folder to rejoin the group");
  }
  auto& header = *record.mutable_snapshot();
  state.snapshot_last = {{header.term()}, {header.index()}};
  for (const auto& m : header.members()) state.members.push_back(read(m));
  state.snapshot =
      std::make_shared<const std::string>(std::move(*header.mutable_bytes()));
  return {};
}

auto journal::read_segment(std::string_view name, bool is_last,
                           ag::recovered_state& state) -> leaf::result<void> {
  BOOST_LEAF_AUTO(bytes,
                  std::visit([&](auto& f) { return f.read(name); }, files_));
  std::string_view rest = bytes;
  while (!rest.empty()) {
    auto view = read_frame(rest);
    if (view.state != frame_state::valid) {
      auto at = bytes.size() - rest.size();
      bool zeros = rest.find_first_not_of('\0') == std::string_view::npos;
      bool torn = view.state == frame_state::torn || zeros;
      // An interrupted write can only leave an incomplete record at the end of
      // the last segment. Anything else is damage to synced data.
      if (!is_last || !torn || contains_record(rest.substr(1))) {
        return failure(name, "has a damaged record at byte " +
                                 std::to_string(at) +
                                 "; empty the folder to rejoin the group");
      }
      return std::visit([&](auto& f) { return f.truncate(name, at); }, files_);
    }
    wire::journal_record record;
    if (!record.ParseFromArray(view.payload.data(),
                               static_cast<int>(view.payload.size()))) {
      return failure(name, "has a record that cannot be parsed");
    }
    BOOST_LEAF_CHECK(apply(name, record, state));
    rest.remove_prefix(view.size);
    written_bytes_ += view.size;
  }
  return {};
}

auto journal::apply(std::string_view name, const wire::journal_record& record,
                    ag::recovered_state& state) -> leaf::result<void> {
  if (record.has_state()) {
    state.hard = {{record.state().term()}, {record.state().voted_for()}};
    return {};
  }
  if (!record.has_entry()) return failure(name, "has an unknown record type");
  auto entry = read(record.entry());
  auto index = entry.position.index;
  if (index <= state.snapshot_last.index) return {};
  // Terms never decrease in a log, so this entry is of a tail that the snapshot
  // replaced, in a segment whose removal was interrupted or lost.
  if (entry.position.term < state.snapshot_last.term) return {};
  auto& entries = state.entries;
  auto next = state.snapshot_last.index.value + entries.size() + 1;
  if (index.value > next) {
    return failure(
        name, "has a gap in the log; next index is " + std::to_string(next));
  }
  // An entry replaces all earlier entries at or after its index: a follower
  // writes such entries when it discards a conflicting tail of its log.
  entries.resize(index.value - state.snapshot_last.index.value - 1);
  entries.push_back(std::move(entry));
  return {};
}

auto journal::buffer_record(const wire::journal_record& record)
    -> leaf::result<void> {
  unwritten_ += frame_record(record);
  return {};
}

auto journal::append(const ag::hard_state& state) -> leaf::result<void> {
  wire::journal_record record;
  record.mutable_state()->set_term(state.term.value);
  record.mutable_state()->set_voted_for(state.voted_for.value);
  return buffer_record(record);
}

auto journal::append(std::span<const ag::log_entry> entries)
    -> leaf::result<void> {
  for (const auto& entry : entries) {
    wire::journal_record record;
    write(entry, *record.mutable_entry());
    BOOST_LEAF_CHECK(buffer_record(record));
  }
  return {};
}

auto journal::sync() -> leaf::result<void> {
  if (unwritten_.empty()) return {};
  auto name = segment_name();
  BOOST_LEAF_CHECK(
      std::visit([&](auto& f) { return f.append(name, unwritten_); }, files_));
  written_bytes_ += unwritten_.size();
  unwritten_.clear();
  BOOST_LEAF_CHECK(std::visit([&](auto& f) { return f.sync(name); }, files_));
  ++syncs_;
  if (written_bytes_ > segment_bytes_) {
    ++segment_;
    written_bytes_ = 0;
  }
  return {};
}

auto journal::write_snapshot(ag::log_position last,
                             std::span<const ag::member> members,
                             std::string_view bytes,
                             const ag::hard_state& state,
                             std::span<const ag::log_entry> tail)
    -> leaf::result<void> {
  wire::journal_record record;
  auto& header = *record.mutable_snapshot();
  header.set_term(last.term.value);
  header.set_index(last.index.value);
  for (const auto& m : members) write(m, *header.add_members());
  header.set_bytes(bytes.data(), bytes.size());
  auto name = numbered_name(snapshot_prefix, last.index.value);
  BOOST_LEAF_CHECK(std::visit(
      [&](auto& f) { return f.replace(name, frame_record(record)); }, files_));
  unwritten_.clear();
  BOOST_LEAF_CHECK(append(state));
  BOOST_LEAF_CHECK(append(tail));
  ++segment_;
  auto segment = segment_name();
  BOOST_LEAF_CHECK(std::visit(
      [&](auto& f) { return f.replace(segment, unwritten_); }, files_));
  written_bytes_ = unwritten_.size();
  unwritten_.clear();
  BOOST_LEAF_AUTO(names, std::visit([](auto& f) { return f.list(); }, files_));
  for (const auto& old : names) {
    bool replaced = (old.starts_with(log_prefix) && old < segment) ||
                    (old.starts_with(snapshot_prefix) && old < name);
    if (!replaced) continue;
    BOOST_LEAF_CHECK(
        std::visit([&](auto& f) { return f.remove(old); }, files_));
  }
  return {};
}

}  // namespace parsleyledge
