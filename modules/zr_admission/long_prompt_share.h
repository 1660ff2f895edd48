#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "zr_admission/rate_meter.h"
#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * The share of long prompts in the offered load of each pool, from which
 * follows how many endpoints of a pool take long prompts. Counts this VM's
 * offers and adds those that other VMs tell in their heartbeats.
 */
class LongPromptShare {
 public:
  explicit LongPromptShare(VmId self) : self_(std::move(self)) {}

  /** Counts an offered request of this VM. @param tokens  prompt and answer
   * bound */
  void OnOffered(TimePoint now, const PoolId& pool, TokenCount tokens,
                 bool long_prompt);
  /** Takes the demand that another VM tells. */
  void OnPeerDemand(const VmId& vm, const std::vector<PoolDemand>& demand);
  /** Forgets a VM that is no longer live. */
  void OnVmDown(const VmId& vm) { others_.erase(vm); }
  /** This VM's demand, for its heartbeat. */
  std::vector<PoolDemand> OwnDemand(TimePoint now) const;

  /** Share of long prompts in the pool's tokens, 0 to 1. */
  double ShareOf(TimePoint now, const PoolId& pool) const;
  /**
   * Endpoints that take long prompts, of `endpoints` in the pool: 0 without
   * long prompts, else at least 1 and, if there are two or more endpoints,
   * fewer than all. Changes only when the share moves clearly.
   * @param tokens_per_second  prompt tokens that one endpoint reads; bounds the
   * number to what the long prompts keep busy. 0 goes by the share alone.
   */
  int64_t LongPromptEndpoints(TimePoint now, const PoolId& pool,
                              int64_t endpoints, int64_t tokens_per_second = 0);

 private:
  /** Offered tokens a second, summed over live VMs. */
  struct Rates {
    double short_tokens = 0;
    double long_tokens = 0;
  };
  Rates RatesOf(TimePoint now, const PoolId& pool) const;

  struct OfferedRates {
    // Long prompts are rare: over 5 s their rate swung with each arrival, and
    // the set of endpoints that take them with it.
    RateMeter short_tokens{Duration::Seconds(60)};
    RateMeter long_tokens{Duration::Seconds(60)};
  };

  VmId self_;
  std::map<PoolId, OfferedRates> own_;
  std::map<VmId, std::vector<PoolDemand>> others_;
  std::map<PoolId, int64_t> chosen_;
};

}  // namespace zr
