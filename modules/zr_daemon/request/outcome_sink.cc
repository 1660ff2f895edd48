#include "zr_daemon/request/outcome_sink.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zr {
namespace {

/** Whether the service answered 503 and states that it did not run the call. */
bool IsNotRunReply(const ServiceOutcome& outcome) {
  if (outcome.status != 503) return false;
  const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object()) {
    return false;
  }
  const auto run = json["error"].find("run");
  return run != json["error"].end() && *run == "not-run";
}

}  // namespace

OutcomeSink::OutcomeSink(size_t max_bytes, Report report)
    : max_bytes_(max_bytes), report_(std::move(report)) {
  outcome_.status = 200;
}

OutcomeSink::~OutcomeSink() { Send({ServiceCallStatus::kUnknown, {}}); }

void OutcomeSink::WriteHead(int status, const std::string& content_type,
                            const std::string& /*stream*/) {
  outcome_.status = status;
  // RecordCodec rejects a record with a longer content type, which would block
  // the record's key.
  if (content_type.size() <= kMaxIdBytes) outcome_.content_type = content_type;
}

void OutcomeSink::WriteChunk(int64_t /*offset*/, std::string text,
                             std::function<void()> sent) {
  digest_.Add(text);
  if (outcome_.body_stored &&
      outcome_.body.size() + text.size() <= max_bytes_) {
    outcome_.body += text;
  } else {
    outcome_.body_stored = false;
    outcome_.body.clear();
  }
  sent();
}

void OutcomeSink::Finish(int64_t /*total*/) {
  // If it were stored as an outcome, a "busy" answer would be replayed until
  // the record expires.
  if (IsNotRunReply(outcome_)) return Send({ServiceCallStatus::kNotRun, {}});
  outcome_.digest = digest_.Hex();
  Send({ServiceCallStatus::kCompleted, std::move(outcome_)});
}

void OutcomeSink::FinishWithError(const FailRequest& failure) {
  Send({failure.run == RunState::kNotRun ? ServiceCallStatus::kNotRun
                                         : ServiceCallStatus::kUnknown,
        {}});
}

void OutcomeSink::Supersede(const Error& /*error*/) {
  Send({ServiceCallStatus::kUnknown, {}});
}

void OutcomeSink::Send(OpServiceReply reply) {
  if (auto report = std::exchange(report_, nullptr)) report(std::move(reply));
}

}  // namespace zr
