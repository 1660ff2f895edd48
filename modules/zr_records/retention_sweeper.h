#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "zr_records/operation_record.h"

namespace zr {

struct RetentionOptions {
  Duration retention = Duration::Seconds(24 * 3600);  // promised to callers
  /** Covers clock differences between VMs and calls that are in progress. */
  Duration margin = Duration::Seconds(3600);
  /** For dispatched records without an outcome, which operators have to look
   * at. */
  Duration unresolved_retention = Duration::Seconds(7 * 24 * 3600);
  Duration report_after =
      Duration::Seconds(3600);  // age at which those are reported
  Duration sweep_interval = Duration::Seconds(600);
  Duration retry_delay = Duration::Seconds(5);  // after a failed call
  double calls_per_second = 10;
  int page_size = 200;
};

/** What retention does with a record. */
enum class RetentionDecision : uint8_t {
  kKeep,
  kReport,  // keep it and report that its outcome is unknown
  kDelete,
};

/**
 * Verdict for a record of the given age. A caller may repeat a call for the
 * retention time after the record's last change; only older records are
 * deleted.
 */
RetentionDecision DecideRetention(const OperationRecord& record,
                                  int64_t now_unix_ms,
                                  const RetentionOptions& options);

// ---------------------------------------------------------------------------
// Events

/** One object of a page. */
struct SweepItem {
  std::string name;
  ObjectVersion version;
  std::optional<OperationRecord>
      record;  // unset if RecordCodec refuses the value
};

/** A page of objects in the order of their names; fewer than the limit ends the
 * list. */
struct SweepPage {
  bool ok = false;
  std::vector<SweepItem> items;
};

/**
 * Result of a delete. A conflict, an error or a lost answer needs no handling:
 * the next sweep sees whether the record is still there.
 */
struct SweepDeleted {};
struct SweepTick {};

using SweepEvent = std::variant<SweepPage, SweepDeleted, SweepTick>;

// ---------------------------------------------------------------------------
// Actions

struct SweepList {
  std::string after;  // names after this one; empty for the start
  int limit = 0;
};

struct SweepDelete {
  std::string name;
  ObjectVersion version;  // the delete is conditional on it
};

/** A record without a known outcome, or (record unset) one that cannot be
 * decoded. */
struct SweepReport {
  std::string name;
  std::optional<OperationRecord> record;
};

using SweepAction = std::variant<SweepList, SweepDelete, SweepReport>;

/**
 * Deletes expired records, one store call at a time and within its own rate.
 * Several VMs may sweep at once: each delete is conditional on the version that
 * was judged, so a record that changed in the meantime stays.
 */
class RetentionSweeper {
 public:
  using Actions = std::vector<SweepAction>;

  RetentionSweeper(RetentionOptions options, TimePoint start);

  RetentionSweeper(const RetentionSweeper&) = delete;
  RetentionSweeper& operator=(const RetentionSweeper&) = delete;

  /**
   * Handles an event. After a SweepList or SweepDelete, exactly one SweepPage
   * or SweepDeleted follows.
   *
   * @param now_unix_ms  wall clock, compared with the records' times
   */
  Actions Handle(const SweepEvent& event, TimePoint now, int64_t now_unix_ms);

  /** When the next SweepTick is due; TimePoint::Max() while a reply is awaited.
   */
  TimePoint NextWakeup() const;

  /** Deletes that were asked for since the start. */
  uint64_t deletes() const { return deletes_; }

 private:
  void OnPage(const SweepPage& page, int64_t now_unix_ms, Actions& actions);
  void StartNextCall(Actions& actions);

  const RetentionOptions options_;
  TokenBucket bucket_;
  TimePoint now_;
  TimePoint wake_at_;
  bool reply_pending_ = false;          // for a reply
  bool more_pages_ = true;              // after the queue is empty
  std::string list_cursor_;             // last name of the last page
  std::vector<SweepDelete> to_delete_;  // from the last page, last first
  uint64_t deletes_ = 0;
};

}  // namespace zr
