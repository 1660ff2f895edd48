#pragma once

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/answer_sink.h"
#include "zr_daemon/request/upstream_call.h"
#include "zr_request/zr_request.h"

namespace zr {

/** Content of the calls that a request makes to endpoints. */
struct UpstreamTemplate {
  // Model calls.
  std::string model;
  std::string prompt;
  // Calls of plain services.
  std::string method = "POST";
  std::string path;  // with query
  HttpHeaders headers;
  std::string body;
};

/**
 * Runs the RequestMachine of one request on a strand and executes its actions:
 * messages, the upstream call and the answer to the caller.
 */
class RequestHost : public UpstreamCall::Listener,
                    public std::enable_shared_from_this<RequestHost> {
 public:
  RequestHost(NodeContext& context, RequestOptions options,
              UpstreamTemplate upstream, RetryBudget& budget,
              std::shared_ptr<AnswerSink> sink);
  ~RequestHost() override;
  RequestHost(const RequestHost&) = delete;
  RequestHost& operator=(const RequestHost&) = delete;

  //============================================================================
  // Thread-safe

  void Start();
  /** Passes an event to the machine on the strand and executes the resulting
   * actions. */
  void Post(std::function<RequestActions(TimePoint, RequestMachine&)> event);
  void OnGrant(Grant grant);
  void OnRefusal(Refusal refusal);
  /**
   * Directs the answer to the sink of another call with the same id.
   * @param on_refused  called on the strand if the call does not match this
   * request
   */
  void Reattach(TeamId team, Fingerprint fingerprint, int64_t offset,
                std::string stream, std::shared_ptr<AnswerSink> sink,
                std::function<void(Error)> on_refused);

  const RequestId& id() const { return id_; }
  const TeamId& team() const { return team_; }
  Fingerprint fingerprint() const { return fingerprint_; }
  const std::vector<PrefixHash>& prefixes() const { return prefixes_; }
  /** Where the request runs, as of the last event. */
  StreamLocation Location() const;

 private:
  // UpstreamCall::Listener
  void OnUpstreamHeaders(AttemptNumber attempt, int status,
                         const std::string& content_type) override;
  void OnUpstreamChunk(AttemptNumber attempt, const std::string& stream_id,
                       int64_t offset, int64_t tokens,
                       std::string text) override;
  void OnUpstreamDone(AttemptNumber attempt, int64_t total) override;
  void OnUpstreamFailed(AttemptNumber attempt, UpstreamFailure failure,
                        int status) override;

  void Perform(const RequestActions& actions);
  void ScheduleWakeup();
  void BindSink();

  void Execute(const SelectCandidates& action);
  void Execute(const SendToVm& action);
  void Execute(const StartUpstream& action);
  void Execute(const ResumeUpstream& action);
  void Execute(const DetachUpstream& action);
  void Execute(const CancelUpstream& action);
  void Execute(const PauseUpstream& action);
  void Execute(const LocateStream& action);
  void Execute(const EmitHead& action);
  void Execute(const EmitChunk& action);
  void Execute(const FinishAnswer& action);
  void Execute(const FailRequest& action);
  void Execute(const SupersedeCaller& action);
  void Execute(const ReportSuspect& action);
  void Execute(const RequestSuspectLease& action);
  void Execute(const ReleaseSuspectLease& action);
  void Execute(const GatherRequest& action);
  void Execute(const CancelGather& action);

  void OpenUpstream(const EndpointId& endpoint, AttemptNumber attempt,
                    const std::string& stream_id, ClientRequest request,
                    bool resume);
  ClientRequest MakeModelRequest(const StartUpstream& action,
                                 const EndpointInfo& info) const;
  ClientRequest MakeServiceRequest(const EndpointInfo& info) const;
  bool IsModel() const { return pool_kind_ == PoolKind::kModel; }
  void CloseUpstream();
  void OnGatherGrant(const Grant& grant, TimePoint received);
  std::optional<VmId> GatherCoordinatorVm() const;
  void CreateImports(const StartUpstream& action);
  void DeleteImports();
  MetricLabels ClassLabels() const;

  NodeContext& context_;
  const RequestId id_;
  const TeamId team_;
  const Fingerprint fingerprint_;
  const std::vector<PrefixHash> prefixes_;
  const PoolKind pool_kind_;
  Strand strand_;
  asio::steady_timer wakeup_;
  RequestMachine machine_;
  UpstreamTemplate upstream_;
  std::shared_ptr<AnswerSink> sink_;
  uint64_t sink_generation_ = 0;
  std::shared_ptr<UpstreamCall> call_;
  std::string content_type_;
  size_t unsent_bytes_ = 0;  // passed to the sink, but not sent yet
  bool blocked_ = false;
  bool removed_ = false;
  bool finished_ = false;
  // URLs of the imports at the other members of a gather.
  std::vector<std::string> imports_;

  TimePoint arrived_at_;
  TimePoint requested_at_;
  TimePoint last_chunk_at_;
  bool first_chunk_sent_ = false;
  EndpointId requested_endpoint_;
  DomainId requested_domain_;

  mutable std::mutex location_mutex_;
  StreamLocation location_;
};

}  // namespace zr
