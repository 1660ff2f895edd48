#pragma once

#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** How a run went, for the GrantRelease of its grants. */
struct RunReport {
  TokenCount prompt;
  TokenCount answered;
  Duration run_time;
  Duration first_token;  // from start to the first token, 0 if not known
};

/**
 * The grants of one request. Each grant that was received is released or handed
 * over exactly once; the destructor asserts that none is left (no_kv_leak).
 */
class GrantLedger {
 public:
  GrantLedger() = default;
  ~GrantLedger();
  GrantLedger(const GrantLedger&) = delete;
  GrantLedger& operator=(const GrantLedger&) = delete;

  /** Takes a grant in; false if it is known already (a repeated message). */
  bool Add(const Grant& grant);
  /** Gives a grant back; asserts that it is held. */
  OutgoingMessage MakeRelease(const Grant& grant, ReleaseOutcome outcome,
                              const RunReport& report);
  /** The grant now belongs to another VM. */
  void HandOver(const Grant& grant);

  bool empty() const { return held_.empty(); }
  const std::vector<Grant>& held() const { return held_; }

 private:
  using Key = std::tuple<VmId, Incarnation, GrantNumber, EndpointId>;
  static Key KeyOf(const Grant& grant);
  bool Remove(const Grant& grant);

  std::vector<Grant> held_;
  std::set<Key> known_;
};

}  // namespace zr
