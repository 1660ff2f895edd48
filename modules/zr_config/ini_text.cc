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

/** Feeds lines to inih and collects what it finds. */
class IniCollector {
 public:
  IniCollector(std::string_view text, const std::string& file, IniText& out)
      : rest_(text), file_(file), out_(out) {}
  IniCollector(const IniCollector&) = delete;
  IniCollector& operator=(const IniCollector&) = delete;

  void Run() {
    ini_parse_stream(&IniCollector::Read, this, &IniCollector::Handle, this);
    ReportIfIgnored();
  }

 private:
  static char* Read(char* buffer, int size, void* self) {
    return static_cast<IniCollector*>(self)->ReadLine(buffer, size);
  }
  static int Handle(void* self, const char*, const char* key,
                    const char* value) {
    static_cast<IniCollector*>(self)->AddEntry(key,
                                               value == nullptr ? "" : value);
    return 1;
  }

  char* ReadLine(char* buffer, int size) {
    ReportIfIgnored();
    if (rest_.empty()) return nullptr;
    const size_t end = rest_.find('\n');
    std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    ++line_;
    const std::string prepared = Prepare(line);
    const size_t length =
        std::min(prepared.size(), static_cast<size_t>(size) - 1);
    std::memcpy(buffer, prepared.data(), length);
    buffer[length] = '\0';
    return buffer;
  }

  /** The line as inih gets it; faulty lines are reported and replaced. */
  std::string Prepare(std::string_view line) {
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
    waiting_ = true;
    return std::string(line) + "\n";
  }

  std::string OpenSection(std::string_view content) {
    const size_t end = content.find(']');
    const std::string_view name =
        Trim(content.substr(1, end == content.npos ? end : end - 1));
    const std::string_view after = end == content.npos
                                       ? std::string_view()
                                       : Trim(content.substr(end + 1));
    skipping_ = true;
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
      skipping_ = false;
      out_.sections.push_back(IniSection{line_, std::string(name), {}});
    }
    // inih would cut a long name; the fixed one only tells it that a section
    // starts.
    return "[section]\n";
  }

  void AddEntry(std::string_view key, std::string_view value) {
    waiting_ = false;
    const bool continuation = indented_ && has_key_;
    has_key_ = true;
    if (skipping_) return;
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
  void ReportIfIgnored() {
    if (waiting_) Report("the line is not of the form KEY = VALUE");
    waiting_ = false;
  }

  void Report(std::string message, std::string_view key = {}) {
    const std::string section =
        out_.sections.empty() ? "" : out_.sections.back().name;
    out_.problems.push_back(SettingsProblem{
        file_, line_, section, std::string(key), std::move(message)});
  }

  std::string_view rest_;
  const std::string& file_;
  IniText& out_;
  int line_ = 0;
  bool waiting_ = false;   // a line was handed to inih and no key came back yet
  bool indented_ = false;  // the current line starts with a blank
  bool has_key_ =
      false;  // the section has a key that an indented line continues
  bool skipping_ = false;  // the section heading was faulty
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
  IniCollector(text, file, result).Run();
  return result;
}

}  // namespace zr
