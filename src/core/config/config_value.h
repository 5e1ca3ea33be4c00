#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyledge {

/// The file of the configuration folder and the line in which a value is set.
struct source_location {
  std::string file;
  int line = 0;
};

struct config_value;
using config_array = std::vector<config_value>;
using config_table = std::map<std::string, config_value>;

/// A value of a configuration file, independent of the file format.
struct config_value {
  std::variant<bool, std::int64_t, double, std::string, config_array,
               config_table>
      data;
  source_location where;
};

/// One parsed file of the configuration folder.
struct config_document {
  std::string name;
  config_table root;
};

}  // namespace parsleyledge
