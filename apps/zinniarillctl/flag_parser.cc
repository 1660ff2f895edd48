#include "zinniarillctl/flag_parser.h"

#include <gflags/gflags.h>

#include <algorithm>

namespace zr {
namespace {

/** Sets the flag at argv[index] and moves the index past its value; returns a
 * fault or "". */
std::string SetFlag(int argc, const char* const* argv, int& index) {
  const std::string word = argv[index];
  const size_t equals = word.find('=');
  std::string name = word.substr(0, equals);
  name.erase(0, name.find_first_not_of('-'));
  std::replace(name.begin(), name.end(), '-', '_');
  bool negated = false;
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    negated = name.starts_with("no") &&
              gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &info) &&
              info.type == "bool";
    if (!negated) return "unknown flag " + word;
  }
  std::string value;
  if (equals != std::string::npos) {
    value = word.substr(equals + 1);
  } else if (info.type == "bool") {
    value = negated ? "false" : "true";
  } else if (index + 1 < argc) {
    value = argv[++index];
  } else {
    return word + " needs a value";
  }
  if (gflags::SetCommandLineOption(info.name.c_str(), value.c_str()).empty()) {
    return "the value of --" + info.name + " is not of type " + info.type;
  }
  return "";
}

}  // namespace

ParsedFlags ParseFlags(int argc, const char* const* argv) {
  ParsedFlags parsed;
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    if (word == "--help" || word == "-h") {
      parsed.help = true;
    } else if (word.size() < 2 || word.front() != '-') {
      parsed.words.push_back(word);
    } else if (std::string fault = SetFlag(argc, argv, i); !fault.empty()) {
      parsed.fault = std::move(fault);
      return parsed;
    }
  }
  return parsed;
}

std::string FlagHelp() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::string text;
  for (const auto& flag : flags) {
    if (flag.filename.find("zinniarillctl") == std::string::npos) continue;
    text += "--" + flag.name + " (" + flag.default_value +
            "): " + flag.description + "\n";
  }
  return text;
}

}  // namespace zr
