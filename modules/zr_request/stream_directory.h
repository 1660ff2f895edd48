#pragma once

#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_request/request_options.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Locates the streams of requests, as far as one VM knows them: from its own
 * machines, from the grants that holders list to it as an owner and, as the
 * locator of a request id, from the VM that claimed the request. Answers stream
 * lookups.
 *
 * The locator of a request id is the live VM with the highest rendezvous score
 * for it. Through the locator, the second of two calls with the same id finds
 * the first, whichever VMs receive them. While VMs disagree on the locator,
 * both calls may run; each caller then gets the complete answer of one run,
 * because a resumption names the stream that it continues.
 */
class StreamDirectory {
 public:
  struct Options {
    Duration listed_ttl =
        Duration::Seconds(15);  // after the last list that contains the grant
    Duration ended_ttl =
        Duration::Seconds(10);  // engines keep ended streams for this long
    Duration claim_ttl = Duration::Seconds(900);
    size_t max_claims = 20'000;  // the oldest are evicted
  };

  explicit StreamDirectory(VmId self)
      : StreamDirectory(std::move(self), Options{}) {}
  StreamDirectory(VmId self, Options options)
      : self_(std::move(self)), options_(options) {}

  /**
   * The locator of a request id.
   * @param live  all live VMs, not empty
   */
  static VmId Locator(const RequestId& request, const std::vector<VmId>& live);

  /** A machine of this VM holds the request; from RequestMachine::location().
   */
  void SetLocal(const StreamLocation& location);
  /** The machine has ended. @param done  its answer is complete and may be read
   * again */
  void EndLocal(TimePoint now, const RequestId& request, bool done);

  /** A holder's list of its grants on one of this owner's endpoints. */
  void OnHeldGrants(TimePoint now, const HeldGrants& list);
  /**
   * A holder released a grant on one of this owner's endpoints; the grant can
   * no longer be taken over.
   */
  void OnRelease(const GrantRelease& release);
  /** A VM is down; its streams no longer have a holder. */
  void OnVmDown(const VmId& vm);
  /**
   * This VM has started, or the set of live VMs has changed; until older claims
   * have expired, this VM may not know all claims.
   */
  void OnViewChanged(TimePoint now) {
    claims_complete_from_ = now + options_.claim_ttl;
  }

  /**
   * Answers a lookup. At the locator, also records the sender's claim unless
   * the request id is in use for another request.
   */
  StreamLocation Find(TimePoint now, const VmId& from,
                      const StreamLookup& query);

  /** Removes expired entries; must be called every few seconds. */
  void Expire(TimePoint now);
  size_t size() const {
    return local_.size() + listed_.size() + claims_.size();
  }

 private:
  struct Local {
    StreamLocation location;
    TimePoint expires = TimePoint::Max();
  };
  struct Listed {
    RequestId request;
    EndpointId endpoint;  // the streaming one
    VmId holder;
    Fingerprint fingerprint;
    AttemptNumber attempt;
    std::vector<Grant> grants;  // on this owner's endpoints
    TimePoint last_seen;
  };
  struct Claim {
    VmId vm;
    TeamId team;
    Fingerprint fingerprint;
    TimePoint time;
  };

  bool FindLocal(const VmId& from, const StreamLookup& query,
                 StreamLocation& answer) const;
  bool FindListed(const VmId& from, const StreamLookup& query,
                  StreamLocation& answer) const;
  bool FindClaim(const VmId& from, const StreamLookup& query,
                 StreamLocation& answer) const;

  VmId self_;
  Options options_;
  TimePoint claims_complete_from_;
  std::map<RequestId, Local> local_;
  std::map<std::string, Listed> listed_;  // by stream id
  std::multimap<RequestId, std::string> listed_streams_;
  std::map<RequestId, Claim> claims_;
};

}  // namespace zr
