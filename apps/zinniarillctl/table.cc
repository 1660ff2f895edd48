#include "zinniarillctl/table.h"

#include <algorithm>

namespace zr {

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line += std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace zr
