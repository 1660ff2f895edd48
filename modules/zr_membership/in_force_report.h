#pragma once

#include <compare>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_membership/cluster_view.h"

namespace zr {

/** Whether a written configuration is in force, for the answer to `apply`. */
struct InForceReport {
  enum class State : uint8_t {
    kAccepted,  // every VM has it, or is silent and cannot confirm an older one
    kWrittenNotInForceYet  // the named VMs stand in the way
  };
  State state = State::kWrittenNotInForceYet;
  std::vector<VmId>
      lagging;  // heard recently without the version, or with another digest
  /** False on a VM that started recently and has no platform list; never
   * accepted then. */
  bool members_known = true;
  std::vector<VmId>
      silent;  // without the version when last heard, and silent for too long
  friend auto operator<=>(const InForceReport&, const InForceReport&) = default;
};

/**
 * Evaluates whether a version is in force in the view of the operator's VM.
 *
 * A silent VM stops taking calls once it has heard neither the store nor more
 * than half of its peers for `silence`. Silent VMs that are half or more of all
 * could confirm one another, so the version then is not accepted. After an
 * acceptance with silent VMs, those may still take calls for `silence`, because
 * they may have heard peers that the operator's VM did not.
 *
 * @param silence  the time after which a VM without confirmation refuses calls
 */
InForceReport MakeInForceReport(TimePoint now, ObjectVersion version,
                                const std::string& digest,
                                const ClusterView& view,
                                Duration silence = Duration::Seconds(6));

}  // namespace zr
