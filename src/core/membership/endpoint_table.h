#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/membership/endpoint_record.h"

namespace parsleyledge {

/// The endpoints known to an entry. Soft state: endpoints announce themselves,
/// entries exchange the records by gossip, and a record is erased when its time
/// to live has passed.
class endpoint_table {
 public:
  /// Stores an announcement made by the endpoint itself, with the next sequence
  /// number. Returns false, without a change, if a later incarnation is known.
  auto announce(endpoint_record record) -> bool;

  /// Merges a record received from another entry. Returns whether it replaced
  /// the known one.
  auto merge(const endpoint_record& record) -> bool;

  /// Erases the records whose time to live has passed. Returns their names.
  auto expire(time_point now) -> std::vector<std::string>;

  /// The record of the endpoint with this name, or nullptr.
  auto find(std::string_view name) const -> const endpoint_record*;

  /// The records announced to this table after the given revision.
  auto announced_since(std::uint64_t revision) const
      -> std::vector<endpoint_record>;

  /// All records, by name of the endpoint.
  auto records() const
      -> const std::map<std::string, endpoint_record, std::less<>>& {
    return records_;
  }

  /// The number of announcements made to this table.
  auto revision() const -> std::uint64_t { return revision_; }

  /// A digest of names, incarnations and states. It is the same for two entries
  /// that know the same endpoints.
  auto digest() const -> std::uint64_t;

 private:
  std::map<std::string, endpoint_record, std::less<>> records_;
  std::map<std::string, std::uint64_t, std::less<>> announced_revisions_;
  std::uint64_t revision_ = 0;
};

}  // namespace parsleyledge
