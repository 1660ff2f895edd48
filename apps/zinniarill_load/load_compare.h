#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace zr {

/** Table of two result files' figures and their ratios (second to first). */
std::string CompareResults(const nlohmann::json& first,
                           const nlohmann::json& second);

}  // namespace zr
