#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "standins/common/host.h"
#include "zinniarill_load/load_plan.h"
#include "zinniarill_load/load_results.h"
#include "zinniarill_load/load_targets.h"

namespace zr {

/** What all calls of one thread share. */
struct LoadCallContext {
  asio::io_context& io;
  std::shared_ptr<HttpClient> client;
  std::shared_ptr<LoadBalancer> balancer;
  const LoadScenario& scenario;
  LoadResults& results;
  TimePoint start;       // of the run
  int max_attempts = 1;  // more than one: call again with the same id after a
                         // broken connection
  std::function<void()> ended;
};

/** Microseconds on the monotonic clock. */
TimePoint MonotonicNow();

/** One caller: sends a call, checks its answer, and reattaches after a broken
 * connection. */
class LoadCall : public HttpClient::Listener,
                 public std::enable_shared_from_this<LoadCall> {
 public:
  LoadCall(LoadCallContext& context, const PlannedCall& plan);

  /** Sends the call now. */
  void Begin();

  void OnHeaders(int status, const HttpHeaders& headers) override;
  bool OnData(std::string_view data) override;
  void OnEnd(std::optional<ClientFailure> failure) override;

 private:
  void SendAttempt();
  ClientRequest BuildRequest() const;
  void ReadEvents();
  void ReadEvent(std::string_view event);
  void TakeText(std::string_view text);
  void JudgeWholeBody();
  void JudgeEnd(const std::optional<ClientFailure>& failure);
  bool TryAgain();
  void Finish(CallOutcome outcome, std::string detail);
  void FinishRefused(const std::string& run, std::string detail);
  Duration SinceIntended() const;

  LoadCallContext& context_;
  const PlannedCall& plan_;
  const LoadClass& class_;
  std::string expected_;  // whole answer
  size_t received_ = 0;   // bytes of the answer received and verified
  int64_t tokens_ = 0;    // whole tokens among them
  std::string buffer_;    // unread part of the response
  int status_ = 0;
  std::string run_header_;
  bool done_event_ = false;
  bool ended_ = false;
  int attempts_ = 0;
  Duration delay_;  // one way to the present target
  std::optional<Duration> first_token_;
  std::optional<TimePoint> last_token_at_;
};

}  // namespace zr
