#include "zr_membership/drain_rules.h"

#include <string>

namespace zr {
namespace {

/**
 * Raises the decision to a stricter state; among equal states the first source
 * stays.
 */
void Tighten(DrainDecision& decision, ServiceState state, DrainSource source) {
  if (state > decision.state) decision = {state, source};
}

void TightenIf(bool condition, DrainDecision& decision, ServiceState state,
               DrainSource source) {
  if (condition) Tighten(decision, state, source);
}

bool Drained(const Drains& drains, DrainKind kind, const std::string& name) {
  for (const Drain& drain : drains) {
    if (drain.kind == kind && drain.name == name) return true;
  }
  return false;
}

ServiceState StateForCount(int64_t count, int64_t probing_after,
                           int64_t down_after) {
  if (count >= down_after) return ServiceState::kDown;
  if (count >= probing_after) return ServiceState::kProbing;
  return ServiceState::kInService;
}

}  // namespace

std::string_view ToString(ServiceState state) {
  switch (state) {
    case ServiceState::kInService:
      return "in_service";
    case ServiceState::kProbing:
      return "probing";
    case ServiceState::kDraining:
      return "draining";
    case ServiceState::kDown:
      return "down";
  }
  return "unknown";
}

std::string_view ToString(DrainSource source) {
  switch (source) {
    case DrainSource::kNone:
      return "none";
    case DrainSource::kFailures:
      return "failures";
    case DrainSource::kSelfReported:
      return "own_word";
    case DrainSource::kPlatformList:
      return "platform_list";
    case DrainSource::kEndpointDrain:
      return "endpoint_drain";
    case DrainSource::kVmDrain:
      return "vm_drain";
    case DrainSource::kDomainDrain:
      return "domain_drain";
  }
  return "unknown";
}

DrainDecision DecideEndpoint(const EndpointInfo& endpoint,
                             const EndpointSignals& signals,
                             const Drains& drains, const DrainLimits& limits) {
  using enum ServiceState;
  DrainDecision decision;
  TightenIf(Drained(drains, DrainKind::kDomain, endpoint.domain.value()),
            decision, kDraining, DrainSource::kDomainDrain);
  TightenIf(Drained(drains, DrainKind::kEndpoint, endpoint.endpoint.value()),
            decision, kDraining, DrainSource::kEndpointDrain);
  TightenIf(signals.listed_leaving, decision, kDraining,
            DrainSource::kPlatformList);
  TightenIf(signals.reported_leaving, decision, kDraining,
            DrainSource::kSelfReported);
  TightenIf(!signals.reported, decision, kProbing, DrainSource::kFailures);
  Tighten(
      decision,
      StateForCount(signals.consecutive_failures, limits.probing_after_failures,
                    limits.down_after_failures),
      DrainSource::kFailures);
  Tighten(
      decision,
      StateForCount(signals.missed_reports, limits.probing_after_missed_reports,
                    limits.down_after_missed_reports),
      DrainSource::kFailures);
  return decision;
}

DrainDecision DecideVm(const VmId& vm, const DomainId& domain,
                       const VmSignals& signals, const Drains& drains) {
  using enum ServiceState;
  DrainDecision decision;
  TightenIf(Drained(drains, DrainKind::kDomain, domain.value()), decision,
            kDraining, DrainSource::kDomainDrain);
  TightenIf(Drained(drains, DrainKind::kVm, vm.value()), decision, kDraining,
            DrainSource::kVmDrain);
  TightenIf(signals.listed_leaving, decision, kDraining,
            DrainSource::kPlatformList);
  TightenIf(signals.announced_leaving, decision, kDraining,
            DrainSource::kSelfReported);
  TightenIf(!signals.live, decision, kDown, DrainSource::kFailures);
  return decision;
}

}  // namespace zr
