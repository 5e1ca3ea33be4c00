#pragma once

#include <boost/leaf/result.hpp>
#include <span>
#include <string>
#include <string_view>

#include "adapters/file_store.h"
#include "core/agreement/replica.h"

namespace parsleyledge::wire {
class journal_record;
}

namespace parsleyledge {

/// Why a data folder cannot be used.
struct journal_error {
  std::string file;
  std::string detail;  // the cause and what the operator can do
};

/// The replica that a data folder belongs to.
struct folder_owner {
  std::string group;
  agreement::replica_id replica;
};

/// The log and the snapshots of one replica on disk. Each record carries its
/// length and checksums. A torn record at the end of the last segment is
/// truncated on open; damage anywhere else is an error.
class journal {
 public:
  /// `segment_bytes`: the size after which a new segment starts.
  explicit journal(file_store files, std::uint64_t segment_bytes = 64u << 20);

  /// Recovers the state from the folder, or initializes an empty folder with a
  /// new random incarnation. Fails with io_error or journal_error.
  auto open(const folder_owner& owner)
      -> boost::leaf::result<agreement::recovered_state>;

  /// The incarnation of the data folder. Valid after open.
  auto incarnation() const -> agreement::incarnation_number {
    return incarnation_;
  }

  /// Buffers a record until the next sync.
  auto append(const agreement::hard_state& state) -> boost::leaf::result<void>;
  auto append(std::span<const agreement::log_entry> entries)
      -> boost::leaf::result<void>;

  /// Writes all buffered records and makes them durable.
  auto sync() -> boost::leaf::result<void>;

  /// Writes a snapshot, then a new segment with the state and the entries
  /// after the snapshot, and removes the older snapshots and segments.
  auto write_snapshot(agreement::log_position last,
                      std::span<const agreement::member> members,
                      std::string_view bytes,
                      const agreement::hard_state& state,
                      std::span<const agreement::log_entry> tail)
      -> boost::leaf::result<void>;

  /// Bytes written since the last snapshot or the start of the current segment,
  /// whichever is later. Includes the bytes of all segments read by open.
  auto bytes_since_snapshot() const -> std::uint64_t { return written_bytes_; }

  /// Number of syncs done so far.
  auto syncs() const -> std::uint64_t { return syncs_; }

 private:
  auto buffer_record(const wire::journal_record& record)
      -> boost::leaf::result<void>;
  auto open_folder(const folder_owner& owner) -> boost::leaf::result<void>;
  auto read_segment(std::string_view name, bool is_last,
                    agreement::recovered_state& state)
      -> boost::leaf::result<void>;
  auto read_snapshot(std::string_view name, agreement::recovered_state& state)
      -> boost::leaf::result<void>;
  auto apply(std::string_view name, const wire::journal_record& record,
             agreement::recovered_state& state) -> boost::leaf::result<void>;
  auto segment_name() const -> std::string;

  file_store files_;
  std::uint64_t segment_bytes_;
  std::uint64_t segment_ = 1;  // number of the current segment
  std::uint64_t written_bytes_ = 0;
  std::uint64_t syncs_ = 0;
  std::string unwritten_;  // records not yet written to the segment
  agreement::incarnation_number incarnation_;
};

}  // namespace parsleyledge
