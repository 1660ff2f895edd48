#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zr {

/** A complete event of a text/event-stream, with its raw bytes. */
struct StreamEvent {
  std::string bytes;          // including the blank line at the end
  std::optional<int64_t> id;  // value of the id field, if it is a number
};

/**
 * Splits a text/event-stream into complete events. Only complete events are
 * forwarded, so that another run can resume the stream after the last one.
 */
class EventSplitter {
 public:
  /** More pending bytes are no event of an engine; the stream is broken. */
  static constexpr size_t kMaxEventBytes = size_t{256} << 10;

  void Append(std::string_view data) { buffer_ += data; }
  /** Takes the next complete event, if there is one. */
  std::optional<StreamEvent> Next();
  /** Size of the incomplete event at the end of the buffer. */
  size_t pending_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
  size_t scanned_ = 0;  // no event ends before this position
};

}  // namespace zr
