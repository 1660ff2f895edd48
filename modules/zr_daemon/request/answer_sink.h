#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "zr_request/zr_request.h"

namespace zr {

/** Receives the answer of a request. Called on the request's strand. */
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /**
   * Starts the answer.
   * @param stream  id with which a caller can resume the answer after a
   * reconnect; empty for plain services */
  virtual void WriteHead(int status, const std::string& content_type,
                         const std::string& stream) = 0;
  /**
   * Appends to the answer.
   * @param offset  tokens (models) or bytes (plain services) before this chunk
   * @param sent    called from any thread when the chunk has been sent
   */
  virtual void WriteChunk(int64_t offset, std::string text,
                          std::function<void()> sent) = 0;
  /** @param total  length of the answer, in the unit of the offsets */
  virtual void Finish(int64_t total) = 0;
  /** Ends the answer with an error, also after some of its chunks. */
  virtual void FinishWithError(const FailRequest& failure) = 0;
  /** Ends this sink: another call with the same id receives the answer. */
  virtual void Supersede(const Error& error) = 0;
  /** Sets a function that is called from any thread when the caller
   * disconnects.
   */
  virtual void OnClosed(std::function<void()> closed) = 0;
};

}  // namespace zr
