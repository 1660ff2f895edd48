#pragma once

#include <unordered_map>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Engine time that each team, and each failure domain of callers, has used
 * recently. Serving the least usage first gives max-min fair shares: a team
 * that asks for less than its share is served at once, and the others divide
 * what is left equally. Answers the load of a few large teams, or of one
 * domain's callers, that ask for more than the pool can serve.
 *
 * The round robin of AdmissionQueue forgets deficits when its queue is empty;
 * a pool's queue empties within milliseconds, so usage decays with time
 * instead.
 */
class FairShares {
 public:
  /** Time after which usage counts half. */
  static constexpr Duration kHalfLife = Duration::Seconds(5);

  /** Usage of a team or domain; comparable with others of the same object at
   * any time, as all decay alike. The address stays valid. */
  struct Usage {
    double scaled_ms = 0;
  };

  /** Adds engine time to the usage of a team and of a domain. */
  void Charge(TimePoint now, const TeamId& team, const DomainId& domain,
              double engine_ms);

  const Usage& OfTeam(const TeamId& team) { return teams_[team]; }
  const Usage& OfDomain(const DomainId& domain) { return domains_[domain]; }
  /** Decayed usage of a team in ms of engine time. */
  double TeamMilliseconds(TimePoint now, const TeamId& team) const;

 private:
  double Scale(TimePoint now) const;
  /** Moves the reference time, so that scaled values stay small. */
  void Rebase(TimePoint now);

  TimePoint reference_;  // usage at this time is scaled by 1
  std::unordered_map<TeamId, Usage> teams_;
  std::unordered_map<DomainId, Usage> domains_;
};

}  // namespace zr
