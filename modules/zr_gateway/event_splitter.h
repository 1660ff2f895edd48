#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zr {

/** A whole event of a text/event-stream, with its raw bytes. */
struct StreamEvent {
  std::string bytes;          // with the blank line that ends it
  std::optional<int64_t> id;  // of its id field, if that is a number
};

/**
 * Splits a text/event-stream into whole events, so that only whole events are
 * forwarded and another run can continue after the last one.
 */
class EventSplitter {
 public:
  void Append(std::string_view data) { buffer_ += data; }
  /** The next whole event, if there is one. */
  std::optional<StreamEvent> Next();
  /** Bytes of an event that is not complete. */
  size_t pending_bytes() const { return buffer_.size(); }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace zr
