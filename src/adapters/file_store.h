#pragma once

#include <variant>

#include "adapters/disk_files.h"
#include "adapters/memory_files.h"

namespace parsleyledge {

/// Where a journal keeps its files.
using file_store = std::variant<disk_files, memory_files>;

}  // namespace parsleyledge
