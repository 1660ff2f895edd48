#pragma once

#include <functional>
#include <string>

#include "zr_config/zr_config.h"
#include "zr_daemon/request/answer_sink.h"
#include "zr_records/zr_records.h"

namespace zr {

/** Collects the answer of a plain service for the operation's record and
 * reports it exactly once. */
class OutcomeSink final : public AnswerSink {
 public:
  using Report = std::function<void(OpServiceReply)>;

  /**
   * @param max_bytes  only the digest  of a longer body is stored
   * @param report     called on the request's strand, or by the destructor with
   * kUnknown
   */
  OutcomeSink(size_t max_bytes, Report report);
  ~OutcomeSink() override;
  OutcomeSink(const OutcomeSink&) = delete;
  OutcomeSink& operator=(const OutcomeSink&) = delete;

  void WriteHead(int status, const std::string& content_type,
                 const std::string& stream) override;
  void WriteChunk(int64_t offset, std::string text,
                  std::function<void()> sent) override;
  void Finish(int64_t total) override;
  void FinishWithError(const FailRequest& failure) override;
  void Supersede(const Error& error) override;
  /** Does nothing: the call continues if the caller disconnects. */
  void OnClosed(std::function<void()> /*closed*/) override {}

 private:
  void Send(OpServiceReply reply);

  const size_t max_bytes_;
  Report report_;
  ServiceOutcome outcome_;
  Sha256 digest_;
};

}  // namespace zr
