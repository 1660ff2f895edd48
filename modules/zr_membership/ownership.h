#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"
#include "zr_membership/cluster_view.h"

namespace zr {

/**
 * Pure functions that map a key and a view to VMs by weighted rendezvous
 * hashing.
 *
 * VMs with equal views get equal results; a change of one VM moves only the
 * keys of that VM. Views can differ for seconds, so callers must stay correct
 * when two VMs both consider themselves the owner of a key. None of the
 * functions names a VM that is leaving; OwnerOf(), CoordinatorOf(), LocatorOf()
 * and LeaseCandidates() also exclude VMs that are drained by name or have no
 * configuration yet.
 */

/**
 * Returns the VM that does an endpoint's accounting: a VM of the endpoint's
 * domain if one may own, else one of its region, else any. A VM of a drained
 * domain owns endpoints of its own domain only, so that running work there
 * keeps its owner.
 *
 * @returns std::nullopt if no live VM may own
 */
std::optional<VmId> OwnerOf(const EndpointInfo& endpoint,
                            const ClusterView& view);

/**
 * Returns the VM that coordinates a pool's gathers; never one in a drained
 * domain.
 */
std::optional<VmId> CoordinatorOf(const PoolId& pool, const ClusterView& view);

/**
 * Returns the VM to query first for the location of a request's stream; never
 * one in a drained domain.
 */
std::optional<VmId> LocatorOf(const RequestId& request,
                              const ClusterView& view);

/**
 * Returns the VMs that hold the configuration watch in a domain, in rendezvous
 * order. They include VMs without a configuration, which need the watch most.
 *
 * @param count  maximum number of VMs
 */
std::vector<VmId> WatchersOf(const DomainId& domain, const ClusterView& view,
                             size_t count = 3);

/**
 * Returns the VMs that may compete for the placement lease, in rendezvous
 * order. Their number is limited to keep lease reads within the call budget of
 * the object API.
 */
std::vector<VmId> LeaseCandidates(const ClusterView& view, size_t count = 3);

}  // namespace zr
