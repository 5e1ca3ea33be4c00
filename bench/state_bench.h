#pragma once

#include <cstddef>
#include <string_view>

namespace parsleyledge::bench {

/// Measures the journal in a folder: single syncs, batched appends, recovery of
/// up to `records` records, and snapshots. Prints a table.
void run_state_bench(std::string_view folder, std::size_t records);

}  // namespace parsleyledge::bench
