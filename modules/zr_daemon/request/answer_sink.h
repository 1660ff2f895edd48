#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "zr_request/zr_request.h"

namespace zr {

/** Where the answer of a request goes. Called on the request's strand. */
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /** @param stream  names the run, for a caller that reconnects; empty for
   * plain services */
  virtual void WriteHead(int status, const std::string& content_type,
                         const std::string& stream) = 0;
  /**
   * A part of the answer.
   * @param offset  tokens (models) or bytes (plain services) before it
   * @param sent    called from any thread when the part has left this process
   */
  virtual void WriteChunk(int64_t offset, std::string text,
                          std::function<void()> sent) = 0;
  virtual void Finish(int64_t total) = 0;
  virtual void FinishWithError(const Refuse& failure) = 0;
  /** Another call with the same id has taken the answer over. */
  virtual void Supersede(const Error& error) = 0;
  /** Sets a function that is called from any thread when the caller goes away.
   */
  virtual void OnClosed(std::function<void()> closed) = 0;
};

}  // namespace zr
