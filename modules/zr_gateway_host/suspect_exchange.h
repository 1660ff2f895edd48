#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/suspect_record.h"
#include "zr_platform/object_format.h"
#include "zr_request/crash_attribution.h"

namespace zr {

/**
 * Keeps requests and parts of prompts that crash endpoints away from them.
 * Collects what the calls of this VM show, exchanges it with the VMs that are
 * linked, and keeps a record of each blame in the store, from which VMs learn
 * that were started or cut off meanwhile. CrashAttribution has the verdicts.
 *
 * VMs to which most others keep links pass on what they are told.
 */
class SuspectExchange {
 public:
  using Sender = std::function<void(const Message&)>;
  /** Writes or removes a record; `expected` is its known version. */
  using RecordWriter = std::function<void(const SuspectRecord& record,
                                          ObjectVersion expected, bool remove)>;

  explicit SuspectExchange(GatewayState& state) : state_(state) {}

  //============================================================================
  // Calls of this VM

  /** A call broke.
   * @param broken  when it did
   * @param began  the endpoint had begun to answer it */
  void OnCallBroken(TimePoint now, TimePoint broken, const RequestId& request,
                    const EndpointId& endpoint, bool began,
                    const std::vector<CrashSuspect>& suspects);
  /** A call that an endpoint was reading was cancelled. The endpoint may not
   * notice it in time and crash all the same. */
  void OnCallCancelled(TimePoint now, const RequestId& request,
                       const EndpointId& endpoint,
                       const std::vector<CrashSuspect>& suspects);
  /** An endpoint began to answer. */
  void OnAnswerBegan(TimePoint now, const std::vector<CrashSuspect>& suspects) {
    Publish(now, attribution_.OnAnswered(now, PartsOf(suspects)));
  }
  /** An endpoint has answered completely. */
  void OnAnswerCompleted(TimePoint now,
                         const std::vector<CrashSuspect>& suspects) {
    Publish(now, attribution_.OnAnswered(now, suspects));
  }
  /** The endpoint sent a part of an answer. */
  void OnAlive(TimePoint now, const EndpointId& endpoint);
  /** The blame for which these must not reach an endpoint, or null. Its line is
   * in the log before that of the rejected request. */
  const Blame* FindBlame(TimePoint now,
                         const std::vector<CrashSuspect>& suspects);
  /** The blame for which a call that an endpoint is reading has to end. */
  const Blame* FindCancelled(TimePoint now,
                             const std::vector<CrashSuspect>& suspects);
  /** Number of verdicts so far; between two verdicts the results of FindBlame()
   * and FindCancelled() stay the same. */
  uint64_t verdicts(TimePoint now) { return attribution_.verdicts(now); }

  //============================================================================
  // Other VMs

  void OnEvidence(TimePoint now, const VmId& vm, const CrashEvidence& evidence);
  /** For a VM that has just been linked, in several messages if it is long. */
  std::vector<CrashEvidence> Snapshot(TimePoint now) const {
    return SplitEvidence(attribution_.Snapshot(now));
  }
  /** @param forwards  this VM passes on what it is told
   *  @param linked  number of linked VMs
   *  @param send_to_all  sends to each of them */
  void Exchange(TimePoint now, bool forwards, size_t linked,
                const Sender& send_to_all);

  //============================================================================
  // Records in the store

  /** Replaces the known records.
   * @param restored  the store has come back from an older copy: what it lacks
   * was lost, and what was removed before is there again */
  void SetRecords(TimePoint now, const std::vector<StoreItem>& records,
                  bool restored);
  void SetRecord(TimePoint now, const StoreItem& record);
  void RemoveRecord(const std::string& name);
  /** Brings the records in line with the verdicts.
   *  @param first  this VM writes before the others */
  void UpdateRecords(TimePoint now, bool first, const RecordWriter& write);

 private:
  struct StoredRecord {
    Blame blame;
    ObjectVersion version;
  };
  /** A call that may have crashed its endpoint. */
  struct BrokenCall {
    RequestId request;
    bool began = false;      // the endpoint had begun to answer it
    bool cancelled = false;  // before the crash
    SuspectedCrash crash;
  };
  struct CancelledCall {
    TimePoint time;
    BrokenCall call;
  };
  struct PendingWrite {
    TimePoint due;
    Duration period;  // until the next attempt
  };

  BootNumber BootOf(const EndpointId& endpoint) const;
  void Publish(TimePoint now, CrashEvidence evidence);
  void LogVerdicts(TimePoint now);
  void LogDropped(TimePoint now);
  void ReportCrash(TimePoint now, const BrokenCall& call);
  /** Reports cancelled calls whose endpoints crashed soon afterwards. */
  void ReportCancelledCalls(TimePoint now);
  bool IsNeeded(const StoredRecord& record,
                const std::set<Blame>& blames) const;

  GatewayState& state_;
  CrashAttribution attribution_;
  std::deque<CancelledCall> cancelled_;  // lately
  CrashEvidence outbox_;                 // ages as of outbox_time_
  TimePoint outbox_time_;
  BroadcastPace pace_;
  bool forwards_ = false;
  std::set<Blame> logged_;  // blamed in the log's last lines
  CrashAttribution::Dropped logged_dropped_;
  std::map<std::string, StoredRecord> records_;  // by name
  std::set<std::string> removed_;  // records that were in the store
  std::map<std::string, PendingWrite> writes_;  // of records to be changed
};

}  // namespace zr
