#pragma once

#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_request/request_options.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * What one VM knows of the streams of requests: its own machines, the grants
 * that holders list to it as an owner, and, as the locator of a request id,
 * which VM said that it would run it. It answers StreamLookup messages.
 *
 * The locator of a request id is the live VM with the highest rendezvous score
 * for it. It makes the second of two calls with one id find the first, at
 * whatever VMs they arrive. While VMs disagree on the locator both calls may
 * run; each caller then gets one run's whole answer, as a resumption names the
 * stream that it continues.
 */
class StreamDirectory {
 public:
  struct Options {
    Duration keep_listed =
        Duration::Seconds(15);  // after the last list with the grant
    Duration keep_ended =
        Duration::Seconds(10);  // engines keep ended streams that long
    Duration keep_claim = Duration::Seconds(900);
    size_t max_claims = 20'000;  // the oldest are dropped
  };

  explicit StreamDirectory(VmId self)
      : StreamDirectory(std::move(self), Options{}) {}
  StreamDirectory(VmId self, Options options)
      : self_(std::move(self)), options_(options) {}

  /** The VM that answers for a request id. @param live  all live VMs, not empty
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
  /** A holder gave a grant on one of this owner's endpoints back; it cannot be
   * taken over. */
  void OnRelease(const GrantRelease& release);
  /** A VM is dead; its streams have no holder any more. */
  void OnVmDead(const VmId& vm);
  /** This VM starts, or the set of live VMs has changed: it may not know all
   * claims. */
  void OnViewChanged(TimePoint now) {
    certain_from_ = now + options_.keep_claim;
  }

  /** Answers a search; as the locator, notes the sender's claim if nothing is
   * found. */
  StreamLocation Find(TimePoint now, const VmId& from,
                      const StreamLookup& query);

  /** Forgets what is out of date; to be called every few seconds. */
  void Expire(TimePoint now);
  size_t size() const {
    return local_.size() + listed_.size() + claims_.size();
  }

 private:
  struct Local {
    StreamLocation location;
    TimePoint forget = TimePoint::Max();
  };
  struct Listed {
    RequestId request;
    EndpointId endpoint;  // that streams
    VmId holder;
    Fingerprint fingerprint;
    AttemptNumber attempt;
    std::vector<Grant> grants;  // on this owner's endpoints
    TimePoint seen;
  };
  struct Claim {
    VmId vm;
    TeamId team;
    Fingerprint fingerprint;
    TimePoint at;
  };

  bool FindLocal(const VmId& from, const StreamLookup& query,
                 StreamLocation& answer) const;
  bool FindListed(const VmId& from, const StreamLookup& query,
                  StreamLocation& answer) const;
  bool FindClaim(const VmId& from, const StreamLookup& query,
                 StreamLocation& answer) const;

  VmId self_;
  Options options_;
  TimePoint certain_from_;
  std::map<RequestId, Local> local_;
  std::map<std::string, Listed> listed_;  // by stream id
  std::multimap<RequestId, std::string> listed_streams_;
  std::map<RequestId, Claim> claims_;
};

}  // namespace zr
