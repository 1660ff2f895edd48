#pragma once

#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/** Statistics of a run, reported when its grants are released. */
struct RunReport {
  TokenCount prompt;
  TokenCount answered;
  Duration run_time;
  Duration first_token;  // from start to the first token, 0 if unknown
};

/**
 * The grants of one request. Each received grant is released or transferred
 * exactly once; the destructor asserts that none is left (no_kv_leak).
 */
class GrantLedger {
 public:
  GrantLedger() = default;
  ~GrantLedger();
  GrantLedger(const GrantLedger&) = delete;
  GrantLedger& operator=(const GrantLedger&) = delete;

  /** Adds a grant; false if it was added before (a duplicate message). */
  bool Add(const Grant& grant);
  /**
   * Removes a grant and returns its release message; asserts that it is held.
   */
  OutgoingMessage MakeRelease(const Grant& grant, ReleaseOutcome outcome,
                              const RunReport& report);
  /** Removes a grant that now belongs to another VM. */
  void Transfer(const Grant& grant);

  bool empty() const { return held_.empty(); }
  const std::vector<Grant>& held() const { return held_; }

 private:
  using Key = std::tuple<VmId, Incarnation, GrantNumber, EndpointId>;
  static Key KeyOf(const Grant& grant);
  bool Remove(const Grant& grant);

  std::vector<Grant> held_;
  std::set<Key> seen_;
};

}  // namespace zr
