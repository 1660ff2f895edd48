#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "zr_gateway_host/dispatch_client.h"
#include "zr_gateway_host/gateway_format.h"
#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/reservation_keeper.h"

namespace zr {

/**
 * One request from its arrival to the last byte of its answer: the check of
 * route and key, calls to endpoints, resumption of a broken stream, and the
 * answer. Runs on the thread of the io_context; the owner calls Tick() often.
 */
template <GatewayFormat Format>
class ForwardedRequest
    : public std::enable_shared_from_this<ForwardedRequest<Format>> {
 public:
  ForwardedRequest(GatewayState& state, CallerRequest request,
                   HttpResponsePtr response, TimePoint arrived);
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /** Checks the request and sends it on, or answers it. */
  void Start();
  /** Runs what is due: the deadline, a silent endpoint, a later placement. */
  void Tick(TimePoint now);
  /** Gives the request up without an answer; for a process that ends. */
  void Abandon();

  bool ended() const { return ended_; }
  /** The call in progress, for a dispatcher that doesn't know it. */
  std::optional<InFlightCall> Held(TimePoint now, const PoolId& pool) const;

 private:
  /** Forwards one call's answer; ignored once the call is no longer current. */
  class CallListener : public HttpClient::Listener {
   public:
    CallListener(std::weak_ptr<ForwardedRequest> owner, int number)
        : owner_(std::move(owner)), number_(number) {}
    void OnHeaders(int status, const HttpHeaders& headers) override {
      if (auto owner = Current()) owner->OnHead(status, headers);
    }
    bool OnData(std::string_view data) override {
      auto owner = Current();
      return owner ? owner->OnBody(data) : true;
    }
    void OnEnd(std::optional<ClientFailure> failure) override {
      if (auto owner = Current()) owner->OnCallEnd(std::move(failure));
    }

   private:
    std::shared_ptr<ForwardedRequest> Current() const {
      auto owner = owner_.lock();
      return owner && owner->call_ && owner->call_->number == number_ ? owner
                                                                      : nullptr;
    }
    std::weak_ptr<ForwardedRequest> owner_;
    int number_;
  };

  /** The call in progress. */
  struct Call {
    int number = 0;
    PlacementPlan plan;
    TokenCount held;
    CallResult sign =
        CallResult::kAborted;  // told to the dispatcher at the end
    TimePoint started;
    TimePoint last_byte;
    std::optional<AnswerHead> head;
    EventSplitter events;
    std::string body;
    bool reading = true;     // the prompt has not been read in full
    bool reserving = false;  // engines have not confirmed their memory yet
    std::shared_ptr<HttpCall> handle;
  };

  bool Admit();
  bool AdmitWhileStopping(TimePoint now);
  void Place(TimePoint now);
  void PlaceByDispatcher(TimePoint now);
  void OnPlaced(TimePoint now, std::optional<DispatchReply> placed);
  void PlaceLocally(TimePoint now);
  void NoEndpoint(TimePoint now, Duration retry_after);
  CallRequirements Needs(TimePoint now) const;
  CallKey Key() const { return {state_.vm, request_.id, call_->number}; }
  void Send(TimePoint now, PlacementPlan plan);
  void Transmit(TimePoint now);
  void OnReserved(TimePoint now, bool held);
  void OnHead(int status, const HttpHeaders& headers);
  bool OnBody(std::string_view data);
  void ForwardEvents();
  void OnCallEnd(std::optional<ClientFailure> failure);
  void CompleteCall();
  void FailCall(CallFailure failure, CallResult sign, const std::string& why);
  void ReleaseCall();
  void NotePromptRead();
  void OnCallerGone();
  void Expire(TimePoint now);

  void BeginAnswer();
  void Finish(const char* outcome, int status);
  void SendOwn(OwnAnswer answer);
  HttpHeaders AnswerHeaders(HttpHeaders headers) const;
  LogFields Fields(TimePoint now) const;
  RetryContext Facts(TimePoint now) const;
  bool CanGoOnElsewhere(TimePoint now) const;
  Duration SilenceBound() const;

  GatewayState& state_;
  CallerRequest request_;
  HttpResponsePtr response_;
  TimePoint arrived_;
  TimePoint deadline_;
  GatewayConfigPtr config_;
  const Route* route_ = nullptr;
  const ServicePolicy* service_ = nullptr;
  TeamId team_;

  std::optional<Call> call_;
  std::set<EndpointId> tried_;
  int sends_ = 0;
  int possible_runs_ = 0;
  int asks_ = 0;  // of dispatchers
  const char* placed_by_ = "";
  bool asking_ = false;    // a dispatcher has not answered yet
  bool waiting_ = false;   // for an endpoint that takes a call
  TimePoint place_began_;  // the search for the next call's endpoint
  TimePoint wait_until_;   // a dispatcher let others go first; ask again then
  int reserve_failures_ = 0;
  std::optional<CallFailure> last_failure_;
  std::optional<int64_t> last_event_;  // forwarded
  bool answer_begun_ = false;
  bool ended_ = false;
  size_t unsent_bytes_ = 0;  // handed to the server and not yet sent
  bool paused_ = false;
};

}  // namespace zr

#include "zr_gateway_host/forwarded_request_impl.h"
// After the constants of the file above.
#include "zr_gateway_host/forwarded_request_call_impl.h"
