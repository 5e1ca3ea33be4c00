#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// The files of one data folder on disk. Every failure is an io_error.
class disk_files {
 public:
  explicit disk_files(std::string_view folder) : folder_(folder) {}
  disk_files(const disk_files&) = delete;
  disk_files(disk_files&& other) noexcept;
  auto operator=(const disk_files&) -> disk_files& = delete;
  auto operator=(disk_files&&) -> disk_files& = delete;
  ~disk_files();

  /// Creates the folder if it is missing and locks it. Fails if another process
  /// holds the lock.
  auto open() -> boost::leaf::result<void>;

  /// The names of all files in lexicographic byte order, without the lock file
  /// and temporary files.
  auto list() -> boost::leaf::result<std::vector<std::string>>;
  auto read(std::string_view name) -> boost::leaf::result<std::string>;
  /// Appends bytes; creates the file if it is missing.
  auto append(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;

  /// Makes all bytes appended to a file durable.
  auto sync(std::string_view name) -> boost::leaf::result<void>;

  /// Replaces the content of a file atomically and durably: writes a temporary
  /// file, syncs and renames it, then syncs the folder.
  auto replace(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;
  auto remove(std::string_view name) -> boost::leaf::result<void>;
  /// Shortens a file to `size` bytes, durably.
  auto truncate(std::string_view name, std::uint64_t size)
      -> boost::leaf::result<void>;

 private:
  auto path(std::string_view name) const -> std::string;
  /// Returns the descriptor for appending to a file, opened on first use.
  auto open_append(std::string_view name) -> boost::leaf::result<int>;
  /// Makes the creation and renaming of files durable.
  auto sync_folder() -> boost::leaf::result<void>;

  std::string folder_;
  int lock_fd_ = -1;
  std::map<std::string, int, std::less<>> append_fds_;  // by file name
};

}  // namespace parsleyledge
