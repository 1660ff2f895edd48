#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Processor shares in cores, of the VMs that have announced theirs. */
using VmCores = std::map<VmId, double>;

/** A VM with at least this processor share announces it and is preferred for
 * work on behalf of the others. */
inline constexpr double kMinDutyCores = 0.25;

/**
 * Ranks the VMs for work on behalf of the others: dispatching a pool, watching
 * the store. Large VMs come first, by powers of two of their processor share,
 * so that in a fleet of uneven machines no small one places the calls of all.
 * VMs of about the same size are ranked by rendezvous hashing, and so are those
 * that have announced nothing.
 *
 * @param duty   hashed with each VM's name
 * @param count  maximum number of VMs to return
 */
std::vector<VmId> RankForDuty(const std::string& duty, std::vector<VmId> vms,
                              size_t count, const VmCores& cores);

}  // namespace zr
