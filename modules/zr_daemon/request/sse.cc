#include "zr_daemon/request/sse.h"

namespace zr {

bool SseParser::Feed(std::string_view bytes) {
  buffer_.erase(0, parsed_);
  parsed_ = 0;
  buffer_ += bytes;
  return buffer_.size() <= kMaxEventBytes ||
         buffer_.find("\n\n") != std::string::npos;
}

std::optional<std::string> SseParser::Next() {
  while (true) {
    const size_t end = buffer_.find("\n\n", parsed_);
    if (end == std::string::npos) return std::nullopt;
    std::string_view event(buffer_.data() + parsed_, end - parsed_);
    parsed_ = end + 2;
    std::string data;
    while (!event.empty()) {
      const size_t line_end = event.find('\n');
      std::string_view line = event.substr(0, line_end);
      event = line_end == std::string_view::npos ? std::string_view()
                                                 : event.substr(line_end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (!line.starts_with("data:")) continue;
      line.remove_prefix(5);
      if (line.starts_with(' ')) line.remove_prefix(1);
      if (!data.empty()) data += '\n';
      data += line;
    }
    if (!data.empty()) return data;
  }
}

std::string FormatSseEvent(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

}  // namespace zr
