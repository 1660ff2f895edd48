#include "zr_request/answer_cursor.h"

#include <utility>

namespace zr {

void AnswerCursor::Open(AttemptNumber attempt, std::string stream_id) {
  ZR_ASSERT(attempt > attempt_, "attempt numbers must increase");
  attempt_ = attempt;
  stream_id_ = std::move(stream_id);
  open_ = true;
}

void AnswerCursor::Close() { open_ = false; }

AnswerCursor::ChunkResult AnswerCursor::OnChunk(AttemptNumber attempt,
                                                std::string_view stream_id,
                                                int64_t offset,
                                                int64_t tokens) {
  const bool current = IsCurrent(attempt) && stream_id == stream_id_;
  if ((!current && !ignore_attempts_) || tokens <= 0 || offset < offset_) {
    ++dropped_;
    return ChunkResult::kDrop;
  }
  if (offset > offset_) {
    ++dropped_;
    return ChunkResult::kGap;
  }
  offset_ += tokens;
  return ChunkResult::kAccept;
}

}  // namespace zr
