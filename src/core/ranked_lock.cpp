#include "core/ranked_lock.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace parsleyledge::detail {

namespace {

auto held_ranks() -> std::vector<lock_rank>& {
  thread_local std::vector<lock_rank> ranks;
  return ranks;
}

}  // namespace

void push_rank(lock_rank rank) {
  auto& ranks = held_ranks();
  if (!ranks.empty() && ranks.back() >= rank) {
    std::fprintf(
        stderr, "lock order violation: locking rank %d while holding rank %d\n",
        static_cast<int>(rank), static_cast<int>(ranks.back()));
    std::abort();
  }
  ranks.push_back(rank);
}

void pop_rank(lock_rank rank) {
  auto& ranks = held_ranks();
  if (!ranks.empty() && ranks.back() == rank) ranks.pop_back();
}

}  // namespace parsleyledge::detail
