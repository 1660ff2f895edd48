#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "zr_gateway_host/dispatch_client.h"
#include "zr_gateway_host/gateway_format.h"
#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/limit_exchange.h"
#include "zr_gateway_host/path_exchange.h"
#include "zr_gateway_host/reservation_keeper.h"
#include "zr_gateway_host/suspect_exchange.h"

namespace zr {

/**
 * One request from its arrival to the last byte of its answer: checks route and
 * key, calls endpoints, resumes a broken stream and forwards the answer. Runs
 * on the thread of the io_context; the owner calls Tick() periodically.
 */
template <GatewayFormat Format>
class ForwardedRequest
    : public std::enable_shared_from_this<ForwardedRequest<Format>> {
 public:
  ForwardedRequest(GatewayState& state, CallerRequest request,
                   HttpResponsePtr response, TimePoint arrived);
  ~ForwardedRequest();
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /** Checks the request, then forwards or rejects it. */
  void Start();
  /** Handles the deadline, silent endpoints and placements to be retried. */
  void Tick(TimePoint now);
  /** The process exits at that time: the request has to be answered before. */
  void LimitDeadline(TimePoint latest) {
    deadline_ = std::min(deadline_, latest);
  }
  /** Cuts the answer if its stream is among those that have to be ended. */
  void EndIfOverdue(TimePoint now,
                    const std::vector<ReaderBudget::StreamId>& overdue);
  /** Aborts the request without an answer, when the process exits. */
  void Abandon();

  bool ended() const { return ended_; }
  /** The call in flight in a pool, if any, as reported to its dispatcher. */
  std::optional<InFlightCall> CallIn(TimePoint now, const PoolId& pool) const;

 private:
  /** Forwards events of one call, unless another call has replaced it. */
  class CallListener : public HttpClient::Listener {
   public:
    CallListener(std::weak_ptr<ForwardedRequest> owner, int number)
        : owner_(std::move(owner)), number_(number) {}
    void OnConnected(bool is_new) override {
      if (auto owner = OwnerIfCurrent()) owner->OnConnected(is_new);
    }
    void OnHeaders(int status, const HttpHeaders& headers) override {
      if (auto owner = OwnerIfCurrent()) owner->OnHead(status, headers);
    }
    bool OnData(std::string_view data) override {
      auto owner = OwnerIfCurrent();
      return owner ? owner->OnBody(data) : true;
    }
    void OnEnd(std::optional<ClientFailure> failure) override {
      if (auto owner = OwnerIfCurrent()) owner->OnCallEnd(std::move(failure));
    }

   private:
    std::shared_ptr<ForwardedRequest> OwnerIfCurrent() const {
      auto owner = owner_.lock();
      return owner && owner->call_ && owner->call_->number == number_ ? owner
                                                                      : nullptr;
    }
    std::weak_ptr<ForwardedRequest> owner_;
    int number_;
  };

  /** The call in progress. */
  struct Call {
    explicit Call(BufferBudget& budget) : buffer(budget) {}

    int number = 0;
    PlacementPlan plan;
    TokenCount kv_tokens;                      // prompt and longest answer
    CallResult result = CallResult::kAborted;  // reported to the dispatcher
    TimePoint started;
    TimePoint last_progress;  // headers, bytes of a body or a complete event
    PauseMeter pauses;        // between its own events
    std::optional<AnswerHead> head;
    EventSplitter events;
    std::string body;
    std::optional<BodyBudget::Share> sent_body;  // in flight to the endpoint
    BufferBudget::Share buffer;       // of the body, or of an incomplete event
    bool prefilling = true;           // the prompt has not been read in full
    bool dispatched = false;          // a dispatcher has chosen its endpoints
    std::optional<TunnelVm> through;  // none: this VM's own path
    std::set<VmId> tunnel_vms_tried;
    int connections = 0;             // tried, each on another path
    bool is_new_connection = false;  // no bytes of earlier answers come on it
    bool reserving = false;          // engines have not confirmed their memory
    // When it turned out that the endpoint had dropped the kept connection on
    // which the call was sent first; it was sent again then.
    std::optional<TimePoint> dropped_at;
    std::shared_ptr<HttpCall> handle;
  };

  /** The request waits until this VM, which has just started, can serve. */
  bool HeldAtStartup(TimePoint now) const;
  void Begin(TimePoint now);
  bool Admit(TimePoint now);
  bool AdmitWhileStopping(TimePoint now);
  /** What of a request may crash endpoints: the shared parts of its prompt in
   * order, then the request as a whole. */
  static std::vector<CrashSuspect> SuspectsOf(const CallerRequest& request,
                                              const ServiceName& service,
                                              const TeamId& team);
  /** The request's suspects in the blame, for an error message. */
  std::string DescribeBlame(const Blame& blame) const;
  /** Rejects the request if it is blamed for crashes of endpoints.
   * @returns whether it was rejected */
  bool RejectBlamed(TimePoint now);
  /** A dispatcher places the requests of the service. */
  bool IsDispatched() const;
  void Place(TimePoint now);
  void PlaceByDispatcher(TimePoint now);
  /** This VM has placed as many calls by itself as it may at a time. */
  bool HasMaxLocalCalls() const;
  void OnDispatchReply(TimePoint now, std::optional<DispatchReply> reply);
  void SeekContinuation(TimePoint now);
  void KeepSilentCall(TimePoint now, const char* reason);
  bool EndSilentCall(TimePoint now, const PlacementPlan& plan);
  void PlaceLocally(TimePoint now);
  /** Tells the dispatcher that its last grant isn't used. */
  void ReturnGrant();
  void OnNoEndpoint(TimePoint now, Duration retry_after);
  CallRequirements Requirements(TimePoint now) const;
  /** The endpoint may get the body beside those that are in flight to it. */
  bool BodyFits(const EndpointId& endpoint) const;
  /** Endpoints that were tried or have no room for the body. */
  std::set<EndpointId> ExcludedEndpoints() const;
  CallKey Key() const { return {state_.vm, request_.id, call_->number}; }
  void BeginCall(TimePoint now, PlacementPlan plan, bool dispatched);
  void SendCall(TimePoint now);
  /** No bytes of earlier answers can come on the connection of a call. */
  bool NeedsFreshConnection() const {
    return route_->retry_policy == RetryPolicy::kAtMostOnce;
  }
  void OnReserved(TimePoint now, bool held);
  /** The engines have not begun to use the memory reserved for the call. */
  void OnMemoryIdle();
  void OnConnected(bool is_new);
  /** No connection was made, so nothing was sent: takes another path or fails
   * the call. */
  void OnNotConnected(const std::string& why);
  void OnHead(int status, const HttpHeaders& headers);
  /** Passes on that the endpoint leaves or wants a pause. */
  void NoteNotice(TimePoint now, const AnswerHead& head);
  /** An answer without the id of its request may be the one of the call. A
   * success never may. A failure may come from a part of the endpoint that does
   * not read requests, but on a kept connection it may be an earlier answer,
   * written once more. */
  bool MayBeUnnamed(int status) const;
  /** The answer has the form of the one that has been forwarded in part. */
  bool ContinuesAnswer(const AnswerHead& head) const;
  bool OnBody(std::string_view data);
  /** Further bytes may be read from the endpoint. */
  bool MayRead(size_t bytes);
  void WriteToCaller(std::string bytes);
  /** The caller's connection took bytes of a stream, or failed.
   * @param resume  the stream was paused for its budget and may go on */
  void OnWritten(size_t bytes, bool resume);
  void ForwardEvents();
  void OnCallEnd(std::optional<ClientFailure> failure);
  void CompleteCall();
  bool MayResendCall(TimePoint now) const;
  /** Sends the call once more, on a new connection: only that tells a dropped
   * connection from an endpoint that has crashed. */
  void ResendCall(TimePoint now, const std::string& why);
  /** The connection broke or ended early, as when the endpoint crashes.
   * @param broken  when it did */
  void FailBrokenCall(TimePoint broken, const std::string& why);
  void FailCall(CallFailure failure, CallResult result, const std::string& why);
  void ReleaseCall();
  void RecordFirstEvent();
  void OnCallerDisconnected();
  void Expire(TimePoint now);

  void BeginAnswer();
  void CutAnswer();
  void Finish(const char* outcome, int status);
  void SendOwnAnswer(OwnAnswer answer);
  HttpHeaders AnswerHeaders(HttpHeaders headers) const;
  LogFields CommonFields(TimePoint now) const;
  RetryContext MakeRetryContext(TimePoint now) const;
  bool CanRetryElsewhere(TimePoint now) const;
  Duration SilenceTimeout() const;
  bool IsSilent(TimePoint now) const;
  LogFields FailureFields(TimePoint now, CallFailure failure,
                          const std::string& why) const;
  void CountFailure(CallFailure failure);
  /** What the dispatcher is told when the call ends. */
  CallProgress EndOfCall(TimePoint now) const;
  /** Adds why the request was late, and counts it. */
  void AddLateness(TimePoint now, std::string_view outcome, int status,
                   LogFields& fields);

  GatewayState& state_;
  CallerRequest request_;
  HttpResponsePtr response_;
  TimePoint arrived_;
  TimePoint deadline_;
  GatewayConfigPtr config_;
  const Route* route_ = nullptr;
  const ServicePolicy* service_ = nullptr;
  TeamId team_;
  std::vector<CrashSuspect> suspects_;  // parts in order, then the request
  /** The last verdict that did not reject the request. */
  struct CheckedVerdict {
    uint64_t number = 0;
    bool is_reading = false;  // an endpoint was reading it
    friend bool operator==(const CheckedVerdict&,
                           const CheckedVerdict&) = default;
  };
  CheckedVerdict checked_;

  std::optional<Call> call_;
  std::set<EndpointId> tried_;
  bool held_ = false;      // see HeldAtStartup()
  int calls_started_ = 0;  // includes those whose reservation failed
  int possible_runs_ = 0;
  int dispatch_requests_ = 0;
  bool awaiting_dispatch_ = false;  // a dispatcher has not answered yet
  bool waiting_ = false;            // for an endpoint that accepts the call
  TimePoint placement_began_;       // of the next call
  TimePoint next_seek_;             // of a continuation of a silent call
  TimePoint deferred_until_;        // set by a dispatcher's reply
  int reservation_failures_ = 0;
  std::optional<int64_t> last_event_;  // id of the last event forwarded
  bool answer_started_ = false;
  PauseMeter pauses_;                     // between events that were forwarded
  std::optional<TimePoint> first_event_;  // or the complete plain answer
  std::optional<TimePoint> last_call_started_;  // until the first event
  int failed_calls_ = 0;                        // before it
  EndpointId last_endpoint_;                    // of the last call sent
  std::string content_type_;  // of the answer, if it has started
  bool ended_ = false;
  size_t unsent_bytes_ = 0;  // written, not yet sent to the caller
  bool paused_ = false;      // reading from the endpoint
  std::optional<ReaderBudget::StreamId> reader_;  // of a stream that has begun
};

}  // namespace zr

#include "zr_gateway_host/forwarded_request_impl.h"
// Uses the constants of forwarded_request_impl.h.
#include "zr_gateway_host/forwarded_request_call_impl.h"
#include "zr_gateway_host/forwarded_request_failure_impl.h"
#include "zr_gateway_host/forwarded_request_reader_impl.h"
#include "zr_gateway_host/forwarded_request_suspects_impl.h"
