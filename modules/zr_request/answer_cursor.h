#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Decides which parts of an answer go to the caller: each token once, in order,
 * from the current connection and the request's own stream.
 */
class AnswerCursor {
 public:
  enum class ChunkResult {
    kAccept,  // the next part
    kDrop,    // stale, repeated or of another stream
    kGap,     // parts are missing before this one; dropped as well
  };

  explicit AnswerCursor(int64_t first_offset) : offset_(first_offset) {}

  /** Parts are accepted from this connection only. */
  void Open(AttemptNumber attempt, std::string stream_id);
  /** No part is accepted until the next Open(). */
  void Close();
  /** The caller wants the answer from another offset (reattach). */
  void MoveTo(int64_t offset) { offset_ = offset; }

  /** Judges a part and, if it is accepted, moves past it. */
  ChunkResult OnChunk(AttemptNumber attempt, std::string_view stream_id,
                      int64_t offset, int64_t tokens);

  bool IsCurrent(AttemptNumber attempt) const {
    return open_ && attempt == attempt_;
  }
  bool is_open() const { return open_; }
  AttemptNumber attempt() const { return attempt_; }
  /** Offset of the next token for the caller. */
  int64_t offset() const { return offset_; }
  uint64_t dropped_chunks() const { return dropped_; }

  /** Test hook: judges parts of older attempts like current ones. */
  void IgnoreAttemptsForTest() { ignore_attempts_ = true; }

 private:
  AttemptNumber attempt_;
  std::string stream_id_;
  int64_t offset_;
  uint64_t dropped_ = 0;
  bool open_ = false;
  bool ignore_attempts_ = false;
};

}  // namespace zr
