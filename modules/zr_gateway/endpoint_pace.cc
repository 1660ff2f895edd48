#include "zr_gateway/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace zr {
namespace {

// Rejections within this time answer calls that were sent before the first one
// was known, so they count as one.
constexpr Duration kSameBurst = Duration::Milliseconds(200);
// Time until an endpoint is tried with more calls than it kept when it rejected
// one. At the upper bound an engine that answers a call a second rejects one in
// 16 trials.
constexpr Duration kMinCeilingHold = Duration::Seconds(1);
constexpr Duration kMaxCeilingHold = Duration::Seconds(16);
// A rejection with at least this share of the calls kept before is one at the
// same load.
constexpr double kSameLoadShare = 0.75;
// Calls above the former ceiling that lift the limit.
constexpr double kLiftMargin = 4;
// A limit of which less is used is not raised above the ceiling: the answers
// don't show that the endpoint bears more.
constexpr double kUsedShare = 0.75;
// Factor of the limit after late answers, at most once in an interval, as calls
// that are late together have one cause.
constexpr double kLateFactor = 0.7;
constexpr Duration kLateInterval = Duration::Milliseconds(250);
// Shortest time between a failure and the next probe while callers wait;
// doubles with each failure up to 0.4 s, so that an endpoint that returns is
// found soon, and with each flap up to 1.6 s. A probe that fails costs its
// caller a call.
constexpr Duration kMinProbeGap = Duration::Milliseconds(100);
constexpr int kMaxFailureDoublings = 2;
constexpr double kMaxProbeDoublings = 4;
// A failure within this time after a recovery counts as flapping, and that
// count halves in the same time.
constexpr Duration kFlapWindow = Duration::Seconds(10);

}  // namespace

void EndpointPace::OnStart(double calls) {
  calls_ = std::max(1.0, calls);
  starting_ = true;
  probing_ = false;
  consecutive_ = 0;
  ceiling_ = 0;
  reason_ = Reason::kStart;
}

void EndpointPace::OnInTime(TimePoint now, double start_calls, int in_flight,
                            int slots) {
  last_in_time_ = now;
  consecutive_ = 0;
  if (probing_) {
    probing_ = false;
    last_recovery_ = now;
    const double begin = start_calls / (1 + FlapsAt(now));
    calls_ = std::max({1.0, begin, static_cast<double>(in_flight)});
    reason_ = Reason::kRecovered;
    return;
  }
  if (calls_) Raise(now, in_flight, slots);
}

void EndpointPace::Raise(TimePoint now, int in_flight, int slots) {
  const Duration since = now - last_rejection_;
  const bool used = in_flight >= kUsedShare * *calls_;
  const bool held = ceiling_ > 0 && (since < ceiling_hold_ ||
                                     (!used && since < kMaxCeilingHold));
  const double raised = *calls_ + 1 / (1 + FlapsAt(now));
  if (held) {
    calls_ = std::max(*calls_, std::min(raised, ceiling_));
    return;
  }
  calls_ = raised;
  const double full = std::max(static_cast<double>(slots),
                               ceiling_ > 0 ? ceiling_ + kLiftMargin : 0);
  if (raised < full) return;
  calls_.reset();
  starting_ = false;
  reason_ = Reason::kLifted;
}

void EndpointPace::OnLate(TimePoint now) {
  if (!calls_ || now - last_late_ < kLateInterval) return;
  last_late_ = now;
  calls_ = std::max(1.0, *calls_ * kLateFactor);
  reason_ = Reason::kLate;
}

void EndpointPace::OnRejected(TimePoint now, int kept) {
  const double load = std::max(1.0, static_cast<double>(kept));
  const Duration since = now - last_rejection_;
  if (ceiling_ > 0 && since < kSameBurst) {
    ceiling_ = std::min(ceiling_, load);
  } else {
    const bool same_load = ceiling_ > 0 && since < ceiling_hold_ * 3 &&
                           load >= kSameLoadShare * ceiling_;
    ceiling_hold_ = same_load ? std::min(ceiling_hold_ * 2, kMaxCeilingHold)
                              : kMinCeilingHold;
    ceiling_ = load;
    last_rejection_ = now;
  }
  calls_ = calls_ ? std::min(*calls_, ceiling_) : ceiling_;
  reason_ = Reason::kRejected;
}

void EndpointPace::OnFailed(TimePoint now, int consecutive) {
  const bool flapped = !probing_ && last_recovery_ != TimePoint() &&
                       now - last_recovery_ < kFlapWindow;
  flaps_ = FlapsAt(now) + (flapped ? 1 : 0);
  probing_ = true;
  consecutive_ = consecutive;
  last_failure_ = now;
  reason_ = Reason::kFailed;
}

void EndpointPace::OnHandover(TimePoint now, double calls) {
  // An answer since then says more.
  const bool answers = last_in_time_ != TimePoint() &&
                       now - last_in_time_ < Duration::Seconds(2);
  if (answers) return;
  const double limit = std::max(1.0, calls);
  if (calls_ && *calls_ <= limit) return;
  calls_ = limit;
  reason_ = Reason::kHandover;
}

bool EndpointPace::HasRoom(TimePoint now, int in_flight, int probes) const {
  if (probing_) return probes == 0 && now - last_failure_ >= ProbeGap(now);
  return !calls_ || in_flight < static_cast<int>(*calls_);
}

std::optional<int> EndpointPace::calls() const {
  if (probing_) return 1;
  if (!calls_) return std::nullopt;
  return static_cast<int>(*calls_);
}

double EndpointPace::FlapsAt(TimePoint now) const {
  if (flaps_ <= 0) return 0;
  return flaps_ *
         std::exp2(-(now - last_failure_).seconds() / kFlapWindow.seconds());
}

Duration EndpointPace::ProbeGap(TimePoint now) const {
  const int failures = std::clamp(consecutive_ - 1, 0, kMaxFailureDoublings);
  const double doublings =
      std::min(failures + FlapsAt(now), kMaxProbeDoublings);
  return Duration::Microseconds(static_cast<int64_t>(
      static_cast<double>(kMinProbeGap.microseconds()) * std::exp2(doublings)));
}

const char* ToString(EndpointPace::Reason reason) {
  switch (reason) {
    case EndpointPace::Reason::kNone:
      return "none";
    case EndpointPace::Reason::kStart:
      return "start";
    case EndpointPace::Reason::kLate:
      return "late";
    case EndpointPace::Reason::kRejected:
      return "rejected";
    case EndpointPace::Reason::kFailed:
      return "failed";
    case EndpointPace::Reason::kRecovered:
      return "recovered";
    case EndpointPace::Reason::kHandover:
      return "handover";
    case EndpointPace::Reason::kLifted:
      return "lifted";
  }
  return "unknown";
}

}  // namespace zr
