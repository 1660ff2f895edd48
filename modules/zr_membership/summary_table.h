#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** Returns the owner of an endpoint in the caller's view. */
using OwnerLookup = std::function<std::optional<VmId>(const EndpointId&)>;

/** A summary, when it was received, and whether the owner sent it. */
struct SummaryCandidate {
  const EndpointSummary* summary =
      nullptr;  // valid until the next change of the table
  TimePoint received_at;
  bool from_owner =
      false;  // published by the VM that owns the endpoint in the view
};

/**
 * Latest summary of each endpoint from each VM that claims to own it.
 *
 * While views differ, two VMs may publish summaries of the same endpoint. Both
 * are kept, and the one from the owner in the caller's view is preferred.
 */
class SummaryTable {
 public:
  /** @param expire_after  age beyond which a summary is not used; positive */
  explicit SummaryTable(Duration expire_after = Duration::Seconds(3))
      : expire_after_(expire_after) {}

  /**
   * Stores a summary.
   *
   * @returns false if it is not newer than the stored one of the same owner, or
   *          has no endpoint, pool or owner
   */
  bool OnSummary(TimePoint now, const EndpointSummary& summary);

  /** Removes the summaries of an owner's incarnations up to the given one. */
  void OnVmDown(const VmId& owner, Incarnation incarnation);

  /** Removes an endpoint that is no longer registered. */
  void RemoveEndpoint(const EndpointId& endpoint);

  /** Removes expired summaries. */
  void OnTick(TimePoint now);

  /**
   * Returns the best summary of an endpoint: from the owner, then the newest;
   * std::nullopt if all have expired. */
  std::optional<SummaryCandidate> Find(TimePoint now,
                                       const EndpointId& endpoint,
                                       const OwnerLookup& owner_of) const;

  /**
   * Returns the best unexpired summary of each endpoint of a pool that accepts
   * new work, sorted by endpoint id. */
  std::vector<SummaryCandidate> Candidates(TimePoint now, const PoolId& pool,
                                           const OwnerLookup& owner_of) const;

  /** Time by which OnTick() should be called. */
  TimePoint NextWakeup() const;

  size_t size() const { return by_endpoint_.size(); }

 private:
  struct Entry {
    EndpointSummary summary;
    TimePoint received_at;
  };
  using Claims = std::map<VmId, Entry>;

  void Erase(std::map<EndpointId, Claims>::iterator it);
  void EraseFromPool(const PoolId& pool, const EndpointId& endpoint);

  Duration expire_after_;
  std::map<EndpointId, Claims> by_endpoint_;
  std::map<PoolId, std::set<EndpointId>> by_pool_;
};

}  // namespace zr
