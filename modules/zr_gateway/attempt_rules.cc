#include "zr_gateway/attempt_rules.h"

namespace zr {
namespace {

// Limit of calls for one request regardless of their results. Bounds the load
// that rejected calls put on the endpoints.
constexpr int kMaxSends = 3;
// The same for the rest of an answer that has begun; its caller can't repeat
// the request, so it waits for an endpoint with room.
constexpr int kMaxSendsAfterBegin = 8;

}  // namespace

const char* ToString(CallFailure cause) {
  switch (cause) {
    case CallFailure::kNotConnected:
      return "not connected";
    case CallFailure::kNotRun:
      return "not run";
    case CallFailure::kConnectionBroken:
      return "connection broken";
    case CallFailure::kTimedOut:
      return "silent";
    case CallFailure::kErrorAnswer:
      return "error answer";
  }
  return "unknown";
}

FailureAction DecideAfterFailure(const RetryContext& context,
                                 CallFailure cause) {
  const bool may_run_again =
      context.possible_runs == 0 ||
      (context.retry_policy != RetryPolicy::kAtMostOnce &&
       context.possible_runs < context.max_runs);
  const bool continuable = !context.answer_started ||
                           context.retry_policy == RetryPolicy::kResumable;
  const int max_sends =
      context.answer_started ? kMaxSendsAfterBegin : kMaxSends;
  if (may_run_again && continuable && context.sends < max_sends &&
      context.time_left && context.candidate_left) {
    return FailureAction::kRetry;
  }
  if (context.answer_started) return FailureAction::kCutAnswer;
  if (cause == CallFailure::kErrorAnswer) return FailureAction::kForwardAnswer;
  return context.possible_runs == 0 ? FailureAction::kRefuse
                                    : FailureAction::kFail;
}

}  // namespace zr
