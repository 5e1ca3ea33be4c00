#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// The files of a data folder in memory, which can fail like a disk. Copies
/// share the same files, so that a test can look at them from outside.
class memory_files {
 public:
  /// How the files misbehave.
  struct faults {
    int failing_syncs = 0;            // syncs that return an error
    bool full = false;                // writes return an error
    std::uint64_t cut_after = ~0ULL;  // bytes written before a cut
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

  /// Loses all that was not synced, but for `torn` bytes of each file.
  void lose_power(std::uint64_t torn);

  /// The faults, to be set by a test.
  auto misbehave() -> faults&;

  /// The bytes of a file, to be damaged by a test.
  auto bytes(std::string_view name) -> std::string&;

 private:
  struct file {
    std::string bytes;
    std::uint64_t synced = 0;
  };
  struct shared {
    std::map<std::string, file, std::less<>> files;
    faults wrong;
  };

  std::shared_ptr<shared> shared_;
};

}  // namespace parsleyledge
