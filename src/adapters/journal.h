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

/// Why a data folder cannot be used, and what the operator can do.
struct journal_error {
  std::string file;
  std::string detail;
};

/// Whose folder it is.
struct folder_owner {
  std::string group;
  agreement::replica_id replica;
};

/// The log and snapshots of one replica on disk. Records carry a length and a
/// checksum. A torn tail is cut; a bad record elsewhere is an error.
class journal {
 public:
  /// `segment_bytes`: size after which a new segment is begun.
  explicit journal(file_store files, std::uint64_t segment_bytes = 64u << 20);

  /// Reads the folder, or makes a new one under a new incarnation. Fails with
  /// io_error or journal_error.
  auto open(const folder_owner& owner)
      -> boost::leaf::result<agreement::recovered_state>;

  /// The incarnation of the folder. Valid after open.
  auto incarnation() const -> agreement::incarnation_number {
    return incarnation_;
  }

  auto append(const agreement::hard_state& state) -> boost::leaf::result<void>;
  auto append(std::span<const agreement::log_entry> entries)
      -> boost::leaf::result<void>;

  /// Makes all appended records durable.
  auto sync() -> boost::leaf::result<void>;

  /// Writes a snapshot, then a new segment with the state and the entries
  /// that follow it, and removes what they replace.
  auto write_snapshot(agreement::log_position last,
                      std::span<const agreement::member> members,
                      std::string_view bytes,
                      const agreement::hard_state& state,
                      std::span<const agreement::log_entry> tail)
      -> boost::leaf::result<void>;

  /// Bytes in the current segment since the last snapshot.
  auto bytes_since_snapshot() const -> std::uint64_t { return written_; }

  /// Number of syncs done so far.
  auto syncs() const -> std::uint64_t { return syncs_; }

 private:
  auto put(const wire::journal_record& record) -> boost::leaf::result<void>;
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
  std::uint64_t segment_ = 1;
  std::uint64_t written_ = 0;
  std::uint64_t syncs_ = 0;
  std::string buffer_;  // records not yet handed to the file
  agreement::incarnation_number incarnation_;
};

}  // namespace parsleyledge
