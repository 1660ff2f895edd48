#include "zr_daemon/request/upstream_call.h"

#include <utility>

#include "zr_daemon/endpoint/engine_codec.h"

namespace zr {
namespace {

constexpr size_t kMaxErrorBody = size_t{64} << 10;

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
  auto event = ParseEngineEvent(data);
  if (!event) {
    Log(LogLevel::kWarning, "upstream", event.error());
    Fail(UpstreamFailure::kBroken);
    return;
  }
  offset_ = event->offset + event->tokens;
  Notify([this, piece = std::move(*event)](Listener& listener) mutable {
    listener.OnUpstreamChunk(attempt_, piece.stream_id, piece.offset,
                             piece.tokens, std::move(piece.text));
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
    Fail(not_run_header_ || SaysNotRun(error_body_)
             ? UpstreamFailure::kNotRun
             : UpstreamFailure::kRejected);
  }
}

}  // namespace zr
