#pragma once

#include <cstdint>
#include <optional>

#include "zr_base/zr_base.h"

namespace zr {

/** How the load of starting, slow and failing endpoints is bounded. */
enum class PaceMode : uint8_t {
  kFixed,    // by fixed rates and back-off times
  kLearned,  // by EndpointPace
};

/**
 * Number of calls that an endpoint may have at once, learned from its answers.
 * Handles endpoints that start, reject calls, fail or flap.
 *
 * - An endpoint is not limited until there is a reason.
 * - One that starts is limited; each answer in time allows a further call, a
 *   late one fewer calls, until the limit reaches its slots and is lifted.
 * - A rejection limits it to the calls that it has kept. It may get more again
 *   after a pause that doubles each time it rejects at the same load, as each
 *   trial costs a rejected call.
 * - One that fails gets a single call at a time, a probe, until one is
 *   answered. Probes of one that keeps failing, or fails again soon after it
 *   had recovered, are further apart, and its limit then rises more slowly.
 *
 * At least one call at a time is always allowed, so that callers can wait for
 * no endpoint that would answer.
 */
class EndpointPace {
 public:
  /** Limit of an endpoint that starts, if nothing is known of its pool. */
  static constexpr double kMinStartCalls = 2;

  /** Why the limit changed, for the log. */
  enum class Reason : uint8_t {
    kNone,
    kStart,
    kLate,
    kRejected,
    kFailed,
    kRecovered,
    kHandover,
    kLifted,
  };

  //============================================================================
  // Events

  /** The endpoint has started. @param calls  limit to begin with */
  void OnStart(double calls);
  /** An answer began in the forecast time, or ended without a forecast.
   * @param start_calls  limit to begin with after failures
   * @param in_flight  calls at the endpoint that occupy a slot */
  void OnInTime(TimePoint now, double start_calls, int in_flight, int slots);
  /** An answer began later than forecast. */
  void OnLate(TimePoint now);
  /** @param kept  other calls that the endpoint has */
  void OnRejected(TimePoint now, int kept);
  /** A call failed, or was silent. @param consecutive  failures in a row */
  void OnFailed(TimePoint now, int consecutive);
  /** Another VM has found this limit. */
  void OnHandover(TimePoint now, double calls);

  //============================================================================
  // Queries

  /** Whether one more call is allowed.
   * @param in_flight  calls that occupy a slot
   * @param probes  those of them that began after the last failure */
  bool HasRoom(TimePoint now, int in_flight, int probes) const;
  /** The endpoint has failed and not answered since. */
  bool probing() const { return probing_; }
  /** It has started and its limit has not been lifted since. */
  bool starting() const { return starting_; }
  TimePoint last_failure() const { return last_failure_; }
  TimePoint last_in_time() const { return last_in_time_; }
  /** Calls at once; nothing if not limited. */
  std::optional<int> calls() const;
  /** Reason of the last change. */
  Reason reason() const { return reason_; }

 private:
  /** Recent failures soon after a recovery; decays. */
  double FlapsAt(TimePoint now) const;
  Duration ProbeGap(TimePoint now) const;
  void Raise(TimePoint now, int in_flight, int slots);

  std::optional<double> calls_;
  bool probing_ = false;
  bool starting_ = false;
  int consecutive_ = 0;  // failures
  double flaps_ = 0;     // at the last failure
  double ceiling_ = 0;   // calls kept at the last rejection; 0 if none
  Duration ceiling_hold_;
  TimePoint last_rejection_;
  TimePoint last_failure_;
  TimePoint last_recovery_;
  TimePoint last_in_time_;
  TimePoint last_late_;
  Reason reason_ = Reason::kNone;
};

/** Name for logs. */
const char* ToString(EndpointPace::Reason reason);

}  // namespace zr
