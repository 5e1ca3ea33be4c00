#pragma once

#include <algorithm>
#include <concepts>
#include <functional>
#include <span>
#include <vector>

#include "core/agreement/types.h"

namespace parsleyledge::agreement {

/// Whether a member is a voter until the current exchange is complete.
inline auto votes_before_exchange(const member& m) -> bool {
  return m.voter;
}

/// Whether a member is a voter once the current exchange is complete.
inline auto votes_after_exchange(const member& m) -> bool {
  return m.exchange == exchange_part::incoming ||
         (m.voter && m.exchange != exchange_part::outgoing);
}

/// Whether a member has a vote, be it only before or after the current
/// exchange.
inline auto has_vote(const member& m) -> bool {
  return votes_before_exchange(m) || votes_after_exchange(m);
}

/// Whether one voter is being exchanged for another.
inline auto in_exchange(std::span<const member> members) -> bool {
  return std::ranges::any_of(members, [](const member& m) {
    return m.exchange != exchange_part::none;
  });
}

namespace detail {

template <typename Votes, typename Value>
auto majority_value(std::span<const member> members, Votes votes, Value value) {
  std::vector<std::invoke_result_t<Value, const member&>> values;
  for (const auto& m : members) {
    if (votes(m)) values.push_back(value(m));
  }
  if (values.empty()) return std::invoke_result_t<Value, const member&>{};
  std::ranges::sort(values, std::greater<>());
  return values[values.size() / 2];
}

}  // namespace detail

/// The largest value that a quorum of the members has reached: a majority of
/// the voters, in an exchange of those before and of those after it. `value` is
/// called with each voter. Without voters the result is a default value.
template <std::invocable<const member&> Value>
auto quorum_value(std::span<const member> members, Value value) {
  return std::min(detail::majority_value(members, votes_before_exchange, value),
                  detail::majority_value(members, votes_after_exchange, value));
}

/// Whether the members that satisfy `condition` contain a quorum.
template <std::predicate<const member&> Condition>
auto is_quorum(std::span<const member> members, Condition condition) -> bool {
  return quorum_value(members,
                      [&](const member& m) -> int { return condition(m); }) > 0;
}

}  // namespace parsleyledge::agreement
