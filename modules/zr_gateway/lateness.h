#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_tracker.h"

namespace zr {

/** Why an answer was late. */
enum class Lateness : uint8_t {
  kInTime,
  kWait,     // the request waited for an endpoint before its call
  kPrefill,  // its call took too long to produce the first event
  kPause,    // a pause between two events was too long
  kRetry,    // an earlier call of the request had failed
};

/** Word for a log line or a metric label: "wait", "prefill", "pause", "retry";
 * empty if in time. */
const char* ToString(Lateness lateness);

/** What is known of a request when it ends. */
struct RequestTimes {
  TimePoint arrived;
  /** Start of the call that produced the first event, or of the last call if
   * there was no first event; none if no call was sent. */
  std::optional<TimePoint> call_started;
  /** First event of a stream, or the complete answer otherwise; the end of the
   * request if there was neither. */
  TimePoint first_event;
  int failed_calls = 0;                // before the first event
  Duration longest_pause;              // between two events
  bool pause_had_failed_call = false;  // a call failed within that pause
  friend auto operator<=>(const RequestTimes&, const RequestTimes&) = default;
};

/**
 * Determines why a request was late, for load in which answers are late by
 * different causes. A late first event counts before a long pause, because it
 * came first. Of a late first event without failed calls, the longer part
 * counts: the wait for an endpoint or the call.
 *
 * @param latency_objective  until the first event, from the arrival at this VM
 * @param gap_objective  longest pause allowed, if any
 */
Lateness ClassifyLateness(const RequestTimes& times, Duration latency_objective,
                          std::optional<Duration> gap_objective);

/** Finds the longest pause between the events of a stream. */
class PauseMeter {
 public:
  /** @param endpoint  the endpoint that sent the event */
  void OnEvent(TimePoint now, const EndpointId& endpoint);
  /** The stream stopped before its end; the pause since the last event counts
   * although no event ended it. */
  void OnBroken(TimePoint now) { Measure(now); }
  /** A call failed, so another one has to go on with the stream. */
  void OnCallFailed() { call_failed_ = true; }
  /** Excludes the time since the last event, which the caller took to read. */
  void OnCallerRead(TimePoint now);

  /** 0 before the second event. */
  Duration longest() const { return longest_; }
  /** End of the longest pause. */
  TimePoint ended() const { return ended_; }
  /** The endpoint whose next event was missing in the longest pause. */
  const EndpointId& endpoint() const { return endpoint_; }
  /** A call failed within the longest pause. */
  bool had_failed_call() const { return had_failed_call_; }

 private:
  void Measure(TimePoint now);

  std::optional<TimePoint> last_event_;
  EndpointId last_endpoint_;
  bool call_failed_ = false;  // since the last event
  Duration longest_;
  TimePoint ended_;
  EndpointId endpoint_;
  bool had_failed_call_ = false;
};

/** A pause longer than a caller allows, and the load beside it. */
struct LongPause {
  EndpointId endpoint;
  Duration pause;
  /** Prefill placed at the endpoint that was unfinished within the pause. */
  double prefill_ms = 0;
  int streams = 0;  // calls with a slot when the call's end was reported
  friend auto operator<=>(const LongPause&, const LongPause&) = default;
};

/**
 * Remembers which prompts a dispatcher had placed at an endpoint, to explain
 * pauses that VMs report after the fact. Keeps prompts for 15 s, the longest
 * time limit of a request, and at most 4,096: 30 s of a pool that gets 130
 * requests/s.
 */
class PauseHistory {
 public:
  static constexpr Duration kHistory = Duration::Seconds(15);
  static constexpr size_t kMaxPrompts = 4096;

  /** A call's prefill ends; called before the tracker learns of it. */
  void OnPrefillEnded(TimePoint now, const EndpointTracker& tracker,
                      const CallEndpoints& endpoints, const CallKey& key);
  /** A call has ended; called before the tracker learns of it.
   * @returns its longest pause, if that exceeds what its caller allows */
  std::optional<LongPause> OnCallEnded(TimePoint now,
                                       const EndpointTracker& tracker,
                                       const EndpointId& endpoint,
                                       const CallKey& key,
                                       const CallProgress& progress) const;

  size_t size() const { return prompts_.size(); }

 private:
  struct Prompt {
    EndpointId endpoint;
    CallKey key;
    TimePoint placed;
    TimePoint ended;
    double prefill_ms = 0;
  };

  std::deque<Prompt> prompts_;  // by time of their end
};

}  // namespace zr
