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
 * Tracks requests that may have crashed endpoints, by fingerprint. Every VM
 * keeps a table and broadcasts the failures that are new to it.
 *
 * A failure is identified by endpoint and boot number, so that reports of
 * several VMs count once. After one failure a request runs alone; after two it
 * is refused until 10 minutes after the last one.
 *
 * Failures that say nothing about a request are not counted: planned stops,
 * endpoints that turn out to be alive (a broken connection is reported before
 * its cause is known), and correlated failures. A failure is correlated if at
 * least three endpoints of its failure domain fail within 2 s, or if the daemon
 * reports the domain lost. Without this rule the loss of a domain would make
 * each of its requests run alone on an endpoint just when capacity is short. A
 * fingerprint that ran on several endpoints of one correlated failure may have
 * caused it; these failures count as one, so that it runs alone but is not
 * refused. The first failures count until the third is reported, so at worst a
 * few requests run alone unnecessarily.
 */
class SuspectTable {
 public:
  struct Options {
    Duration retention = Duration::Seconds(600);  // after the last failure
    Duration correlation_window =
        Duration::Seconds(2);             // span of a correlated failure
    size_t min_correlated_endpoints = 3;  // minimum for a correlated failure
    Duration min_alive_delay = Duration::Seconds(
        1);  // a load report this much later shows that the endpoint is alive
    size_t max_fingerprints =
        4096;  // those with the fewest failures are evicted, oldest first
  };

  SuspectTable() : SuspectTable(Options{}) {}
  explicit SuspectTable(Options options) : options_(options) {}

  /**
   * An endpoint failed while it ran the fingerprint, as observed by this VM or
   * reported by another one.
   *
   * @param domain  of the endpoint
   * @return true if the failure is new and has to be broadcast
   */
  bool OnFailure(TimePoint now, const Suspect& suspect, const DomainId& domain);
  /** The endpoint's boot ended by a planned stop. */
  void OnPlannedStop(TimePoint now, const EndpointId& endpoint,
                     BootNumber boot);
  /**
   * The endpoint reported load under this boot number, so it had not failed.
   */
  void OnEndpointAlive(TimePoint now, const EndpointId& endpoint,
                       BootNumber boot);
  /** A whole failure domain was lost. */
  void OnDomainLost(TimePoint now, const DomainId& domain);
  /**
   * A run of the fingerprint completed alone; earlier failures no longer count.
   */
  void OnRunCompleted(TimePoint now, Fingerprint fingerprint);

  SuspectStatus StatusOf(TimePoint now, Fingerprint fingerprint) const;
  /** The fingerprint has failures on record, but none counts any more. */
  bool WasCleared(TimePoint now, Fingerprint fingerprint) const;
  /** All failures of the last minutes, for a VM that has just joined. */
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
    std::vector<Failure> failures;  // at most kMaxFailures
    TimePoint last_failure;
    TimePoint cleared_at;  // failures up to this time do not count
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
      by_domain_;  // failures of the last seconds
  std::map<FailureKey, TimePoint>
      dismissed_;  // planned stop, or the endpoint is alive
  std::map<FailureKey, TimePoint> correlated_;
};

}  // namespace zr
