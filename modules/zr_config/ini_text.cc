#include "zr_config/ini_text.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace zr {
namespace {

constexpr std::string_view kBlanks = " \t\r\v\f";

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool IsSectionCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.' || c == ' ';
}

/** Passes lines to inih and collects the sections and entries. */
class IniParser {
 public:
  IniParser(std::string_view text, const std::string& file, IniText& out)
      : remaining_(text), file_(file), out_(out) {}
  IniParser(const IniParser&) = delete;
  IniParser& operator=(const IniParser&) = delete;

  void Run() {
    ini_parse_stream(&IniParser::Read, this, &IniParser::OnEntry, this);
    ReportPendingLine();
  }

 private:
  static char* Read(char* buffer, int size, void* self) {
    return static_cast<IniParser*>(self)->ReadLine(buffer, size);
  }
  static int OnEntry(void* self, const char*, const char* key,
                     const char* value) {
    static_cast<IniParser*>(self)->AddEntry(key, value == nullptr ? "" : value);
    return 1;
  }

  char* ReadLine(char* buffer, int size) {
    ReportPendingLine();
    if (remaining_.empty()) return nullptr;
    const size_t end = remaining_.find('\n');
    std::string_view line = remaining_.substr(0, end);
    remaining_.remove_prefix(end == std::string_view::npos ? remaining_.size()
                                                           : end + 1);
    ++line_;
    const std::string prepared = PrepareLine(line);
    const size_t length =
        std::min(prepared.size(), static_cast<size_t>(size) - 1);
    std::memcpy(buffer, prepared.data(), length);
    buffer[length] = '\0';
    return buffer;
  }

  /** Returns the line to pass to inih; invalid lines are reported and
   * replaced. */
  std::string PrepareLine(std::string_view line) {
    const std::string_view content = Trim(line);
    if (content.empty() || content.front() == ';' || content.front() == '#') {
      return "\n";
    }
    if (line.size() > IniText::kMaxLineBytes) {
      Report("the line is longer than " +
             std::to_string(IniText::kMaxLineBytes) +
             " bytes; continue a long value on the next line, indented");
      return "\n";
    }
    if (std::any_of(line.begin(), line.end(), [](char c) {
          return (static_cast<unsigned char>(c) < 0x20 && c != '\t' &&
                  c != '\r') ||
                 c == 0x7f;
        })) {
      Report("the line contains a control character");
      return "\n";
    }
    indented_ = kBlanks.find(line.front()) != std::string_view::npos;
    if (content.front() == '[') return OpenSection(content);
    line_pending_ = true;
    return std::string(line) + "\n";
  }

  std::string OpenSection(std::string_view content) {
    const size_t end = content.find(']');
    const std::string_view name =
        Trim(content.substr(1, end == content.npos ? end : end - 1));
    const std::string_view after = end == content.npos
                                       ? std::string_view()
                                       : Trim(content.substr(end + 1));
    skip_section_ = true;
    has_key_ = false;
    if (indented_) {
      Report("a section heading starts in the first column");
    } else if (end == content.npos ||
               (!after.empty() && after.front() != ';')) {
      Report("a section heading has the form [NAME]");
    } else if (name.empty() || name.size() > IniText::kMaxSectionBytes ||
               !std::all_of(name.begin(), name.end(), IsSectionCharacter)) {
      Report("a section name has 1 to " +
             std::to_string(IniText::kMaxSectionBytes) +
             " letters, digits, spaces or any of '_', '-', '.'");
    } else {
      skip_section_ = false;
      out_.sections.push_back(IniSection{line_, std::string(name), {}});
    }
    // inih truncates long names, so it gets a fixed one that only marks the
    // start of a section.
    return "[section]\n";
  }

  void AddEntry(std::string_view key, std::string_view value) {
    line_pending_ = false;
    const bool continuation = indented_ && has_key_;
    has_key_ = true;
    if (skip_section_) return;
    if (out_.sections.empty()) {
      Report("the key is outside of any section", key);
      return;
    }
    IniSection& section = out_.sections.back();
    if (continuation && !section.entries.empty()) {
      std::string& joined = section.entries.back().value;
      while (!joined.empty() &&
             (joined.back() == ',' || joined.back() == ' ')) {
        joined.pop_back();
      }
      if (!joined.empty() && !value.empty()) joined += ", ";
      joined += value;
      return;
    }
    section.entries.push_back(
        IniEntry{line_, std::string(key), std::string(value)});
  }

  /** Reports the previous line if inih found no key in it. */
  void ReportPendingLine() {
    if (line_pending_) Report("the line is not of the form KEY = VALUE");
    line_pending_ = false;
  }

  void Report(std::string message, std::string_view key = {}) {
    const std::string section =
        out_.sections.empty() ? "" : out_.sections.back().name;
    out_.problems.push_back(SettingsProblem{
        file_, line_, section, std::string(key), std::move(message)});
  }

  std::string_view remaining_;
  const std::string& file_;
  IniText& out_;
  int line_ = 0;
  bool line_pending_ =
      false;  // a line was passed to inih, which has not reported a key
  bool indented_ = false;  // the current line starts with a blank
  bool has_key_ =
      false;  // the section has a key that an indented line continues
  bool skip_section_ = false;  // the section heading was invalid
};

}  // namespace

IniText IniText::Parse(std::string_view text, const std::string& file) {
  IniText result;
  if (text.size() > kMaxTextBytes) {
    result.problems.push_back(SettingsProblem{
        file, 0, "", "",
        "the text is longer than " + std::to_string(kMaxTextBytes) + " bytes"});
    return result;
  }
  if (text.substr(0, 3) == "\xEF\xBB\xBF") text.remove_prefix(3);
  IniParser(text, file, result).Run();
  return result;
}

}  // namespace zr
