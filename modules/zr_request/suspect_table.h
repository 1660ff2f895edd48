#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_request/request_options.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Which requests may have crashed endpoints, by fingerprint. Every VM keeps a
 * table and spreads what is new to it with Suspect messages.
 *
 * A death is named by endpoint and boot number, so that reports of several VMs
 * count once. One death makes a request run alone, two refuse it until 10
 * minutes after the last one.
 *
 * Deaths that say nothing about requests are not counted: those of a planned
 * stop, those of endpoints that turn out to be alive (a broken connection is
 * reported before the cause is known), and collective ones. A death is
 * collective if at least three endpoints of its failure domain die within 2 s,
 * or if the daemon reports the domain lost. Without this rule the loss of a
 * domain would make each of its requests run alone on an endpoint just when
 * capacity is short. A fingerprint that was on several endpoints of one
 * collective loss may have caused it; these deaths count as one, so that it
 * runs alone but is not refused. Until the third death arrives the first ones
 * count, which makes a few requests run alone at worst.
 */
class SuspectTable {
 public:
  struct Options {
    Duration retention = Duration::Seconds(600);  // after the last death
    Duration correlation_window =
        Duration::Seconds(2);             // span of a collective loss
    size_t min_correlated_endpoints = 3;  // least size of a collective loss
    Duration min_alive_delay =
        Duration::Seconds(1);  // a report this much later shows life
    size_t max_fingerprints =
        4096;  // the oldest with fewest deaths are dropped
  };

  SuspectTable() : SuspectTable(Options{}) {}
  explicit SuspectTable(Options options) : options_(options) {}

  /**
   * A run of the fingerprint was cut by a death, seen here or reported by
   * another VM.
   *
   * @param domain  of the endpoint
   * @return true if this was not known, so that it has to be spread
   */
  bool OnFailure(TimePoint now, const Suspect& suspect, const DomainId& domain);
  /** The endpoint's boot ended as planned. */
  void OnPlannedStop(TimePoint now, const EndpointId& endpoint,
                     BootNumber boot);
  /** The endpoint reported load under this boot number: it had not died. */
  void OnEndpointAlive(TimePoint now, const EndpointId& endpoint,
                       BootNumber boot);
  /** A failure domain was lost as a whole. */
  void OnDomainLost(TimePoint now, const DomainId& domain);
  /** A run of the fingerprint completed alone. */
  void OnRunCompleted(TimePoint now, Fingerprint fingerprint);

  SuspectStatus StatusOf(TimePoint now, Fingerprint fingerprint) const;
  /** Deaths were known and are not held against the fingerprint any more. */
  bool WasCleared(TimePoint now, Fingerprint fingerprint) const;
  /** All deaths of the last minutes, for a VM that has just joined. */
  std::vector<Suspect> RecentSuspects(TimePoint now) const;
  size_t size() const { return entries_.size(); }

 private:
  using FailureKey = std::pair<EndpointId, BootNumber>;
  struct Failure {
    FailureKey key;
    DomainId domain;
    TimePoint time;
  };
  struct Entry {
    std::vector<Failure> failures;  // at most kMaxDeaths
    TimePoint last_failure;
    TimePoint cleared_at;  // deaths up to this time do not count
    bool was_cleared = false;
  };

  size_t CountFailures(TimePoint now, const Entry& entry) const;
  void RecordDomainFailure(const Failure& failure);
  void Dismiss(const FailureKey& key, TimePoint time);
  void Expire(TimePoint now);
  void EvictOne(TimePoint now);

  Options options_;
  std::map<Fingerprint, Entry> entries_;
  std::map<DomainId, std::deque<Failure>>
      by_domain_;                              // deaths of the last seconds
  std::map<FailureKey, TimePoint> dismissed_;  // planned, or the endpoint lives
  std::map<FailureKey, TimePoint> correlated_;
};

}  // namespace zr
