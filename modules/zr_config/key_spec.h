#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/address.h"
#include "zr_config/ini_text.h"
#include "zr_config/problem.h"

namespace zr {

/** How the value of a key is written. */
enum class KeyType {
  kInteger,      // decimal in a range
  kBoolean,      // true or false
  kChoice,       // one of a list of words
  kText,         // any text within a length
  kSecret,       // like kText, never shown in messages
  kName,         // letters, digits, '_', '-', '.'
  kAddress,      // ip:port
  kNameList,     // names separated by commas
  kAddressList,  // ip:port separated by commas
  kDigestList,   // hex SHA-256 digests separated by commas
};

/** The parsed value of a key; the member in use depends on the type. */
struct KeyValue {
  int64_t integer = 0;  // kInteger, kBoolean (0 or 1), kChoice (index)
  std::string text;     // kText, kSecret, kName
  std::vector<std::string> list;   // kNameList, kDigestList
  std::vector<Address> addresses;  // kAddress (one), kAddressList
  std::string canonical;  // normal form of the value, equal for equal values
};

/** Describes a key for the parser, its messages and the reference. */
struct KeySpec {
  std::string_view section;  // section name or the first word of it
  std::string_view key;
  KeyType type = KeyType::kText;
  std::string_view unit;  // of an integer, empty if none
  int64_t min = 0;        // minimum of an integer, a text's length or a port
  int64_t max = 0;  // maximum of an integer or the length of a text or list
  std::string_view default_value;  // as written in the text; unused if required
  bool required = false;
  std::string_view choices;  // kChoice: words separated by '|'
  std::string_view help;

  /** Describes the allowed values, for messages and the reference. */
  std::string Allowed() const;
};

/** Parses a value; the error's message says what is allowed. */
Result<KeyValue> ParseKeyValue(const KeySpec& spec, std::string_view text);

/**
 * Message for a key that no spec describes. If a known key differs only in its
 * unit suffix, the message names it.
 */
std::string UnknownKeyMessage(std::string_view key,
                              std::span<const KeySpec* const> known);

/** Whether the text is a name: 1 to 64 letters, digits, '_', '-' or '.'. */
bool IsName(std::string_view text);

/** A Markdown table row "| key | unit | allowed | default | meaning |" for the
 * reference. */
std::string ReferenceRow(const KeySpec& spec);
/** The header of the table whose rows ReferenceRow() returns. */
std::string ReferenceHeading();

/**
 * A key spec and the function that stores its value in a target.
 *
 * @tparam T  the struct that receives the value
 */
template <typename T>
struct Field {
  KeySpec spec;
  void (*store)(T& target, const KeyValue& value);
};

/** A value that ReadSection() stored: its canonical text and its line (0 for a
 * default). */
struct StoredKey {
  int line = 0;
  std::string_view key;
  std::string canonical;
};

/**
 * Reads a section into a target: stores given values and defaults, and reports
 * unknown, repeated, missing and malformed keys.
 */
template <typename T>
std::vector<StoredKey> ReadSection(const IniSection& section,
                                   std::span<const Field<T>> fields,
                                   const std::string& file, T& target,
                                   std::vector<SettingsProblem>& problems) {
  std::vector<StoredKey> stored;
  std::vector<const KeySpec*> known;
  std::vector<bool> used(section.entries.size(), false);
  auto report = [&](int line, std::string_view key, std::string message) {
    problems.push_back(SettingsProblem{file, line, section.name,
                                       std::string(key), std::move(message)});
  };
  for (const Field<T>& field : fields) {
    known.push_back(&field.spec);
    const IniEntry* given = nullptr;
    for (size_t i = 0; i < section.entries.size(); ++i) {
      const IniEntry& entry = section.entries[i];
      if (entry.key != field.spec.key) continue;
      used[i] = true;
      if (given != nullptr) {
        report(entry.line, entry.key,
               "repeats line " + std::to_string(given->line));
      } else {
        given = &entry;
      }
    }
    if (given == nullptr && field.spec.required) {
      report(section.line, field.spec.key,
             "is missing; allowed: " + field.spec.Allowed());
      continue;
    }
    const int line = given == nullptr ? 0 : given->line;
    auto value = ParseKeyValue(
        field.spec, given == nullptr ? field.spec.default_value
                                     : std::string_view(given->value));
    if (!value) {
      report(line, field.spec.key, value.error().message);
      continue;
    }
    field.store(target, *value);
    stored.push_back(StoredKey{line, field.spec.key, value->canonical});
  }
  for (size_t i = 0; i < section.entries.size(); ++i) {
    if (used[i]) continue;
    const IniEntry& entry = section.entries[i];
    report(entry.line, entry.key, UnknownKeyMessage(entry.key, known));
  }
  return stored;
}

}  // namespace zr
