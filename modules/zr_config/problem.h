#pragma once

#include <compare>
#include <string>
#include <vector>

namespace zr {

/** A fault in a settings file or an environment document. */
struct SettingsProblem {
  std::string file;  // as passed to the parser, may be empty
  int line =
      0;  // from 1; 0 if the fault has no line (a missing section or key)
  std::string section;  // empty if the fault is outside of a section
  std::string key;      // empty if the fault concerns no single key
  std::string message;  // what is wrong and what is allowed

  /** "file:line: [section] key: message", without the parts that are empty. */
  std::string ToString() const;

  friend auto operator<=>(const SettingsProblem&,
                          const SettingsProblem&) = default;
};

/** All problems in order of their lines, one per line of text. */
std::string JoinProblems(std::vector<SettingsProblem> problems);

}  // namespace zr
