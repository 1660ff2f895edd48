#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Selects the chunks of an answer that go to the caller: each token once, in
 * order, from the current connection and the request's own stream.
 */
class AnswerCursor {
 public:
  enum class ChunkResult {
    kAccept,  // the next chunk
    kDrop,    // stale, duplicate or of another stream
    kGap,     // chunks before this one are missing; dropped as well
  };

  explicit AnswerCursor(int64_t first_offset) : offset_(first_offset) {}

  /** Accepts chunks from this connection only. */
  void Open(AttemptNumber attempt, std::string stream_id);
  /** Accepts no chunk until the next Open(). */
  void Close();
  /** Moves to the offset that a reattaching caller requests. */
  void MoveTo(int64_t offset) { offset_ = offset; }

  /** Classifies a chunk and advances past it if it is accepted. */
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

  /** Test hook: treats chunks of older attempts like current ones. */
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
