#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/fair_shares.h"
#include "zr_gateway/gateway_types.h"
#include "zr_gateway/refusal_memory.h"
#include "zr_wire/messages.h"

namespace zr {

/** Requests of one class need a similar amount of room at an engine. */
enum class SizeClass : uint8_t {
  kShort,   // its prompt is not split
  kMedium,  // several passes of one engine
  kLong,    // read by many engines
};

/** Engine time that a request takes: its prefill, and its share of the decode
 * steps of an engine with all slots in use. */
double EngineCostMs(const EngineProfile& profile, const PromptShape& shape);

/** A request that waits for an engine. */
struct QueuedCall {
  CallKey key;
  DispatchRequest request;  // as received
  TimePoint received;
  TimePoint arrived;             // at its VM
  TimePoint objective_at;        // its first token is late afterwards
  TimePoint latest_first_token;  // its caller gives up soon afterwards
  TimePoint deadline;
  /** From its grant, at an engine that reads no other prompt. */
  Duration shortest_first_token;
  double cost_ms = 0;  // see EngineCostMs()
  double value = 0;    // see RequestValue()
  SizeClass size = SizeClass::kShort;
  RepeatKind repeat = RepeatKind::kFirstAttempt;
  TimePoint not_before;  // isn't tried again sooner

  bool CanBeAnswered(TimePoint now) const {
    return now + shortest_first_token <= latest_first_token;
  }

 private:
  friend class PoolQueue;
  const FairShares::Usage* team_usage_ = nullptr;
  const FairShares::Usage* domain_usage_ = nullptr;
  uint64_t sequence_ = 0;  // of arrival
};

/** Expected wait of a queued request. */
struct QueueForecast {
  size_t position = 0;  // requests of its class that go before it
  Duration wait;        // until its grant
  friend auto operator<=>(const QueueForecast&, const QueueForecast&) = default;
};

/**
 * The requests that wait for an engine of a pool, and their order: requests
 * that can meet their objective before late ones; among those, the team with
 * the least recent engine time, the domain with the least, value per engine
 * time, slack. Early repeats go last; the longest-waiting request goes first
 * once every kStarvationBound. Answers the load of more requests than the pool
 * can serve, where first-come, first-served order would make all of them late.
 *
 * Instructed repeats go before first attempts of their team in every
 * kRepeatTurn-th grant and first among late requests otherwise. If they always
 * went first, then in a long overload the repeats, which are late already,
 * would take the place of all first attempts.
 */
class PoolQueue {
 public:
  /** Long prompts wait longest, and each that is served in an overload makes
   * some 24 streams late, so a turn is rare. Short requests of all teams and
   * domains are served by their shares. */
  static constexpr Duration kStarvationBound = Duration::Seconds(3);
  static constexpr int kRepeatTurn = 8;
  /** Numbers the combinations of size and lateness. */
  static constexpr size_t kClasses = 6;
  static constexpr size_t kShortClass = 0;  // in time; late ones have the next

  /** Requests that are passed over. */
  struct Skipped {
    std::array<bool, kClasses> classes{};
    /** Requests that are late before this time, unless they are late already;
     * by size. */
    std::array<TimePoint, 3> late_before{};
  };

  size_t ClassOf(TimePoint now, const QueuedCall& call) const {
    return 2 * static_cast<size_t>(call.size) +
           (CanMeetObjective(now, call) ? 0 : 1);
  }
  /** The first token can still be in time, if it takes no longer than for the
   * requests that were granted recently. */
  bool CanMeetObjective(TimePoint now, const QueuedCall& call) const;

  /** Adds a request; replaces the entry of the same call. */
  void Push(QueuedCall call);
  /** @returns whether the call was queued */
  bool Remove(const CallKey& key) { return calls_.erase(key) > 0; }
  void RemoveVm(const VmId& vm);
  QueuedCall* Find(const CallKey& key);

  /** The request to be served next among those that are not skipped; null if
   * there is none. */
  QueuedCall* Next(TimePoint now, const Skipped& skipped);
  /** A queued request of this size can still meet its objective. */
  bool HasInTime(TimePoint now, SizeClass size) const;
  /** A queued request of the same size goes before this one, which need not be
   * queued. */
  bool GoesAfterOthers(TimePoint now, QueuedCall& call);
  /** It is the turn of the longest-waiting request, and this is the one. */
  bool HasStarved(TimePoint now, const QueuedCall& call) const;
  /** Records a grant and charges its team; the request need not be queued. */
  void OnGranted(TimePoint now, const QueuedCall& call,
                 Duration expected_first_token);

  /**
   * Forecasts the wait of a short request, queued or not, from the grants of
   * the last seconds.
   *
   * @param engines  active engines of the pool; until grants are known, they
   * are assumed to work on short requests only
   */
  QueueForecast Forecast(TimePoint now, QueuedCall& call, size_t engines);
  /** Short requests that can't be granted within their callers' maximum wait
   * by the forecast, except instructed repeats. */
  std::vector<CallKey> Hopeless(TimePoint now, size_t engines);
  /** Time until all short requests that wait now are served. */
  Duration DrainTime(TimePoint now, size_t engines);

  size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  const std::map<CallKey, QueuedCall>& calls() const { return calls_; }
  const FairShares& shares() const { return shares_; }

 private:
  struct Rank;
  /** Engine time granted in the periods in which requests waited; both decay.
   */
  struct GrantMeter {
    TimePoint updated;
    double busy_s = 0;
    double granted_ms = 0;       // to short requests
    double late_granted_ms = 0;  // to those of them that were late
  };

  Rank RankOf(TimePoint now, const QueuedCall& call) const;
  bool HasRepeatTurn(const QueuedCall& call) const;
  void Link(QueuedCall& call);
  /** Longest-waiting request; null if its turn has not come. */
  const QueuedCall* Starving(TimePoint now) const;
  void UpdateMeter(TimePoint now);
  /** Engine milliseconds granted a second. */
  double GrantRate(double granted_ms, size_t engines) const;

  std::map<CallKey, QueuedCall> calls_;
  FairShares shares_;
  std::map<TeamId, int> first_attempts_granted_;  // since a repeat was
  GrantMeter meter_;
  Duration usual_first_token_;  // of short requests, mean of recent grants
  TimePoint starvation_turn_;   // last time that the longest-waiting was served
  uint64_t next_sequence_ = 1;
};

}  // namespace zr
