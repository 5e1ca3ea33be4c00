#pragma once

#include <compare>
#include <cstdint>

namespace parsleyledge {

/// An integer of a distinct type for each `Tag`, so that two kinds of numbers
/// cannot be confused.
template <typename Tag, typename Rep = std::uint64_t>
struct strong {
  Rep value = {};

  constexpr auto operator<=>(const strong&) const = default;

  /// The following value.
  constexpr auto next() const -> strong { return {value + 1}; }
};

}  // namespace parsleyledge
