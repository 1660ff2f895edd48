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
 * Compares the engine's reports with the grant table. Detects foreign load
 * (granted by another owner or left over), reclaimed streams that haven't ended
 * and streams that no holder claims. Also tracks the takeover period.
 */
class EngineReconciler {
 public:
  EngineReconciler(const PoolPolicy& policy, bool taken_over, TimePoint now);

  void Configure(const PoolPolicy& policy) { policy_ = policy; }

  // ---------------------------------------------------------------------------
  // Takeover and possible restarts

  /** Starts a takeover: from now on, the owner's state may be incomplete. */
  void BeginTakeOver(TimePoint now);
  /** Ends the takeover once its conditions hold.
   * @returns true if it is still in progress */
  bool UpdateTakeOver(TimePoint now);
  bool taking_over() const { return take_over_since_.has_value(); }
  /** True if the engine has listed its streams since the takeover started. */
  bool ListedSinceTakeOver() const {
    return !take_over_since_ || list_as_of_ >= *take_over_since_;
  }
  /** Start of the takeover; TimePoint::Max() if there is none. */
  TimePoint TakeOverSince() const {
    return take_over_since_.value_or(TimePoint::Max());
  }
  /** Expected end of the takeover; `now` if there is none. */
  TimePoint TakeOverEnd(TimePoint now) const;

  /**
   * Records that there is no grant. A restart of an idle engine breaks no
   * stream, so only a report reveals it.
   */
  void RecordIdle(TimePoint now) { last_idle_ = now; }
  /** True if the boot number was reported since the engine was last idle. */
  bool BootConfirmed() const { return boot_confirmed_as_of_ >= last_idle_; }

  /** The engine may have restarted, because a connection to it broke. Lasts
   * until a later load report or stream list shows the boot number. */
  void BeginDoubt(TimePoint now);
  bool in_doubt() const { return doubt_since_.has_value(); }

  // ---------------------------------------------------------------------------
  // Reports

  enum class ReportStatus : uint8_t { kStale, kCurrent, kNewBoot };
  /** Stores a load report, unless it is a duplicate, out of order or from an
   * earlier boot. */
  ReportStatus OnLoad(TimePoint now, const EngineLoad& load);
  /** Like OnLoad, for a stream list. Ignores the list's entries. */
  ReportStatus OnListHeader(TimePoint now, const EngineStreams& list);
  /** Clears load and streams of the previous boot. */
  void ClearEngineState();

  /**
   * Matches the entries of a stream list with the grants.
   *
   * @param ended  receives the reclaimed grants that the engine has freed
   * @returns the cancellations that are due
   */
  std::vector<CancelEngineStream> OnList(TimePoint now,
                                         const EngineStreams& list,
                                         GrantTable& grants,
                                         std::vector<StreamKey>* ended);

  /** Records the total reservations after each change, to compare with load
   * reports, which lag. */
  void RecordReserved(TimePoint now, TokenCount reserved, int64_t requests);

  // ---------------------------------------------------------------------------
  // State derived from reports

  bool has_load() const { return load_.has_value(); }
  const std::optional<EngineLoad>& load() const { return load_; }
  BootNumber boot() const { return boot_; }
  TokenCount foreign_kv() const;
  int64_t foreign_requests() const;
  /** KV tokens that may be reserved: capacity less margin and foreign load. */
  TokenCount KvLimit() const;
  /** KV tokens that may be reserved on an empty engine: capacity less margin.
   */
  TokenCount KvWhenEmpty() const;
  uint64_t foreign_cancelled() const { return foreign_cancelled_; }

  // ---------------------------------------------------------------------------
  // Stream lists

  /** A holder claims a stream that was unclaimed. */
  void OnClaimed(const StreamKey& key) {
    std::erase_if(unclaimed_, [&key](const auto& item) {
      return ParseStreamId(item.first) == key;
    });
  }
  /** Requests a list as soon as the minimum interval allows. */
  void ScheduleList() { list_scheduled_ = true; }
  /** Records a list request if one is due.
   * @returns true if the caller must send it */
  bool StartListIfDue(TimePoint now, bool cancelling);
  /** Time of the next list request; TimePoint::Max() if none is needed. */
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
  TimePoint boot_confirmed_as_of_;  // boot_ was current at this time
  std::deque<ReservationSample>
      reservation_history_;  // ascending time; covers report_lag
  TokenCount load_foreign_kv_;
  int64_t load_foreign_requests_ = 0;
  std::map<std::string, UnclaimedStream> unclaimed_;
  bool list_scheduled_ = false;
  bool list_outstanding_ = false;
  bool list_ever_requested_ = false;
  TimePoint list_requested_at_;
  TimePoint list_as_of_;  // request time of the newest list
  uint64_t foreign_cancelled_ = 0;
};

}  // namespace zr
