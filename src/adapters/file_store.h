#pragma once

#include <variant>

#include "adapters/disk_files.h"
#include "adapters/memory_files.h"

namespace parsleyledge {

/// The storage of a journal: a folder on disk, or memory in tests and in
/// processes without a data folder.
using file_store = std::variant<disk_files, memory_files>;

}  // namespace parsleyledge
