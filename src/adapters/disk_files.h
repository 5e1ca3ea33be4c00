#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyledge {

/// The files of one data folder on a disk. Every failure is an io_error.
class disk_files {
 public:
  explicit disk_files(std::string_view folder) : folder_(folder) {}
  disk_files(const disk_files&) = delete;
  disk_files(disk_files&& other) noexcept;
  auto operator=(const disk_files&) -> disk_files& = delete;
  auto operator=(disk_files&&) -> disk_files& = delete;
  ~disk_files();

  /// Creates the folder if it is missing and locks it for this process.
  auto open() -> boost::leaf::result<void>;

  /// The names of all files, in byte order.
  auto list() -> boost::leaf::result<std::vector<std::string>>;
  auto read(std::string_view name) -> boost::leaf::result<std::string>;
  auto append(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;

  /// Makes all that was appended to a file durable.
  auto sync(std::string_view name) -> boost::leaf::result<void>;

  /// Writes a whole file: write, fsync, rename, fsync of the folder.
  auto replace(std::string_view name, std::string_view bytes)
      -> boost::leaf::result<void>;
  auto remove(std::string_view name) -> boost::leaf::result<void>;
  auto truncate(std::string_view name, std::uint64_t size)
      -> boost::leaf::result<void>;

 private:
  auto path(std::string_view name) const -> std::string;
  auto open_append(std::string_view name) -> boost::leaf::result<int>;
  auto sync_folder() -> boost::leaf::result<void>;

  std::string folder_;
  int lock_ = -1;
  std::map<std::string, int, std::less<>> open_;
};

}  // namespace parsleyledge
