#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"
#include "zr_daemon/request/request_host.h"

namespace zr {

/** HTTP API for callers. Handle() is thread-safe. */
class CallerApi {
 public:
  explicit CallerApi(NodeContext& context) : context_(context) {}
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  void Handle(HttpRequest request, HttpResponsePtr response);

 private:
  /** Parsed headers of a call, with the policies that apply to it. */
  struct Call {
    std::shared_ptr<const ClusterSnapshot> snapshot;
    const TeamPolicy* team = nullptr;
    const ClassPolicy* request_class = nullptr;
    RequestId id;
    bool id_given = false;
    Duration deadline;
    int64_t resume_offset = 0;
    std::string resume_stream;
  };
  /** Parsed body of a model call. */
  struct ModelBody {
    std::string model;
    std::string prompt;
    int64_t prompt_tokens = 0;  // 0: not given
    int64_t max_tokens = 0;     // 0: not given
    bool stream = false;
  };

  void HandleModel(const HttpRequest& request, const HttpResponsePtr& response,
                   bool chat);
  void HandleService(const HttpRequest& request,
                     const HttpResponsePtr& response);
  void StartOperation(RequestOptions options, UpstreamTemplate upstream,
                      std::string_view key, const HttpResponsePtr& response);
  bool AdmitTeam(const RequestOptions& options, HttpResponse& response);
  void HandleHealth(const HttpRequest& request, HttpResponse& response);

  Result<Call> ParseCall(const HttpRequest& request) const;
  static Result<ModelBody> ParseModelBody(const std::string& body, bool chat);
  Result<RequestOptions> MakeModelOptions(const Call& call,
                                          const ModelBody& body) const;
  void StartOrReattach(RequestOptions options, UpstreamTemplate upstream,
                       std::shared_ptr<AnswerSink> sink,
                       const HttpResponsePtr& response);

  NodeContext& context_;
};

}  // namespace zr
