#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace zr {

/** Parses a server-sent event stream into the data of its events. */
class SseParser {
 public:
  /** Largest event, in bytes; a larger one makes the stream invalid. */
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  /** Adds bytes. @returns false if an event is too large */
  bool Feed(std::string_view bytes);
  /** The next complete event's data, without "data: ". */
  std::optional<std::string> Next();

 private:
  std::string buffer_;
  size_t parsed_ = 0;
};

/** Formats one event. The data must not contain a line break. */
std::string FormatSseEvent(std::string_view data);

}  // namespace zr
