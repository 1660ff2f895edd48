#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "zr_records/operation_record.h"

namespace zr {

struct RetentionOptions {
  Duration retention = Duration::Seconds(24 * 3600);  // guaranteed to callers
  /** Covers clock differences between VMs and calls in flight. */
  Duration margin = Duration::Seconds(3600);
  /** For dispatched records without an outcome, which operators have to
   * investigate. */
  Duration unresolved_retention = Duration::Seconds(7 * 24 * 3600);
  Duration report_after =
      Duration::Seconds(3600);  // age at which unresolved records are reported
  Duration sweep_interval = Duration::Seconds(600);
  Duration retry_delay = Duration::Seconds(5);  // after a failed call
  double calls_per_second = 10;
  int page_size = 200;
};

/** Result of the retention check of a record. */
enum class RetentionDecision : uint8_t {
  kKeep,
  kReport,  // keep, and report that the outcome is unknown
  kDelete,
};

/**
 * Decides by the age of a record. A caller may repeat a call for the retention
 * time after the record's last change, so only older records are deleted.
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
      record;  // unset if RecordCodec cannot decode the value
};

/** A page of objects, ordered by name. A page with fewer objects than the limit
 * is the last one. */
struct SweepPage {
  bool ok = false;
  std::vector<SweepItem> items;
};

/**
 * Reply to a delete, also to a failed one. A conflict, an error or a lost reply
 * needs no handling, because the next sweep lists the record again if it still
 * exists.
 */
struct SweepDeleteReply {};
struct SweepTick {};

using SweepEvent = std::variant<SweepPage, SweepDeleteReply, SweepTick>;

// ---------------------------------------------------------------------------
// Actions

struct SweepList {
  std::string
      after;  // exclusive lower bound of the names; empty for the first page
  int limit = 0;
};

struct SweepDelete {
  std::string name;
  ObjectVersion version;  // the delete is conditional on this version
};

/** Reports a record whose outcome is unknown, or one that cannot be decoded
 * (record unset). */
struct SweepReport {
  std::string name;
  std::optional<OperationRecord> record;
};

using SweepAction = std::variant<SweepList, SweepDelete, SweepReport>;

/**
 * Deletes expired records, one store call at a time and within its own rate
 * limit. Several VMs may sweep at the same time: each delete is conditional on
 * the version that was evaluated, so a record that has changed since is kept.
 */
class RetentionSweeper {
 public:
  using Actions = std::vector<SweepAction>;

  RetentionSweeper(RetentionOptions options, TimePoint start);

  RetentionSweeper(const RetentionSweeper&) = delete;
  RetentionSweeper& operator=(const RetentionSweeper&) = delete;

  /**
   * Handles an event. After a SweepList or SweepDelete, exactly one SweepPage
   * or SweepDeleteReply follows.
   *
   * @param now_unix_ms  wall clock time, compared with updated_unix_ms
   */
  Actions Handle(const SweepEvent& event, TimePoint now, int64_t now_unix_ms);

  /** Time at which the next SweepTick is due; TimePoint::Max() while a reply is
   * pending. */
  TimePoint NextWakeup() const;

  /** Number of deletes requested since the start. */
  uint64_t deletes() const { return deletes_; }

 private:
  void OnPage(const SweepPage& page, int64_t now_unix_ms, Actions& actions);
  void StartNextCall(Actions& actions);

  const RetentionOptions options_;
  TokenBucket bucket_;
  TimePoint now_;
  TimePoint wake_at_;
  bool reply_pending_ = false;
  bool more_pages_ = true;              // after the queue is empty
  std::string list_cursor_;             // last name of the last page
  std::vector<SweepDelete> to_delete_;  // from the last page, in reverse order
  uint64_t deletes_ = 0;
};

}  // namespace zr
