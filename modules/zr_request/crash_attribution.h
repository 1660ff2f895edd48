#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Finds out which requests, or which parts of prompts, crash endpoints, from
 * the observations of several VMs.
 *
 * A suspect of a crash is a whole request that was being answered, and, if its
 * answer had not begun, each part of its prompt that other requests may share.
 * The beginning of an answer clears the parts of all crashes before, the end of
 * a complete answer also the whole request.
 *
 * Suspects that endpoints have never answered are blamed first, and among these
 * the suspect of the most crashes, the more specific one if two have the same
 * number. The crashes that it explains do not count against the
 * other suspects, so that what merely shared endpoints with it is not blamed.
 * The verdict is a function of the evidence and is revised with it, in any
 * order of arrival.
 *
 * Merge() returns what has to be sent to the other VMs.
 */
class CrashAttribution {
 public:
  struct Options {
    Duration retention = Duration::Seconds(600);  // of all evidence
    size_t min_crashes = 3;  // that no other suspect explains
    /** Crashes within this span count as one, as after a loss of power. */
    Duration simultaneous = Duration::Milliseconds(50);
    /** Calls that break later than this after a crash were made to an endpoint
     * that was down already. */
    Duration max_break_delay = Duration::Milliseconds(500);
    /** An endpoint that sends later than this after a crash has not crashed;
     * covers the transit of what it sent before. */
    Duration min_alive_delay = Duration::Milliseconds(150);
    /** What an endpoint sends later may come from its next incarnation. */
    Duration max_alive_delay = Duration::Milliseconds(1500);
    size_t max_crashes = 64;     // the oldest are dropped
    size_t max_suspects = 96;    // of a crash
    size_t max_answered = 4096;  // remembered; the oldest half is dropped
  };

  CrashAttribution() : CrashAttribution(Options{}) {}
  explicit CrashAttribution(Options options) : options_(options) {}

  //============================================================================
  // Evidence

  /** What others have to know after a Merge(). */
  struct News {
    CrashEvidence reported;       // what was new to this VM
    CrashEvidence contradicting;  // what this VM has observed itself
  };

  /** Adds observations of this or another VM. */
  News Merge(TimePoint now, const CrashEvidence& evidence);
  /** These suspects are harmless, as an endpoint has answered.
   * @returns what matters to other VMs */
  CrashEvidence OnAnswered(TimePoint now,
                           const std::vector<CrashSuspect>& suspects);
  /** The endpoint sent a part of an answer.
   * @returns what matters to other VMs */
  CrashEvidence OnAlive(TimePoint now, const EndpointId& endpoint,
                        BootNumber boot);
  /** All evidence, for a VM that has just been linked. */
  CrashEvidence Snapshot(TimePoint now) const;

  /** The blame is on record in the store, where it outlives the VMs. */
  void OnRecorded(TimePoint now, Fingerprint fingerprint);
  void OnRecordRemoved(Fingerprint fingerprint);

  //============================================================================
  // Verdicts

  /** Those that must not reach an endpoint. */
  const std::set<Fingerprint>& Blamed(TimePoint now);
  bool IsBlamed(TimePoint now, Fingerprint fingerprint) {
    return Blamed(now).contains(fingerprint);
  }
  /** Number of crashes that count against it, simultaneous ones as one. */
  size_t CountCrashes(Fingerprint fingerprint) const;
  /** Age of the oldest of them; 0 if there is none. */
  Duration OldestCrash(TimePoint now, Fingerprint fingerprint) const;
  size_t crashes() const { return crashes_.size(); }

 private:
  using CrashKey = std::pair<EndpointId, BootNumber>;
  struct Suspicion {
    uint32_t specificity = 0;
    bool answered_before = false;  // the crash
    bool cleared = false;          // answered since the crash
  };
  struct Crash {
    TimePoint time;  // as first observed
    std::map<Fingerprint, Suspicion> suspects;
    bool dismissed = false;  // the endpoint is alive
  };
  struct Record {
    TimePoint since;  // known here
    bool cleared = false;
  };
  /** A suspect's crashes that count against it. */
  struct Case {
    uint32_t specificity = 0;
    bool answered_before = false;
    size_t appearances = 0;  // crashes of which it was a suspect at any time
    std::vector<std::pair<TimePoint, CrashKey>> crashes;
  };

  /** @returns the suspects that are new */
  std::vector<CrashSuspect> AddCrash(TimePoint time,
                                     const SuspectedCrash& crash);
  bool AddAnswered(TimePoint time, Fingerprint fingerprint);
  bool AddAlive(TimePoint time, const CrashKey& key);
  void Remember(TimePoint time, Fingerprint fingerprint);
  TimePoint LastAnswered(Fingerprint fingerprint) const;
  size_t CountSeparate(std::vector<TimePoint> times) const;
  std::vector<TimePoint> CrashTimes(Fingerprint fingerprint) const;
  std::map<Fingerprint, Case> CollectCases() const;
  size_t CountUnexplained(const Case& suspected) const;
  void Revise();
  void Expire(TimePoint now);

  Options options_;
  std::map<CrashKey, Crash> crashes_;
  std::map<Fingerprint, Record> records_;
  // Times of answers, for crashes that are reported after them. The older half
  // is dropped when the newer one is full.
  std::map<Fingerprint, TimePoint> answered_;
  std::map<Fingerprint, TimePoint> answered_before_;
  std::set<Fingerprint> blamed_;
  std::set<CrashKey> explained_;  // by those that are blamed
  bool outdated_ = false;         // evidence has changed since the last verdict
  TimePoint next_expiry_ = TimePoint::Max();
};

/** Those of a request's suspects that are parts of its prompt. */
std::vector<CrashSuspect> PartsOf(const std::vector<CrashSuspect>& suspects);
/** The suspect that is the whole request, or empty. */
std::vector<CrashSuspect> WholeRequestOf(
    const std::vector<CrashSuspect>& suspects);

/** Nothing was observed. */
bool IsEmpty(const CrashEvidence& evidence);
/** Adds the observations of `more`. */
void Append(CrashEvidence& evidence, CrashEvidence more);

}  // namespace zr
