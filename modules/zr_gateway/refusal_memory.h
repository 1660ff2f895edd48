#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** Whether a request repeats one that was refused. */
enum class RepeatKind : uint8_t {
  kFirstAttempt,
  kEarlyRepeat,       // came back sooner than its Retry-After allowed
  kInstructedRepeat,  // came back as instructed
};

/** What is known of a request when it arrives. */
struct RepeatInfo {
  RepeatKind kind = RepeatKind::kFirstAttempt;
  TimePoint objective_at = TimePoint::Max();  // of the first attempt
  friend auto operator<=>(const RepeatInfo&, const RepeatInfo&) = default;
};

/**
 * Remembers refused requests by fingerprint, so that callers that return as
 * instructed are told from callers that return at once. Answers the load of
 * callers that repeat without waiting, which would take the place of others.
 */
class RefusalMemory {
 public:
  /** Callers may round Retry-After, and their clocks differ slightly. */
  static constexpr Duration kTolerance = Duration::Milliseconds(50);
  /** A caller that has not returned this long after its time won't. */
  static constexpr Duration kRetention = Duration::Seconds(10);
  /** Bound on memory: some 64 bytes for each. */
  static constexpr size_t kMaxEntries = 4096;

  /** @param allowed_at  time from which the caller may return */
  void OnRefused(TimePoint now, Fingerprint fingerprint, TimePoint allowed_at,
                 TimePoint objective_at);
  /** Classifies a request; an instructed repeat is forgotten, as each refusal
   * announces one. */
  RepeatInfo OnArrival(TimePoint now, Fingerprint fingerprint);
  size_t size() const { return refused_.size(); }

 private:
  struct Refused {
    TimePoint allowed_at;
    TimePoint objective_at;
  };

  void Expire(TimePoint now);

  std::unordered_map<uint64_t, Refused> refused_;
  std::deque<std::pair<TimePoint, uint64_t>> by_expiry_;  // by refusal
};

}  // namespace zr
