#pragma once

#include <cstddef>
#include <string_view>

namespace parsleyledge::bench {

/// Measures the journal in a folder: one sync, batched appends, snapshots and
/// recovery of up to `records` records. Prints a table.
void run_state_bench(std::string_view folder, std::size_t records);

}  // namespace parsleyledge::bench
