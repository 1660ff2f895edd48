#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace zr {

/** The members of a model call's body that are used; discarded if it is not
 * JSON or has too many values. */
nlohmann::json ParseCallMembers(const std::string& body);

}  // namespace zr
