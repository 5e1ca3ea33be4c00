#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <string_view>

#include "core/config/site_config.h"

namespace parsleyledge {

/// Parses one file of the configuration folder; `name` is the file name for
/// error messages. Fails with a config_error.
auto parse_toml(std::string_view name, std::string_view text)
    -> boost::leaf::result<config_document>;

/// Parses, merges and checks the files of a folder, given as texts by file
/// name. Fails with a config_error.
auto parse_folder(const std::map<std::string, std::string>& files)
    -> boost::leaf::result<site_config>;

/// Like `parse_folder`, but returns the error as a value.
auto try_parse_folder(const std::map<std::string, std::string>& files)
    -> std::variant<site_config, config_error>;

}  // namespace parsleyledge
