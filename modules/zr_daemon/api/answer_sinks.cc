#include "zr_daemon/api/answer_sinks.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_daemon/api/error_reply.h"
#include "zr_daemon/request/sse.h"

namespace zr {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Base of the sinks for model answers. */
class ModelSink : public AnswerSink {
 public:
  ModelSink(HttpResponsePtr response, AnswerForm form, RequestId request,
            std::string model)
      : response_(std::move(response)),
        form_(form),
        request_(std::move(request)),
        model_(std::move(model)) {}

  void OnClosed(std::function<void()> closed) override {
    response_->OnClosed(std::move(closed));
  }

 protected:
  HttpHeaders Headers(const char* content_type) const {
    return {{"content-type", content_type}, {"x-request-id", request_.value()}};
  }
  Json Envelope(bool part) const {
    const bool chat = form_ == AnswerForm::kChat;
    const char* object = !chat  ? "text_completion"
                         : part ? "chat.completion.chunk"
                                : "chat.completion";
    return {{"id", request_.value()}, {"object", object}, {"model", model_}};
  }
  void SendFailure(const FailRequest& failure) {
    HttpHeaders headers = {{"x-request-id", request_.value()}};
    if (failure.retry_after) {
      headers["retry-after"] =
          std::to_string((failure.retry_after->milliseconds() + 999) / 1000);
    }
    SendError(*response_, failure.status, failure.error, failure.run,
              std::move(headers));
  }

  HttpResponsePtr response_;
  const AnswerForm form_;
  const RequestId request_;
  const std::string model_;
};

class EventSink final : public ModelSink {
 public:
  using ModelSink::ModelSink;

  void WriteHead(int status, const std::string& /*content_type*/,
                 const std::string& stream) override {
    head_sent_ = true;
    HttpHeaders headers = Headers("text/event-stream");
    if (!stream.empty()) headers["x-zr-stream"] = stream;
    headers["cache-control"] = "no-cache";
    response_->Begin(status, std::move(headers));
  }

  void WriteChunk(int64_t offset, std::string text,
                  std::function<void()> sent) override {
    Json event = Envelope(true);
    event["offset"] = offset;
    Json choice = {{"index", 0}};
    if (form_ == AnswerForm::kChat) {
      choice["delta"] = {{"content", std::move(text)}};
    } else {
      choice["text"] = std::move(text);
    }
    event["choices"] = Json::array({std::move(choice)});
    response_->Write(FormatSseEvent(Dump(event)),
                     [sent = std::move(sent)](bool) { sent(); });
  }

  void Finish(int64_t /*total*/) override {
    if (!head_sent_) WriteHead(200, "", "");
    response_->Write(FormatSseEvent("[DONE]"), nullptr);
    response_->End();
  }

  void FinishWithError(const FailRequest& failure) override {
    if (!head_sent_) return SendFailure(failure);
    Json event =
        Json::parse(ErrorBody(failure.error, failure.run), nullptr, false);
    event["offset"] = failure.offset;
    response_->Write(FormatSseEvent(Dump(event)), nullptr);
    response_->End();
  }

  void Supersede(const Error& error) override {
    FailRequest failure;
    failure.status = 409;
    failure.error = error;
    FinishWithError(failure);
  }

 private:
  bool head_sent_ = false;
};

class JsonSink final : public ModelSink {
 public:
  using ModelSink::ModelSink;

  void WriteHead(int /*status*/, const std::string& /*content_type*/,
                 const std::string& /*stream*/) override {}

  void WriteChunk(int64_t /*offset*/, std::string text,
                  std::function<void()> sent) override {
    text_ += text;
    ++tokens_;
    sent();
  }

  void Finish(int64_t total) override {
    Json body = Envelope(false);
    Json choice = {{"index", 0}, {"finish_reason", "stop"}};
    if (form_ == AnswerForm::kChat) {
      choice["message"] = {{"role", "assistant"}, {"content", text_}};
    } else {
      choice["text"] = text_;
    }
    body["choices"] = Json::array({std::move(choice)});
    body["usage"] = {{"completion_tokens", total}};
    response_->Send(200, Headers("application/json"), Dump(body));
  }

  void FinishWithError(const FailRequest& failure) override {
    SendFailure(failure);
  }

  void Supersede(const Error& error) override {
    SendError(*response_, 409, error, RunState::kMayHaveRun,
              {{"x-request-id", request_.value()}});
  }

 private:
  std::string text_;
  int64_t tokens_ = 0;
};

class ServiceSink final : public AnswerSink {
 public:
  ServiceSink(HttpResponsePtr response, RequestId request, size_t max_bytes)
      : response_(std::move(response)),
        request_(std::move(request)),
        max_bytes_(max_bytes) {}

  void WriteHead(int status, const std::string& content_type,
                 const std::string& /*stream*/) override {
    status_ = status;
    content_type_ = content_type;
  }

  void WriteChunk(int64_t /*offset*/, std::string text,
                  std::function<void()> sent) override {
    if (body_.size() + text.size() > max_bytes_) {
      too_large_ = true;
    } else {
      body_ += text;
    }
    sent();
  }

  void Finish(int64_t /*total*/) override {
    HttpHeaders headers = {{"x-request-id", request_.value()},
                           {"x-zr-run", "ran"}};
    if (too_large_) {
      SendError(*response_, 502,
                Error{ErrorCode::kTooLarge, "answer", "",
                      "the service's answer is larger than " +
                          std::to_string(max_bytes_) + " bytes"},
                RunState::kRan, std::move(headers));
      return;
    }
    if (!content_type_.empty()) headers["content-type"] = content_type_;
    response_->Send(status_, std::move(headers), std::move(body_));
  }

  void FinishWithError(const FailRequest& failure) override {
    HttpHeaders headers = {{"x-request-id", request_.value()}};
    if (failure.retry_after) {
      headers["retry-after"] =
          std::to_string((failure.retry_after->milliseconds() + 999) / 1000);
    }
    SendError(*response_, failure.status, failure.error, failure.run,
              std::move(headers));
  }

  void Supersede(const Error& error) override {
    SendError(*response_, 409, error, RunState::kMayHaveRun,
              {{"x-request-id", request_.value()}});
  }

  void OnClosed(std::function<void()> closed) override {
    response_->OnClosed(std::move(closed));
  }

 private:
  HttpResponsePtr response_;
  const RequestId request_;
  const size_t max_bytes_;
  int status_ = 200;
  std::string content_type_;
  std::string body_;
  bool too_large_ = false;
};

}  // namespace

std::shared_ptr<AnswerSink> MakeEventSink(HttpResponsePtr response,
                                          AnswerForm form, RequestId request,
                                          std::string model) {
  return std::make_shared<EventSink>(std::move(response), form,
                                     std::move(request), std::move(model));
}

std::shared_ptr<AnswerSink> MakeJsonSink(HttpResponsePtr response,
                                         AnswerForm form, RequestId request,
                                         std::string model) {
  return std::make_shared<JsonSink>(std::move(response), form,
                                    std::move(request), std::move(model));
}

std::shared_ptr<AnswerSink> MakeServiceSink(HttpResponsePtr response,
                                            RequestId request,
                                            size_t max_bytes) {
  return std::make_shared<ServiceSink>(std::move(response), std::move(request),
                                       max_bytes);
}

}  // namespace zr
