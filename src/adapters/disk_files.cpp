#include "adapters/disk_files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <utility>

#include "adapters/io_error.h"

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;

constexpr mode_t folder_mode = 0750;
constexpr mode_t file_mode = 0640;
constexpr std::string_view lock_file = ".lock";
constexpr std::string_view temporary_suffix = ".tmp";

auto failure(std::string_view file, std::string_view operation)
    -> leaf::error_id {
  return leaf::new_error(io_error{std::string(file), std::string(operation),
                                  std::strerror(errno)});
}

auto write_all(int fd, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    auto n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0) {
      if (errno == EINTR) continue;
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

disk_files::disk_files(disk_files&& other) noexcept
    : folder_(std::move(other.folder_)),
      lock_fd_(std::exchange(other.lock_fd_, -1)),
      append_fds_(std::exchange(other.append_fds_, {})) {}

disk_files::~disk_files() {
  for (auto& [name, fd] : append_fds_) ::close(fd);
  if (lock_fd_ >= 0) ::close(lock_fd_);
}

auto disk_files::path(std::string_view name) const -> std::string {
  return folder_ + "/" + std::string(name);
}

auto disk_files::open() -> leaf::result<void> {
  std::error_code ec;
  std::filesystem::create_directories(folder_, ec);
  if (ec) {
    return leaf::new_error(io_error{folder_, "create folder", ec.message()});
  }
  ::chmod(folder_.c_str(), folder_mode);
  lock_fd_ =
      ::open(path(lock_file).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
  if (lock_fd_ < 0) return failure(folder_, "open folder");
  if (::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    return leaf::new_error(io_error{folder_, "lock folder",
                                    "the folder is locked by another process"});
  }
  return {};
}

auto disk_files::list() -> leaf::result<std::vector<std::string>> {
  std::vector<std::string> names;
  std::error_code ec;
  for (const auto& item : std::filesystem::directory_iterator(folder_, ec)) {
    auto name = item.path().filename().string();
    if (name != lock_file && !name.ends_with(temporary_suffix)) {
      names.push_back(std::move(name));
    }
  }
  if (ec) return leaf::new_error(io_error{folder_, "list", ec.message()});
  std::ranges::sort(names);
  return names;
}

auto disk_files::read(std::string_view name) -> leaf::result<std::string> {
  std::ifstream in(path(name), std::ios::binary);
  if (!in) return failure(path(name), "open");
  std::string bytes((std::istreambuf_iterator<char>(in)),
                    std::istreambuf_iterator<char>());
  if (in.bad()) return failure(path(name), "read");
  return bytes;
}

auto disk_files::open_append(std::string_view name) -> leaf::result<int> {
  auto it = append_fds_.find(name);
  if (it != append_fds_.end()) return it->second;
  int fd = ::open(path(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                  file_mode);
  if (fd < 0) return failure(path(name), "open");
  append_fds_.emplace(name, fd);
  BOOST_LEAF_CHECK(sync_folder());
  return fd;
}

auto disk_files::append(std::string_view name, std::string_view bytes)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(fd, open_append(name));
  if (!write_all(fd, bytes)) return failure(path(name), "write");
  return {};
}

auto disk_files::sync(std::string_view name) -> leaf::result<void> {
  BOOST_LEAF_AUTO(fd, open_append(name));
  if (::fdatasync(fd) != 0) return failure(path(name), "sync");
  return {};
}

auto disk_files::sync_folder() -> leaf::result<void> {
  int fd = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return failure(folder_, "open");
  int status = ::fsync(fd);
  ::close(fd);
  if (status != 0) return failure(folder_, "sync");
  return {};
}

auto disk_files::replace(std::string_view name, std::string_view bytes)
    -> leaf::result<void> {
  auto temporary = path(name) + std::string(temporary_suffix);
  int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                  file_mode);
  if (fd < 0) return failure(temporary, "open");
  bool written = write_all(fd, bytes) && ::fsync(fd) == 0;
  int error = errno;
  ::close(fd);
  errno = error;
  if (!written) return failure(temporary, "write");
  if (::rename(temporary.c_str(), path(name).c_str()) != 0) {
    return failure(path(name), "rename");
  }
  return sync_folder();
}

auto disk_files::remove(std::string_view name) -> leaf::result<void> {
  auto it = append_fds_.find(name);
  if (it != append_fds_.end()) {
    ::close(it->second);
    append_fds_.erase(it);
  }
  if (::unlink(path(name).c_str()) != 0) return failure(path(name), "remove");
  return {};
}

auto disk_files::truncate(std::string_view name, std::uint64_t size)
    -> leaf::result<void> {
  if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0) {
    return failure(path(name), "truncate");
  }
  return sync(name);
}

}  // namespace parsleyledge
