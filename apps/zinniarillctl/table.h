#pragma once

#include <string>
#include <vector>

namespace zr {

/** Rows of text in aligned columns; the first row is the heading. */
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace zr
