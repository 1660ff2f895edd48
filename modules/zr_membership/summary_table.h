#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** The owner of an endpoint according to the caller's view. */
using OwnerLookup = std::function<std::optional<VmId>(const EndpointId&)>;

/** A summary with its age. */
struct SummaryCandidate {
  const Summary* summary = nullptr;  // valid until the next change of the table
  TimePoint received_at;
  bool from_owner = false;  // published by the VM that the view names as owner
};

/**
 * Latest summary of each endpoint from each VM that claims to own it.
 *
 * Two VMs may publish an endpoint at the same time while their views differ;
 * both are kept and the one that the caller's view names is preferred.
 */
class SummaryTable {
 public:
  /** @param expire_after  age beyond which a summary is not used; positive */
  explicit SummaryTable(Duration expire_after = Duration::Seconds(3))
      : expire_after_(expire_after) {}

  /**
   * Takes a summary.
   *
   * @returns false if it is older than one already held from the same owner,
   *          or names no endpoint, pool or owner
   */
  bool OnSummary(TimePoint now, const Summary& summary);

  /** Drops the summaries of an owner's incarnations up to the given one. */
  void OnVmDied(const VmId& owner, Incarnation incarnation);

  /** Drops an endpoint that is no longer registered. */
  void RemoveEndpoint(const EndpointId& endpoint);

  /** Drops expired summaries. */
  void OnTick(TimePoint now);

  /** Best summary of an endpoint; std::nullopt if none is fresh. */
  std::optional<SummaryCandidate> Find(TimePoint now,
                                       const EndpointId& endpoint,
                                       const OwnerLookup& owner_of) const;

  /** Best fresh summary of each of a pool's endpoints that accepts new work, by
   * endpoint id. */
  std::vector<SummaryCandidate> Candidates(TimePoint now, const PoolId& pool,
                                           const OwnerLookup& owner_of) const;

  /** Time by which OnTick() should be called. */
  TimePoint NextWakeup() const;

  size_t size() const { return by_endpoint_.size(); }

 private:
  struct Entry {
    Summary summary;
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
