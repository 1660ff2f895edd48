#include "zinniarill_load/load_compare.h"

#include <array>
#include <cstdio>
#include <set>

namespace zr {
namespace {

double NumberAt(const nlohmann::json& json,
                const nlohmann::json::json_pointer& pointer) {
  if (!json.contains(pointer) || !json.at(pointer).is_number()) return 0;
  return json.at(pointer).get<double>();
}

/** Collects paths to the figures that are compared. */
void CollectPaths(const nlohmann::json& json, const std::string& path,
                  std::set<std::string>& paths) {
  for (const auto& [key, value] : json.items()) {
    if (key == "buckets" || key == "seconds" || key == "messages" ||
        key == "sum_us" || key == "max_us" || key == "weight" || key == "run") {
      continue;
    }
    std::string escaped = key;
    for (size_t at = 0; (at = escaped.find('/', at)) != std::string::npos;
         at += 2) {
      escaped.replace(at, 1, "~1");
    }
    const std::string below = path + "/" + escaped;
    if (value.is_object()) CollectPaths(value, below, paths);
    if (value.is_number()) paths.insert(below);
  }
}

}  // namespace

std::string CompareResults(const nlohmann::json& first,
                           const nlohmann::json& second) {
  std::set<std::string> paths;
  CollectPaths(first, "", paths);
  CollectPaths(second, "", paths);
  std::string text;
  std::array<char, 256> line{};
  for (const auto& path : paths) {
    const nlohmann::json::json_pointer pointer(path);
    const double a = NumberAt(first, pointer);
    const double b = NumberAt(second, pointer);
    if (a == 0) {
      std::snprintf(line.data(), line.size(), "%-60s %12.2f %12.2f        -\n",
                    path.c_str(), a, b);
    } else {
      std::snprintf(line.data(), line.size(), "%-60s %12.2f %12.2f %8.3f\n",
                    path.c_str(), a, b, b / a);
    }
    text += line.data();
  }
  return text;
}

}  // namespace zr
