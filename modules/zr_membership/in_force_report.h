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
    kAccepted,  // each VM has it, or is silent and cannot confirm an older
                // version
    kWrittenNotInForceYet  // waits for the VMs in `lagging` and `silent`
  };
  State state = State::kWrittenNotInForceYet;
  std::vector<VmId> lagging;  // sent a recent heartbeat without the version, or
                              // with another digest
  /**
   * False on a VM that started recently and has no platform list; the state is
   * then never kAccepted.
   */
  bool members_known = true;
  std::vector<VmId>
      silent;  // lacked the version in the last heartbeat, which is too old
  friend auto operator<=>(const InForceReport&, const InForceReport&) = default;
};

/**
 * Evaluates whether a version is in force, from the view of the VM that the
 * operator called.
 *
 * A silent VM stops taking calls once neither the store nor more than half of
 * its peers have confirmed its version for `silence`. If half or more of all
 * VMs are silent, they could confirm one another, so the version is not
 * accepted. After an acceptance with silent VMs, these may still take calls for
 * `silence`, because they may have received heartbeats from peers that the
 * operator's VM did not.
 *
 * @param silence  the time after which a VM without confirmation refuses calls
 */
InForceReport MakeInForceReport(TimePoint now, ObjectVersion version,
                                const std::string& digest,
                                const ClusterView& view,
                                Duration silence = Duration::Seconds(6));

}  // namespace zr
