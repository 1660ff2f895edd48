#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "zr_admission/rate_meter.h"
#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Share of long prompts in the offered load of each pool, which determines how
 * many endpoints of a pool take long prompts. Sums this VM's offered load and
 * that from the heartbeats of other VMs.
 */
class LongPromptShare {
 public:
  explicit LongPromptShare(VmId self) : self_(std::move(self)) {}

  /** Counts a request offered to this VM.
   * @param tokens  prompt and answer limit */
  void OnOffered(TimePoint now, const PoolId& pool, TokenCount tokens,
                 bool long_prompt);
  /** Stores the demand from another VM's heartbeat. */
  void OnPeerDemand(const VmId& vm, const std::vector<PoolDemand>& demand);
  /** Drops the demand of a VM that is no longer live. */
  void OnVmDown(const VmId& vm) { others_.erase(vm); }
  /** Returns this VM's demand for its heartbeat. */
  std::vector<PoolDemand> OwnDemand(TimePoint now) const;

  /** Share of long prompts in the pool's offered tokens, 0 to 1. */
  double ShareOf(TimePoint now, const PoolId& pool) const;
  /**
   * How many of the pool's `endpoints` take long prompts: 0 without long
   * prompts, else at least 1 and, with two or more endpoints, fewer than all.
   * Changes with hysteresis.
   *
   * @param tokens_per_second  prefill speed of one endpoint; limits the number
   *        to the endpoints that long prompts keep busy. 0: no such limit
   */
  int64_t LongPromptEndpoints(TimePoint now, const PoolId& pool,
                              int64_t endpoints, int64_t tokens_per_second = 0);

 private:
  /** Offered tokens per second, summed over live VMs. */
  struct Rates {
    double short_tokens = 0;
    double long_tokens = 0;
  };
  Rates RatesOf(TimePoint now, const PoolId& pool) const;

  struct OfferedRates {
    // Long prompts are rare: with a time constant of 5 s, their rate and the
    // set of endpoints that take them changed with each arrival.
    RateMeter short_tokens{Duration::Seconds(60)};
    RateMeter long_tokens{Duration::Seconds(60)};
  };

  VmId self_;
  std::map<PoolId, OfferedRates> own_;
  std::map<VmId, std::vector<PoolDemand>> others_;
  std::map<PoolId, int64_t> chosen_;
};

}  // namespace zr
