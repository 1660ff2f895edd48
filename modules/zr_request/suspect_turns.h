#pragma once

#include <map>

#include "zr_base/zr_base.h"
#include "zr_request/suspect_table.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Hands out the right to run a suspect, at the locator: the VM with the highest
 * rendezvous score for the fingerprint among the live VMs. One run of a
 * fingerprint has the right at a time; it renews it while it runs, and the
 * right lapses without renewal.
 *
 * When views differ, two VMs may both be the locator for a time. A VM that
 * starts, or sees the set of live VMs change, therefore hands out nothing for
 * the length of a lease and only accepts renewals, so that the holders known to
 * another locator reach it first. Two runs at once remain possible while VMs
 * disagree for longer than a lease, as in a region partition: each side may run
 * the request once, and each side refuses it after a second death of its own.
 * The loss is then bounded by one further endpoint for each side.
 *
 * A fingerprint that the locator does not know is treated as having one death:
 * the sender's report may still be under way. It is told to run as usual only
 * if the locator knows that the deaths were dismissed.
 */
class SuspectTurns {
 public:
  struct Options {
    // Longer than an engine keeps the stream of a VM that died (the unclaimed
    // window, 10 s), plus a renewal period and a margin.
    Duration lease = Duration::Seconds(15);
    Duration wait_hint = Duration::Milliseconds(500);
  };

  /** @param table  of this VM; must outlive this object */
  explicit SuspectTurns(SuspectTable& table) : SuspectTurns(table, Options{}) {}
  SuspectTurns(SuspectTable& table, Options options)
      : table_(table), options_(options) {}

  /** This VM starts, or the set of live VMs has changed. */
  void OnViewChanged(TimePoint now) { quiet_until_ = now + options_.lease; }
  /** A VM asks for, renews or returns the right; a return needs no answer. */
  SuspectLeaseReply OnTurn(TimePoint now, const VmId& from,
                           const SuspectLeaseRequest& turn);
  size_t size() const { return turns_.size(); }

 private:
  struct Turn {
    VmId vm;
    RequestId request;
    TimePoint until;
  };

  void Expire(TimePoint now);
  LeaseDecision Decide(TimePoint now, const VmId& from,
                       const SuspectLeaseRequest& turn);

  SuspectTable& table_;
  Options options_;
  TimePoint quiet_until_;
  std::map<Fingerprint, Turn> turns_;
};

}  // namespace zr
