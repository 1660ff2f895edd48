#pragma once

#include <bitset>
#include <map>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Suspects of which the evidence does not tell which one crashes endpoints. A
 * request that has all of them must not reach an endpoint. One that lacks some
 * of them may: the answer to it, or further crashes, tell them apart.
 */
using Blame = std::set<Fingerprint>;

inline constexpr size_t kMaxTrackedCrashes = 64;
/** Crashes by number. */
using CrashSet = std::bitset<kMaxTrackedCrashes>;

/** A suspect and its crashes that count against it. */
struct CrashCase {
  bool is_whole_request = false;
  bool answered_before = false;  // one of the crashes
  CrashSet crashes;

  friend bool operator==(const CrashCase&, const CrashCase&) = default;
};

/** What broke with a crash. */
struct CrashedCalls {
  TimePoint time;
  std::vector<std::vector<Fingerprint>> calls;  // suspects of each, ascending

  friend bool operator==(const CrashedCalls&, const CrashedCalls&) = default;
};

struct VerdictOptions {
  size_t min_crashes = 3;  // of a blame
  /** Crashes of one suspect without another that tell the two apart. */
  size_t min_separating = 2;
  /** Crashes within this span count as one, as after a loss of power. */
  Duration simultaneous = Duration::Milliseconds(50);
};

struct CrashVerdict {
  /** Of requests that must not reach an endpoint. */
  std::set<Blame> blames;
  /** Of calls in progress that have to end; each contains a blame. */
  std::set<Blame> cancelled;

  friend bool operator==(const CrashVerdict&, const CrashVerdict&) = default;
};

/**
 * Finds the suspects that crash endpoints. A pure function of the evidence.
 *
 * The suspect of the most crashes is blamed, first of those that endpoints have
 * never answered. Its crashes do not count against others, so that what merely
 * shared endpoints with it is not blamed. If that choice is wrong, the deadly
 * suspect goes on to crash endpoints without the blamed one, which corrects it.
 *
 * That correction fails if the deadly suspect comes in the same requests only.
 * So a suspect is blamed together with its companions: those that nearly all
 * crashes have in a call with it. A suspect whose crashes are nearly all
 * explained by several others, each in calls with it, is not blamed by itself,
 * but as a companion of these. Calls in progress that have the blame, but none
 * of the other parts that were in several of the calls, go on: their answers
 * show whether the blame is right.
 *
 * @param cases  by suspect
 * @param crashes  by number, ascending by time
 */
CrashVerdict JudgeCrashes(const std::map<Fingerprint, CrashCase>& cases,
                          const std::vector<CrashedCalls>& crashes,
                          const VerdictOptions& options);

/** Number of crashes, simultaneous ones as one.
 * @param times  ascending */
size_t CountSeparate(const std::vector<TimePoint>& times,
                     Duration simultaneous);

/** Removes the blames that contain another one. */
void RemoveSupersets(std::set<Blame>& blames);

}  // namespace zr
