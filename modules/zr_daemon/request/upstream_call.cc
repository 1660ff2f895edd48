#include "zr_daemon/request/upstream_call.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zr {
namespace {

constexpr size_t kMaxErrorBody = size_t{64} << 10;

bool IsNotRunReply(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object()) {
    return false;
  }
  return json["error"].value("run", "") == "not-run";
}

}  // namespace

UpstreamCall::UpstreamCall(Strand strand, std::weak_ptr<Listener> listener,
                           AttemptNumber attempt, std::string stream_id,
                           UpstreamFormat format, bool resume)
    : strand_(std::move(strand)),
      listener_(std::move(listener)),
      attempt_(attempt),
      stream_id_(std::move(stream_id)),
      format_(format),
      resume_(resume) {}

template <typename F>
void UpstreamCall::Notify(F call) {
  asio::post(strand_,
             [self = shared_from_this(), call = std::move(call)]() mutable {
               if (self->closed_) return;
               if (auto listener = self->listener_.lock()) call(*listener);
             });
}

void UpstreamCall::Start(HttpClient& client, ClientRequest request) {
  call_ = client.Start(std::move(request), shared_from_this());
}

void UpstreamCall::Pause(bool paused) {
  paused_ = paused;
  if (!paused && call_) call_->Resume();
}

void UpstreamCall::Close() {
  closed_ = true;
  if (call_) call_->Cancel();
}

void UpstreamCall::OnHeaders(int status, const HttpHeaders& headers) {
  status_ = status;
  auto run = headers.find("x-zr-run");
  not_run_header_ = run != headers.end() && run->second == "not-run";
  if (format_ == UpstreamFormat::kEngineStream && status != 200) return;
  if (status == 503 && not_run_header_) return;
  auto type = headers.find("content-type");
  Notify([attempt = attempt_, status,
          content_type = type == headers.end() ? std::string() : type->second](
             Listener& listener) {
    listener.OnUpstreamHeaders(attempt, status, content_type);
  });
}

bool UpstreamCall::OnData(std::string_view data) {
  if (closed_) return true;
  const bool is_error = format_ == UpstreamFormat::kEngineStream
                            ? status_ != 200
                            : status_ == 503 && not_run_header_;
  if (is_error) {
    if (error_body_.size() < kMaxErrorBody) error_body_ += data;
    return true;
  }
  if (paused_) return false;
  if (format_ == UpstreamFormat::kPlain) {
    const int64_t offset = offset_;
    offset_ += static_cast<int64_t>(data.size());
    Notify(
        [this, offset, text = std::string(data)](Listener& listener) mutable {
          const auto size = static_cast<int64_t>(text.size());
          listener.OnUpstreamChunk(attempt_, stream_id_, offset, size,
                                   std::move(text));
        });
    return true;
  }
  if (!parser_.Feed(data)) {
    Fail(UpstreamFailure::kBroken);
    return true;
  }
  while (auto event = parser_.Next()) HandleEvent(*event);
  return true;
}

void UpstreamCall::HandleEvent(const std::string& data) {
  if (finished_) return;
  if (data == "[DONE]") {
    finished_ = true;
    Notify([this, total = offset_](Listener& listener) {
      listener.OnUpstreamDone(attempt_, total);
    });
    return;
  }
  const auto json = nlohmann::json::parse(data, nullptr, false);
  if (!json.is_object() || !json.contains("id") || !json["id"].is_string() ||
      !json.contains("offset") || !json["offset"].is_number_integer()) {
    Fail(UpstreamFailure::kBroken);
    return;
  }
  const auto offset = json["offset"].get<int64_t>();
  int64_t tokens = 1;
  if (auto it = json.find("tokens");
      it != json.end() && it->is_number_integer()) {
    tokens = it->get<int64_t>();
  }
  std::string text;
  if (auto it = json.find("choices");
      it != json.end() && it->is_array() && !it->empty()) {
    text = (*it)[0].value("text", "");
  }
  offset_ = offset + tokens;
  Notify([this, id = json["id"].get<std::string>(), offset, tokens,
          text = std::move(text)](Listener& listener) mutable {
    listener.OnUpstreamChunk(attempt_, id, offset, tokens, std::move(text));
  });
}

void UpstreamCall::Fail(UpstreamFailure failure) {
  if (std::exchange(finished_, true)) return;
  Notify([this, failure, status = status_](Listener& listener) {
    listener.OnUpstreamFailed(attempt_, failure, status);
  });
}

void UpstreamCall::OnEnd(std::optional<ClientFailure> failure) {
  if (finished_) return;
  if (failure) {
    Fail(failure->request_sent ? UpstreamFailure::kBroken
                               : UpstreamFailure::kNotRun);
  } else if (format_ == UpstreamFormat::kPlain) {
    if (status_ == 503 && not_run_header_) {
      return Fail(UpstreamFailure::kNotRun);
    }
    finished_ = true;
    Notify([this, total = offset_](Listener& listener) {
      listener.OnUpstreamDone(attempt_, total);
    });
  } else if (status_ == 200) {
    // The stream ended without [DONE].
    Fail(UpstreamFailure::kBroken);
  } else if (resume_ && status_ == 404) {
    Fail(UpstreamFailure::kNoStream);
  } else {
    Fail(not_run_header_ || IsNotRunReply(error_body_)
             ? UpstreamFailure::kNotRun
             : UpstreamFailure::kRejected);
  }
}

}  // namespace zr
