#include "zr_config/diff.h"

namespace zr {
namespace {

void AppendSection(ChangeKind kind, const std::string& section,
                   const Environment::Values& values,
                   std::vector<Change>& changes) {
  changes.push_back(Change{kind, section, "", "", ""});
  for (const auto& [key, value] : values) {
    if (!value.given) continue;
    const bool added = kind == ChangeKind::kAdded;
    changes.push_back(Change{kind, section, key, added ? "" : value.text,
                             added ? value.text : ""});
  }
}

void AppendChangedKeys(const std::string& section,
                       const Environment::Values& from,
                       const Environment::Values& to,
                       std::vector<Change>& changes) {
  // Both maps hold every key of the section's table, because defaults are
  // included.
  for (const auto& [key, value] : to) {
    const auto before = from.find(key);
    const std::string old = before == from.end() ? "" : before->second.text;
    if (old != value.text) {
      changes.push_back(
          Change{ChangeKind::kChanged, section, key, old, value.text});
    }
  }
}

}  // namespace

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

std::string Change::ToString() const {
  const std::string where =
      "[" + section + "]" + (key.empty() ? "" : " " + key);
  if (kind == ChangeKind::kChanged) {
    return "~ " + where + ": " + before + " -> " + after;
  }
  const bool added = kind == ChangeKind::kAdded;
  std::string text = (added ? "+ " : "- ") + where;
  if (!key.empty()) text += " = " + (added ? after : before);
  return text;
}

std::vector<Change> Diff(const Environment& from, const Environment& to) {
  std::vector<Change> changes;
  for (const auto& [section, values] : from.values()) {
    const auto after = to.values().find(section);
    if (after == to.values().end()) {
      AppendSection(ChangeKind::kRemoved, section, values, changes);
    } else {
      AppendChangedKeys(section, values, after->second, changes);
    }
  }
  for (const auto& [section, values] : to.values()) {
    if (!from.values().contains(section)) {
      AppendSection(ChangeKind::kAdded, section, values, changes);
    }
  }
  return changes;
}

}  // namespace zr
