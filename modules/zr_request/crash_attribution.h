#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_request/crash_verdict.h"
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
 * The verdict (crash_verdict.h) is a function of the evidence and is revised
 * with it, in any order of arrival.
 *
 * Merge() returns what has to be sent to the other VMs.
 */
class CrashAttribution {
 public:
  struct Options {
    Duration retention = Duration::Seconds(600);  // of all evidence
    VerdictOptions verdict;
    /** Calls that break later than this after a crash were made to an endpoint
     * that was down already. */
    Duration max_break_delay = Duration::Milliseconds(500);
    /** An endpoint that sends later than this after a crash has not crashed;
     * covers the transit of what it sent before. */
    Duration min_alive_delay = Duration::Milliseconds(150);
    /** What an endpoint sends later may come from its next incarnation. */
    Duration max_alive_delay = Duration::Milliseconds(1500);
    /** Of those suspects of a call that endpoints have answered; the ones that
     * were not answered for the longest time are kept. */
    size_t max_answered_suspects = 16;
    /** Simultaneous crashes are dropped first, then the oldest. */
    size_t max_crashes = kMaxTrackedCrashes;
    /** Of a crash; a prompt has as many parts as fit into its headers. */
    size_t max_suspects = 16'384;
    /** Of suspects and calls of all crashes; the oldest are dropped. */
    size_t max_bytes = size_t{6} << 20;
    size_t max_answered = 32'768;  // remembered; the oldest half is dropped
  };

  /** Memory of a suspect of a crash, and of its mention by a call. */
  static constexpr size_t kSuspectBytes = 80;
  static constexpr size_t kMentionBytes = sizeof(Fingerprint);

  CrashAttribution() : CrashAttribution(Options{}) {}
  explicit CrashAttribution(Options options) : options_(options) {}

  //============================================================================
  // Evidence

  /** What others have to know after a Merge(). */
  struct News {
    CrashEvidence reported;       // what was new to this VM
    CrashEvidence contradicting;  // what this VM has observed itself
  };

  /** Those suspects of a call that are evidence if it breaks: all that were
   * never answered, and some that were. */
  std::vector<CrashSuspect> SelectSuspects(
      const std::vector<CrashSuspect>& suspects) const;
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
  /** When the endpoint crashed, if it is known. */
  std::optional<TimePoint> CrashTime(const EndpointId& endpoint,
                                     BootNumber boot) const;
  /** All evidence, for a VM that has just been linked. */
  CrashEvidence Snapshot(TimePoint now) const;

  /** The blame is on record in the store, where it outlives the VMs. */
  void OnRecorded(TimePoint now, const Blame& blame);
  void OnRecordRemoved(const Blame& blame);

  //============================================================================
  // Verdicts

  /** Of requests that must not reach an endpoint. */
  const std::set<Blame>& Blames(TimePoint now);
  /** The blame for which these must not reach an endpoint, or null. */
  const Blame* FindBlame(TimePoint now,
                         const std::vector<CrashSuspect>& suspects);
  /** The same for a call that an endpoint is reading already; more is needed
   * to end it. */
  const Blame* FindCancelled(TimePoint now,
                             const std::vector<CrashSuspect>& suspects);
  /** Number of crashes of which one of them is a suspect, simultaneous ones as
   * one. */
  size_t CountCrashes(const Blame& blame) const;
  /** Age of the oldest of them; 0 if there is none. */
  Duration OldestCrash(TimePoint now, const Blame& blame) const;
  size_t crashes() const { return crashes_.size(); }
  /** Number of verdicts so far; a new one may differ. */
  uint64_t verdicts(TimePoint now) {
    Blames(now);
    return verdicts_;
  }

  /** Evidence that did not fit, since the start. */
  struct Dropped {
    size_t crashes = 0;
    size_t suspects = 0;

    friend bool operator==(const Dropped&, const Dropped&) = default;
  };
  const Dropped& dropped() const { return dropped_; }

 private:
  using CrashKey = std::pair<EndpointId, BootNumber>;
  struct Suspicion {
    bool is_whole_request = false;
    uint32_t specificity = 0;
    bool answered_before = false;  // the crash
    bool cleared = false;          // answered since the crash
  };
  struct Crash {
    TimePoint time;  // as first observed
    std::map<Fingerprint, Suspicion> suspects;
    // Suspects of each call that broke, ascending.
    std::set<std::vector<Fingerprint>> calls;
    size_t bytes = 0;        // of both
    bool dismissed = false;  // the endpoint is alive
  };
  struct Record {
    TimePoint since;  // known here
    std::set<Fingerprint> cleared;
  };

  /** Adds a call that broke.
   * @returns whether it is new */
  bool AddCrash(TimePoint time, const SuspectedCrash& crash);
  void DropCrash(std::map<CrashKey, Crash>::iterator crash);
  /** Drops crashes until the evidence is within its limits.
   * @returns whether `added` was kept */
  bool DropExcess(const CrashKey& added);
  void IndexOpen();
  /** The crash that says least. */
  std::map<CrashKey, Crash>::iterator LeastCrash();
  bool AddAnswered(TimePoint time, Fingerprint fingerprint);
  bool ClearOfCrashes(TimePoint time, Fingerprint fingerprint);
  bool AddAlive(TimePoint time, const CrashKey& key);
  void Remember(TimePoint time, Fingerprint fingerprint);
  TimePoint LastAnswered(Fingerprint fingerprint) const;
  std::vector<TimePoint> CrashTimes(const Blame& blame) const;
  CrashVerdict JudgeEvidence() const;
  /** Number of known crashes of which it is a suspect, cleared or not. */
  size_t CountAppearances(Fingerprint fingerprint) const;
  /** An endpoint has answered it since the last of its known crashes. */
  bool WasAnsweredSince(Fingerprint fingerprint) const;
  bool IsOverruled(const Blame& recorded) const;
  void Revise();
  void Expire(TimePoint now);

  Options options_;
  std::map<CrashKey, Crash> crashes_;
  size_t bytes_ = 0;  // of all crashes
  // Suspects for which an answer may matter.
  std::unordered_set<Fingerprint> open_;
  std::map<Blame, Record> records_;
  // Times of answers, for crashes that are reported after them. The older half
  // is dropped when the newer one is full.
  std::map<Fingerprint, TimePoint> answered_;
  std::map<Fingerprint, TimePoint> answered_before_;
  CrashVerdict verdict_;
  uint64_t verdicts_ = 1;
  Dropped dropped_;
  bool outdated_ = false;  // evidence has changed since the last verdict
  TimePoint next_expiry_ = TimePoint::Max();
};

/** Those of a request's suspects that are parts of its prompt. */
std::vector<CrashSuspect> PartsOf(const std::vector<CrashSuspect>& suspects);
/** The suspect that is the whole request, or empty. */
std::vector<CrashSuspect> WholeRequestOf(
    const std::vector<CrashSuspect>& suspects);

/** Divides evidence into messages of a bounded size, in any order of which the
 * receiver comes to the same verdict. */
std::vector<CrashEvidence> SplitEvidence(CrashEvidence evidence);
/** Nothing was observed. */
bool IsEmpty(const CrashEvidence& evidence);
/** Adds the observations of `more`. */
void Append(CrashEvidence& evidence, CrashEvidence more);

}  // namespace zr
