#pragma once

#include <functional>
#include <string>

#include "zr_config/zr_config.h"
#include "zr_daemon/request/answer_sink.h"
#include "zr_records/zr_records.h"

namespace zr {

/** Collects the answer of a plain service for its record and reports it exactly
 * once. */
class OutcomeSink final : public AnswerSink {
 public:
  using Report = std::function<void(OpServiceReply)>;

  /**
   * @param max_bytes  of a longer body only the digest is kept
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
  void FinishWithError(const Refuse& failure) override;
  void Supersede(const Error& error) override;
  /** The call goes on without its caller, so the function is never called. */
  void OnClosed(std::function<void()> /*closed*/) override {}

 private:
  void Send(OpServiceReply reply);

  const size_t max_bytes_;
  Report report_;
  ServiceOutcome outcome_;
  Sha256 digest_;
};

}  // namespace zr
