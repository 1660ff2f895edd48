#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_admission/grant_table.h"
#include "zr_admission/owner_types.h"
#include "zr_base/zr_base.h"

namespace zr {

/**
 * Compares what the engine reports with the grant table: foreign load (of
 * another owner, or left behind), reclaimed streams that have not ended, and
 * streams that no holder claims. Also knows how long a take-over lasts.
 */
class EngineReconciler {
 public:
  EngineReconciler(const PoolPolicy& policy, bool taken_over, TimePoint now);

  void Configure(const PoolPolicy& policy) { policy_ = policy; }

  // ---------------------------------------------------------------------------
  // Take-over and doubt

  /** The owner's state may be incomplete from now on. */
  void BeginTakeOver(TimePoint now);
  /** Ends the take-over once its conditions hold; returns whether it lasts. */
  bool UpdateTakeOver(TimePoint now);
  bool taking_over() const { return take_over_since_.has_value(); }
  /** True if the engine listed its streams since the take-over began. */
  bool ListedSinceTakeOver() const {
    return !take_over_since_ || list_as_of_ >= *take_over_since_;
  }
  /** Start of the take-over; TimePoint::Max() if there is none. */
  TimePoint TakeOverSince() const {
    return take_over_since_.value_or(TimePoint::Max());
  }
  /** Expected end of the take-over; `now` if there is none. */
  TimePoint TakeOverEnd(TimePoint now) const;

  /**
   * Notes that no grant is in progress. A restart of the engine during that
   * time breaks no stream, so only a report shows it.
   */
  void RecordIdle(TimePoint now) { last_idle_ = now; }
  /** True if the boot number was reported since the last idle time. */
  bool BootConfirmed() const { return boot_confirmed_as_of_ >= last_idle_; }

  /** A connection to the engine broke: it may have died. */
  void BeginDoubt(TimePoint now);
  bool in_doubt() const { return doubt_since_.has_value(); }

  // ---------------------------------------------------------------------------
  // Reports

  enum class ReportStatus : uint8_t { kStale, kCurrent, kNewBoot };
  /** Sorts out reports that are repeated, out of order or of an earlier boot.
   */
  ReportStatus OnLoad(TimePoint now, const EngineLoad& load);
  /** Like OnLoad, for a stream list. Does not read the list's entries. */
  ReportStatus OnListHeader(TimePoint now, const EngineStreams& list);
  /** Forgets load and streams of the boot before. */
  void ClearEngineState();

  /**
   * Sorts the entries of a stream list.
   *
   * @param ended  receives the reclaimed grants that the engine has freed
   * @returns cancellations that are due
   */
  std::vector<CancelEngineStream> OnList(TimePoint now,
                                         const EngineStreams& list,
                                         GrantTable& grants,
                                         std::vector<StreamKey>* ended);

  /** Notes the sum of reservations after each change; load reports lag behind
   * it. */
  void RecordReserved(TimePoint now, TokenCount reserved, int64_t requests);

  // ---------------------------------------------------------------------------
  // What follows from them

  bool has_load() const { return load_.has_value(); }
  const std::optional<EngineLoad>& load() const { return load_; }
  BootNumber boot() const { return boot_; }
  TokenCount foreign_kv() const;
  int64_t foreign_requests() const;
  /** Memory that may be reserved: capacity less margin and foreign load. */
  TokenCount KvLimit() const;
  /** Memory that an empty engine offers: capacity less margin. */
  TokenCount KvWhenEmpty() const;
  uint64_t foreign_cancelled() const { return foreign_cancelled_; }

  // ---------------------------------------------------------------------------
  // Stream lists

  /** A holder claims a stream that was listed as unclaimed. */
  void OnClaimed(const StreamKey& key) {
    std::erase_if(unclaimed_, [&key](const auto& item) {
      return ParseStreamId(item.first) == key;
    });
  }
  /** Asks for a list at the next opportunity. */
  void ScheduleList() { list_scheduled_ = true; }
  /** True if a list must be requested now; notes it as requested. */
  bool StartListIfDue(TimePoint now, bool cancelling);
  /** When TakeListRequest could become true; TimePoint::Max() if nothing is
   * wanted. */
  TimePoint NextListTime(bool cancelling) const;

 private:
  struct UnclaimedStream {
    EngineStreamKind kind = EngineStreamKind::kStream;
    TokenCount kv;
    int64_t offset = 0;
    bool done = false;
    TimePoint first_seen;
    TimePoint last_progress;
    TimePoint last_cancel;
    bool cancel_sent = false;
  };
  struct ReservationSample {
    TimePoint at;
    TokenCount reserved;
    int64_t requests = 0;
  };

  bool IsOldBoot(BootNumber boot) const;
  ReportStatus UpdateBoot(BootNumber boot);
  bool DueForCancel(const UnclaimedStream& stream, TimePoint now) const;
  void UpdateForeignLoad(TimePoint now);

  PoolPolicy policy_;
  BootNumber boot_;
  bool boot_known_ = false;
  std::deque<BootNumber> old_boots_;
  std::optional<EngineLoad> load_;
  std::optional<TimePoint> take_over_since_;
  bool take_over_reported_ = false;
  std::optional<TimePoint> doubt_since_;
  TimePoint last_idle_;
  TimePoint boot_confirmed_as_of_;  // the boot number was in force at this time
  std::deque<ReservationSample>
      reservation_history_;  // ascending time; covers the report lag
  TokenCount load_foreign_kv_;
  int64_t load_foreign_requests_ = 0;
  std::map<std::string, UnclaimedStream> unclaimed_;
  bool list_scheduled_ = false;
  bool list_outstanding_ = false;
  bool list_ever_requested_ = false;
  TimePoint list_requested_at_;
  TimePoint list_as_of_;  // time of the request that the newest list answers
  uint64_t foreign_cancelled_ = 0;
};

}  // namespace zr
