#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "zr_admission/zr_admission.h"

namespace zr {

/** A VM that owns the endpoint. */
struct OwnerVm {
  VmId id;
  std::unique_ptr<EndpointOwner> owner;
  uint64_t incarnation = 0;
  TimePoint paused_until;
  TimePoint wakeup;
  int failed_polls = 0;
};

/** State of a call at its holder. */
struct Call {
  AdmissionRequest request;
  TimePoint deadline;
  std::optional<Grant> grant;
  bool started = false;
  std::set<int> informed_owners;  // owners that know the grant
};

/** A VM that holds grants. */
struct Holder {
  VmId id;
  bool alive = true;
  uint64_t incarnation = 1;
  uint64_t sequence = 0;
  TimePoint paused_until;
  int owner = 0;  // index of the VM that it considers the owner
  std::map<StreamKey, std::shared_ptr<Call>> calls;
  std::set<std::pair<VmId, GrantNumber>> released;
};

}  // namespace zr
