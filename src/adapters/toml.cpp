#include "adapters/toml.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace parsleyledge {

namespace {

namespace leaf = boost::leaf;

auto convert(const toml::node& node, std::string_view file) -> config_value {
  config_value value;
  value.where = {std::string(file), static_cast<int>(node.source().begin.line)};
  if (const auto* table = node.as_table()) {
    config_table members;
    for (const auto& [key, child] : *table) {
      members.emplace(std::string(key.str()), convert(child, file));
    }
    value.data = std::move(members);
  } else if (const auto* array = node.as_array()) {
    config_array elements;
    for (const auto& child : *array) elements.push_back(convert(child, file));
    value.data = std::move(elements);
  } else if (const auto* text = node.as_string()) {
    value.data = text->get();
  } else if (const auto* integer = node.as_integer()) {
    value.data = integer->get();
  } else if (const auto* floating_point = node.as_floating_point()) {
    value.data = floating_point->get();
  } else if (const auto* boolean = node.as_boolean()) {
    value.data = boolean->get();
  } else {
    value.data = std::string();  // dates: rejected by the type check
  }
  return value;
}

}  // namespace

auto parse_toml(std::string_view name, std::string_view text)
    -> leaf::result<config_document> {
  auto parsed = toml::parse(text, name);
  if (!parsed) {
    const auto& error = parsed.error();
    return leaf::new_error(config_error{
        {std::string(name), static_cast<int>(error.source().begin.line)},
        "",
        std::string(error.description())});
  }
  config_document document;
  document.name = name;
  auto root = convert(parsed.table(), name);
  document.root = std::move(std::get<config_table>(root.data));
  return document;
}

auto parse_folder(const std::map<std::string, std::string>& files)
    -> leaf::result<site_config> {
  std::vector<config_document> documents;
  for (const auto& [name, body] : files) {
    BOOST_LEAF_AUTO(document, parse_toml(name, body));
    documents.push_back(std::move(document));
  }
  BOOST_LEAF_AUTO(merged, merge(documents));
  return parse_site_config(merged);
}

auto try_parse_folder(const std::map<std::string, std::string>& files)
    -> std::variant<site_config, config_error> {
  using outcome = std::variant<site_config, config_error>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<outcome> {
        BOOST_LEAF_AUTO(site, parse_folder(files));
        return outcome(std::move(site));
      },
      [](const config_error& error) -> outcome { return error; },
      []() -> outcome {
        return config_error{{}, "", "cannot be read"};
      });
}

}  // namespace parsleyledge
