#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// In-memory replacement for disk_files that can inject disk failures. Copies
/// share the same files, so that a test keeps access to the files of a journal.
/// Every failure is an io_error.
class memory_files {
 public:
  /// The failures that the next operations report.
  struct injected_faults {
    int failing_syncs = 0;  // number of syncs that fail
    bool full = false;      // writes fail with "no space left"
    std::uint64_t bytes_until_error = ~0ULL;  // written before appends fail
  };

  memory_files();

  auto open() -> boost::leaf::result<void> { return {}; }
  auto list() -> boost::leaf::result<std::vector<std::string>>;
  auto read(std::string_view name) -> boost::leaf::result<std::string>;
  auto append(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;
  auto sync(std::string_view name) -> boost::leaf::result<void>;
  auto replace(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;
  auto remove(std::string_view name) -> boost::leaf::result<void>;
  auto truncate(std::string_view name, std::uint64_t size)
      -> boost::leaf::result<void>;

  /// Discards the unsynced bytes of every file, except for the first
  /// `torn_bytes` of them, as after a power failure.
  void simulate_power_loss(std::uint64_t torn_bytes);

  /// The failures to inject; a test may change them at any time.
  auto fault_injection() -> injected_faults&;

  /// The content of a file, which a test may corrupt. Creates an empty file
  /// if there is none.
  auto bytes(std::string_view name) -> std::string&;

 private:
  struct file {
    std::string bytes;
    std::uint64_t synced = 0;
  };
  struct shared_files {
    std::map<std::string, file, std::less<>> files;
    injected_faults injected;
  };

  std::shared_ptr<shared_files> shared_;
};

}  // namespace parsleyledge
