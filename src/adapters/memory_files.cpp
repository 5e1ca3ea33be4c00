#include "adapters/memory_files.h"

#include <algorithm>
#include <boost/leaf/error.hpp>

#include "adapters/io_error.h"

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;

auto failure(std::string_view name, std::string_view operation,
             std::string_view detail) -> leaf::error_id {
  return leaf::new_error(
      io_error{std::string(name), std::string(operation), std::string(detail)});
}

}  // namespace

memory_files::memory_files() : shared_(std::make_shared<shared_files>()) {}

auto memory_files::list() -> leaf::result<std::vector<std::string>> {
  std::vector<std::string> names;
  for (const auto& [name, file] : shared_->files) names.push_back(name);
  return names;
}

auto memory_files::read(std::string_view name) -> leaf::result<std::string> {
  auto it = shared_->files.find(name);
  if (it == shared_->files.end()) return failure(name, "open", "no such file");
  return it->second.bytes;
}

auto memory_files::append(std::string_view name, std::string_view bytes)
    -> leaf::result<void> {
  auto& injected = shared_->injected;
  if (injected.full) return failure(name, "write", "no space left on device");
  auto kept = std::min<std::uint64_t>(bytes.size(), injected.bytes_until_error);
  shared_->files[std::string(name)].bytes += bytes.substr(0, kept);
  injected.bytes_until_error -= injected.bytes_until_error == ~0ULL ? 0 : kept;
  if (kept < bytes.size()) return failure(name, "write", "input/output error");
  return {};
}

auto memory_files::sync(std::string_view name) -> leaf::result<void> {
  if (shared_->injected.failing_syncs > 0) {
    --shared_->injected.failing_syncs;
    return failure(name, "sync", "input/output error");
  }
  auto& file = shared_->files[std::string(name)];
  file.synced = file.bytes.size();
  return {};
}

auto memory_files::replace(std::string_view name, std::string_view bytes)
    -> leaf::result<void> {
  if (shared_->injected.full) {
    return failure(name, "write", "no space left on device");
  }
  shared_->files[std::string(name)] = {std::string(bytes), bytes.size()};
  return {};
}

auto memory_files::remove(std::string_view name) -> leaf::result<void> {
  auto it = shared_->files.find(name);
  if (it != shared_->files.end()) shared_->files.erase(it);
  return {};
}

auto memory_files::truncate(std::string_view name, std::uint64_t size)
    -> leaf::result<void> {
  auto& file = shared_->files[std::string(name)];
  file.bytes.resize(size);
  file.synced = size;
  return {};
}

void memory_files::simulate_power_loss(std::uint64_t torn_bytes) {
  for (auto& [name, file] : shared_->files) {
    auto remaining =
        std::min<std::uint64_t>(file.synced + torn_bytes, file.bytes.size());
    file.bytes.resize(remaining);
    file.synced = remaining;
  }
}

auto memory_files::fault_injection() -> injected_faults& {
  return shared_->injected;
}

auto memory_files::bytes(std::string_view name) -> std::string& {
  return shared_->files[std::string(name)].bytes;
}

}  // namespace parsleyledge
