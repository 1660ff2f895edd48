#pragma once

#include <cstdint>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** How a call to an endpoint failed. */
enum class CallFailure : uint8_t {
  kNotConnected,  // no byte of the request left
  kNotRun,        // the endpoint said that the request has not run
  kBroken,        // the connection broke after bytes of the request were sent
  kSilent,        // no sign of life within the bound
  kErrorAnswer,   // a complete answer with an error status of the endpoint
};

/** A short name for logs. */
const char* ToString(CallFailure failure);

/** What is known of a request when a call of it has failed. */
struct AttemptFacts {
  RepeatRule repeat = RepeatRule::kOnce;
  bool answer_begun = false;   // a part of the answer was forwarded
  int possible_runs = 0;       // calls that ran or may have run, this one too
  int max_runs = 1;            // the route's bound
  int sends = 1;               // calls so far, whatever became of them
  bool time_left = true;       // another call can still be in time
  bool candidate_left = true;  // an endpoint that was not tried takes calls
};

/** What to do after a failed call. */
enum class NextStep : uint8_t {
  kSendAgain,      // to another endpoint; needs the retry budget
  kForwardAnswer,  // the endpoint's own error answer
  kRefuse,         // not run: 503
  kFail,           // may have run: 502
  kCutAnswer,      // the answer had begun and can't be continued
};

/**
 * Decides what follows a failed call. A request that may run once is sent
 * again only if it certainly has not run; a refusal is truthful because
 * kRefuse needs that no call may have run.
 */
NextStep AfterFailure(const AttemptFacts& facts, CallFailure failure);

}  // namespace zr
