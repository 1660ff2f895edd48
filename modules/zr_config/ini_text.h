#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zr_config/problem.h"

namespace zr {

/** A key with its value; continuation lines are joined with ", ". */
struct IniEntry {
  int line = 0;
  std::string key;
  std::string value;
};

/** A section with its entries in the order of the text. */
struct IniSection {
  int line = 0;
  std::string name;
  std::vector<IniEntry> entries;
};

/**
 * INI text split into sections.
 *
 * inih parses the keys and values. This class adds line numbers, sections
 * without keys, and errors for lines and names that inih would silently
 * truncate.
 */
struct IniText {
  /** Longest line in bytes; inih's buffer holds 200 with the line end. */
  static constexpr int kMaxLineBytes = 190;
  /** Longest section name in bytes: "drain endpoint " and a name of 64. */
  static constexpr int kMaxSectionBytes = 80;
  /** Longest text in bytes: an object of the platform holds 1 MB. */
  static constexpr size_t kMaxTextBytes = 900'000;

  std::vector<IniSection> sections;
  std::vector<SettingsProblem> problems;

  /** Parses the text; all syntax errors are in `problems`. */
  static IniText Parse(std::string_view text, const std::string& file);
};

}  // namespace zr
