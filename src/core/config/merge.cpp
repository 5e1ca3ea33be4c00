#include <algorithm>
#include <cctype>

#include "core/config/site_config.h"

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;

auto leading_number(std::string_view name) -> std::string_view {
  auto end = std::ranges::find_if_not(
      name, [](unsigned char c) { return std::isdigit(c) != 0; });
  return name.substr(0, static_cast<std::size_t>(end - name.begin()));
}

auto join_key(std::string_view prefix, std::string_view key) -> std::string {
  std::string path(prefix);
  if (!path.empty()) path += '.';
  return path += key;
}

auto merge_table(config_table& into, const config_table& from,
                 std::string_view path) -> leaf::result<void> {
  for (const auto& [key, value] : from) {
    auto [it, inserted] = into.try_emplace(key, value);
    if (inserted) continue;
    auto& old = it->second;
    auto* old_table = std::get_if<config_table>(&old.data);
    const auto* new_table = std::get_if<config_table>(&value.data);
    auto full_key = join_key(path, key);
    if (old_table != nullptr && new_table != nullptr) {
      BOOST_LEAF_CHECK(merge_table(*old_table, *new_table, full_key));
      continue;
    }
    auto number = leading_number(value.where.file);
    if (!number.empty() && number == leading_number(old.where.file)) {
      return leaf::new_error(
          config_error{value.where, full_key,
                       "is also set by " + old.where.file + ":" +
                           std::to_string(old.where.line) +
                           ", which has the same leading number"});
    }
    old = value;
  }
  return {};
}

}  // namespace

auto config_error::text() const -> std::string {
  std::string line = where.file;
  if (where.line > 0) line += ":" + std::to_string(where.line);
  if (!line.empty()) line += ": ";
  if (!key.empty()) line += key + ": ";
  return line + detail;
}

auto merge(std::span<const config_document> documents)
    -> leaf::result<config_table> {
  std::vector<const config_document*> ordered;
  ordered.reserve(documents.size());
  for (const auto& document : documents) ordered.push_back(&document);
  std::ranges::sort(ordered, {}, &config_document::name);
  config_table merged;
  for (const auto* document : ordered) {
    BOOST_LEAF_CHECK(merge_table(merged, document->root, ""));
  }
  return merged;
}

}  // namespace parsleyledge
