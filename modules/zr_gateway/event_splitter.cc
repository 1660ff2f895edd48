#include "zr_gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace zr {
namespace {

/** Length of the first event with its blank line; npos if incomplete.
 * @param start  position before which no event ends */
size_t EventLength(std::string_view data, size_t start) {
  for (size_t i = start; i < data.size(); ++i) {
    if (data[i] != '\n') continue;
    if (i + 1 < data.size() && data[i + 1] == '\n') return i + 2;
    if (i + 2 < data.size() && data[i + 1] == '\r' && data[i + 2] == '\n') {
      return i + 3;
    }
  }
  return std::string_view::npos;
}

std::optional<int64_t> ParseEventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t line = 0;
  while (line < event.size()) {
    size_t end = event.find('\n', line);
    if (end == std::string_view::npos) end = event.size();
    std::string_view text = event.substr(line, end - line);
    line = end + 1;
    if (!text.starts_with(kField)) continue;
    text.remove_prefix(kField.size());
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    int64_t id = 0;
    auto [last, error] =
        std::from_chars(text.data(), text.data() + text.size(), id);
    if (error == std::errc()) return id;
  }
  return std::nullopt;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::Next() {
  // A line end that was scanned may be the first of the blank line.
  constexpr size_t kOverlap = 3;
  const size_t length =
      EventLength(buffer_, scanned_ - std::min(scanned_, kOverlap));
  scanned_ = buffer_.size();
  if (length == std::string_view::npos) return std::nullopt;
  scanned_ = 0;
  StreamEvent event;
  event.bytes = buffer_.substr(0, length);
  event.id = ParseEventId(event.bytes);
  buffer_.erase(0, length);
  return event;
}

}  // namespace zr
