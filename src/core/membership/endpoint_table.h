#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/membership/endpoint_record.h"

namespace parsleyledge {

/// The endpoints that an entry knows. Soft state: announced by the endpoints
/// themselves, spread between entries, dropped when a record lapses.
class endpoint_table {
 public:
  /// Takes an endpoint's own announcement and gives it the next sequence.
  /// Refuses, with false, one of an earlier incarnation.
  auto announce(endpoint_record record) -> bool;

  /// Takes a record from another entry. Returns whether it was newer.
  auto merge(const endpoint_record& record) -> bool;

  /// Drops the records whose time to live has passed. Returns their names.
  auto expire(time_point now) -> std::vector<std::string>;

  /// The record of this name, or null.
  auto find(std::string_view name) const -> const endpoint_record*;

  /// The records that were announced here since the given revision.
  auto announced_since(std::uint64_t revision) const
      -> std::vector<endpoint_record>;

  /// All records by name.
  auto records() const
      -> const std::map<std::string, endpoint_record, std::less<>>& {
    return records_;
  }

  /// Grows with each announcement that was made here.
  auto revision() const -> std::uint64_t { return revision_; }

  /// A digest of names, incarnations and states; two entries that know the
  /// same endpoints have the same one.
  auto summary() const -> std::uint64_t;

 private:
  std::map<std::string, endpoint_record, std::less<>> records_;
  std::map<std::string, std::uint64_t, std::less<>> announced_;  // revisions
  std::uint64_t revision_ = 0;
};

}  // namespace parsleyledge
