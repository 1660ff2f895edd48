#include "zr_gateway/attempt_rules.h"

namespace zr {
namespace {

// Limit of calls for one request regardless of their results. Bounds the load
// that rejected calls put on the endpoints.
constexpr int kMaxSends = 3;

}  // namespace

const char* ToString(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotConnected:
      return "not connected";
    case CallFailure::kNotRun:
      return "not run";
    case CallFailure::kBroken:
      return "connection broken";
    case CallFailure::kSilent:
      return "silent";
    case CallFailure::kErrorAnswer:
      return "error answer";
  }
  return "unknown";
}

NextStep AfterFailure(const AttemptFacts& facts, CallFailure failure) {
  const bool may_run_again =
      facts.possible_runs == 0 || (facts.repeat != RepeatRule::kOnce &&
                                   facts.possible_runs < facts.max_runs);
  const bool continuable =
      !facts.answer_begun || facts.repeat == RepeatRule::kResumable;
  if (may_run_again && continuable && facts.sends < kMaxSends &&
      facts.time_left && facts.candidate_left) {
    return NextStep::kSendAgain;
  }
  if (facts.answer_begun) return NextStep::kCutAnswer;
  if (failure == CallFailure::kErrorAnswer) return NextStep::kForwardAnswer;
  return facts.possible_runs == 0 ? NextStep::kRefuse : NextStep::kFail;
}

}  // namespace zr
