#include "zr_config/problem.h"

#include <algorithm>

namespace zr {

std::string SettingsProblem::ToString() const {
  std::string text;
  if (!file.empty()) text += file + ":";
  if (line > 0) {
    text += (file.empty() ? "line " : "") + std::to_string(line) + ":";
  }
  if (!text.empty()) text += " ";
  if (!section.empty()) text += "[" + section + "] ";
  if (!key.empty()) text += key + ": ";
  return text + message;
}

std::string JoinProblems(std::vector<SettingsProblem> problems) {
  std::stable_sort(problems.begin(), problems.end(),
                   [](const SettingsProblem& a, const SettingsProblem& b) {
                     return a.line < b.line;
                   });
  std::string text;
  for (const SettingsProblem& problem : problems) {
    if (!text.empty()) text += "\n";
    text += problem.ToString();
  }
  return text;
}

}  // namespace zr
