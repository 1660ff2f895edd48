#pragma once

#include <map>

#include "zr_base/zr_base.h"
#include "zr_request/suspect_table.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Grants leases to run suspects. Used at the locator: the live VM with the
 * highest rendezvous score for the fingerprint. One run of a fingerprint holds
 * the lease at a time and renews it while it runs; without renewal the lease
 * expires.
 *
 * Two VMs may both act as the locator while their membership views differ. A VM
 * that starts, or whose set of live VMs changes, therefore grants no lease for
 * one lease period and only accepts renewals, so that holders known to another
 * locator renew with it first. Two concurrent runs remain possible while VMs
 * disagree for longer than a lease, as in a region partition: each side may run
 * the request once and refuses it after a second failure of its own. This
 * limits the loss to one further endpoint per side.
 *
 * A fingerprint that is unknown to the locator is treated as having one
 * failure, because the sender's report may still be in transit. It may run
 * without a lease only if the locator knows that its failures no longer count.
 */
class SuspectLeases {
 public:
  struct Options {
    // Longer than an engine keeps the stream of a failed VM (the unclaimed
    // window, 10 s), plus a renewal interval and a margin.
    Duration lease = Duration::Seconds(15);
    Duration wait_hint = Duration::Milliseconds(500);
  };

  /** @param table  of this VM; must outlive this object */
  explicit SuspectLeases(SuspectTable& table)
      : SuspectLeases(table, Options{}) {}
  SuspectLeases(SuspectTable& table, Options options)
      : table_(table), options_(options) {}

  /** This VM has started, or the set of live VMs has changed. */
  void OnViewChanged(TimePoint now) { no_grants_until_ = now + options_.lease; }
  /** A VM requests, renews or releases a lease; a release needs no answer. */
  SuspectLeaseReply OnLeaseRequest(TimePoint now, const VmId& from,
                                   const SuspectLeaseRequest& request);
  size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    VmId vm;
    RequestId request;
    TimePoint expires;
  };

  void Expire(TimePoint now);
  LeaseDecision Decide(TimePoint now, const VmId& from,
                       const SuspectLeaseRequest& request);

  SuspectTable& table_;
  Options options_;
  TimePoint no_grants_until_;
  std::map<Fingerprint, Lease> leases_;
};

}  // namespace zr
