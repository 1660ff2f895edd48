#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"
#include "zr_membership/cluster_view.h"

namespace zr {

/**
 * Pure functions from a key and a view to a VM, by weighted rendezvous.
 *
 * VMs with equal views get equal answers; a change of one VM moves only the
 * keys of that VM. Views can differ for seconds, so callers must stay correct
 * when two VMs both believe to own a key. None of the functions names a VM
 * that is leaving, drained by name, or has no configuration yet.
 */

/**
 * The VM that does an endpoint's accounting: a VM of the endpoint's domain if
 * one may own, else one of its region, else any. A VM of a drained domain owns
 * endpoints of its own domain only, so that running work there keeps its owner.
 *
 * @returns std::nullopt if no live VM may own
 */
std::optional<VmId> OwnerOf(const EndpointInfo& endpoint,
                            const ClusterView& view);

/** The VM that coordinates a pool's gathers; none in a drained domain. */
std::optional<VmId> CoordinatorOf(const PoolId& pool, const ClusterView& view);

/** The VM that is asked first where a request's stream is; none in a drained
 * domain. */
std::optional<VmId> LocatorOf(const RequestId& request,
                              const ClusterView& view);

/**
 * The VMs that hold the configuration watch in a domain, in rendezvous order.
 * They include VMs without a configuration, which need the watch most.
 *
 * @param count  most VMs to return
 */
std::vector<VmId> WatchersOf(const DomainId& domain, const ClusterView& view,
                             size_t count = 3);

/**
 * The VMs that may compete for the placement lease, in rendezvous order; the
 * bound keeps lease reads within the object API's call budget.
 */
std::vector<VmId> LeaseCandidates(const ClusterView& view, size_t count = 3);

}  // namespace zr
