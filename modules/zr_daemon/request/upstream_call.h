#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/sse.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Format of an upstream answer. */
enum class UpstreamFormat { kEngineStream, kPlain };

/**
 * One HTTP call to an endpoint; decodes the answer into chunks. The listener is
 * called on the given strand, and not after Close().
 */
class UpstreamCall : public HttpClient::Listener,
                     public std::enable_shared_from_this<UpstreamCall> {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnUpstreamHeaders(AttemptNumber attempt, int status,
                                   const std::string& content_type) = 0;
    /** @param offset  tokens (engine) or bytes (plain service) before this
     * chunk */
    virtual void OnUpstreamChunk(AttemptNumber attempt,
                                 const std::string& stream_id, int64_t offset,
                                 int64_t tokens, std::string text) = 0;
    virtual void OnUpstreamDone(AttemptNumber attempt, int64_t total) = 0;
    virtual void OnUpstreamFailed(AttemptNumber attempt,
                                  UpstreamFailure failure, int status) = 0;
  };

  UpstreamCall(Strand strand, std::weak_ptr<Listener> listener,
               AttemptNumber attempt, std::string stream_id,
               UpstreamFormat format, bool resume);
  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  void Start(HttpClient& client, ClientRequest request);
  void Pause(bool paused);
  /** Closes the connection. An engine keeps the stream for a while, so that it
   * can be resumed. */
  void Close();

 private:
  void OnHeaders(int status, const HttpHeaders& headers) override;
  bool OnData(std::string_view data) override;
  void OnEnd(std::optional<ClientFailure> failure) override;

  void HandleEvent(const std::string& data);
  void Fail(UpstreamFailure failure);
  template <typename F>
  void Notify(F call);

  const Strand strand_;
  const std::weak_ptr<Listener> listener_;
  const AttemptNumber attempt_;
  const std::string stream_id_;
  const UpstreamFormat format_;
  const bool resume_;
  std::shared_ptr<HttpCall> call_;
  std::atomic<bool> paused_{false};
  std::atomic<bool> closed_{false};

  // Used on the HTTP client's strand only.
  SseParser parser_;
  std::string error_body_;
  int status_ = 0;
  bool not_run_header_ = false;
  int64_t offset_ = 0;
  bool finished_ = false;
};

}  // namespace zr
