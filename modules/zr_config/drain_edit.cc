#include "zr_config/drain_edit.h"

#include "zr_config/environment.h"
#include "zr_config/environment_reader.h"
#include "zr_config/ini_text.h"
#include "zr_config/key_spec.h"

namespace zr {

Result<std::string> AddDrain(std::string_view text, const Drain& drain) {
  auto environment = Environment::Parse(text);
  if (!environment) return tl::unexpected(environment.error());
  if (!IsName(drain.name)) {
    return Fail(ErrorCode::kInvalidArgument, "drain", "",
                "the name '" + drain.name +
                    "' is not allowed; allowed: 1 to 64 letters, digits, "
                    "'_', '-', '.'");
  }
  std::string edited(text);
  if (environment->drains().contains(drain)) return edited;
  if (!edited.empty() && edited.back() != '\n') edited += '\n';
  edited += "[" + DrainSection(drain) + "]\n";
  if (edited.size() > IniText::kMaxTextBytes) {
    return Fail(ErrorCode::kInvalidArgument, "drain", "",
                "the document would become too long");
  }
  return edited;
}

Result<std::string> RemoveDrain(std::string_view text, const Drain& drain) {
  auto environment = Environment::Parse(text);
  if (!environment) return tl::unexpected(environment.error());
  std::string edited(text);
  if (!environment->drains().contains(drain)) return edited;
  const std::vector<std::string> wanted = SectionWords(DrainSection(drain));
  for (const IniSection& section : IniText::Parse(text, "").sections) {
    if (SectionWords(section.name) != wanted) continue;
    size_t start = 0;
    for (int line = 1; line < section.line; ++line) {
      start = edited.find('\n', start) + 1;
    }
    const size_t end = edited.find('\n', start);
    edited.erase(start, end == std::string::npos ? end : end - start + 1);
    break;
  }
  return edited;
}

}  // namespace zr
