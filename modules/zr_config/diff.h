#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "zr_config/environment.h"

namespace zr {

enum class ChangeKind : uint8_t { kAdded, kRemoved, kChanged };

/** "added", "removed" or "changed". */
std::string_view ToString(ChangeKind kind);

/** One difference between two environment documents. */
struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  std::string section;
  std::string key;     // empty for the section itself
  std::string before;  // empty if added
  std::string after;   // empty if removed

  /** One line, for example "~ [class lookup] deadline_ms: 2000 -> 3000". */
  std::string ToString() const;

  friend auto operator<=>(const Change&, const Change&) = default;
};

/**
 * Lists the differences in effect; order, comments and explicitly written
 * defaults are ignored. An added or removed section is followed by the keys
 * that it sets.
 */
std::vector<Change> Diff(const Environment& from, const Environment& to);

}  // namespace zr
