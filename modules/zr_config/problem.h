#pragma once

#include <compare>
#include <string>
#include <vector>

namespace zr {

/** A problem in a settings file or an environment document. */
struct SettingsProblem {
  std::string file;  // as passed to the parser, may be empty
  int line =
      0;  // from 1; 0 if the problem has no line (a missing section or key)
  std::string section;  // empty if the problem is outside of a section
  std::string key;      // empty if the problem concerns no single key
  std::string message;  // what is wrong and what is allowed

  /** "file:line: [section] key: message", without the empty parts. */
  std::string ToString() const;

  friend auto operator<=>(const SettingsProblem&,
                          const SettingsProblem&) = default;
};

/** Formats problems sorted by line number, one per line of text. */
std::string JoinProblems(std::vector<SettingsProblem> problems);

}  // namespace zr
