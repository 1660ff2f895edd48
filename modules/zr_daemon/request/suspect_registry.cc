#include "zr_daemon/request/suspect_registry.h"

#include <algorithm>

#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/request/request_table.h"

namespace zr {
namespace {

SuspectTable::Options TableOptions() {
  SuspectTable::Options options;
  // For some seconds after a failure, until the owner's polls have failed,
  // summaries still carry the old boot number. Only later summaries show that
  // the endpoint is alive.
  options.min_alive_delay = Duration::Seconds(5);
  return options;
}

/** The more blocks a prefix has, the more specific it is. */
std::vector<CrashSuspect> SuspectsOf(const std::vector<PrefixHash>& prefixes) {
  std::vector<CrashSuspect> suspects;
  suspects.reserve(prefixes.size());
  for (const PrefixHash prefix : prefixes) {
    suspects.push_back(
        {Fingerprint(prefix.value()), static_cast<uint32_t>(suspects.size())});
  }
  return suspects;
}

}  // namespace

SuspectRegistry::SuspectRegistry(NodeContext& context)
    : context_(context), table_(TableOptions()), leases_(table_) {}

DomainId SuspectRegistry::DomainOf(const EndpointId& endpoint) const {
  const auto snapshot = context_.cluster->Get();
  const EndpointInfo* info = snapshot->FindEndpoint(endpoint);
  return info == nullptr ? DomainId() : info->domain;
}

void SuspectRegistry::Report(const Suspect& suspect) {
  const DomainId domain = DomainOf(suspect.endpoint);
  bool is_new = false;
  {
    std::lock_guard lock(mutex_);
    is_new = table_.OnFailure(SteadyNow(), suspect, domain);
  }
  if (!is_new) return;
  NotifyRequests(suspect.fingerprint);
  context_.metrics.Count("zr_suspect_deaths_total",
                         {{"endpoint", suspect.endpoint.value()}});
  context_.bus->Broadcast(suspect);
}

void SuspectRegistry::OnSuspect(const Suspect& suspect) {
  const DomainId domain = DomainOf(suspect.endpoint);
  bool is_new = false;
  {
    std::lock_guard lock(mutex_);
    is_new = table_.OnFailure(SteadyNow(), suspect, domain);
  }
  if (is_new) NotifyRequests(suspect.fingerprint);
}

void SuspectRegistry::NotifyRequests(Fingerprint fingerprint) {
  // A queued request must not run under the status that it was queued with.
  context_.requests->OnSuspectStatus(fingerprint, StatusOf(fingerprint));
}

void SuspectRegistry::OnEndpointAlive(const EndpointId& endpoint,
                                      BootNumber boot) {
  std::lock_guard lock(mutex_);
  table_.OnEndpointAlive(SteadyNow(), endpoint, boot);
}

void SuspectRegistry::OnSnapshot(const ClusterSnapshot& snapshot) {
  std::vector<VmId> live;
  std::vector<VmId> joined;
  for (const auto& [vm, view] : snapshot.view->live) live.push_back(vm);
  std::vector<Suspect> recent;
  CrashEvidence evidence;
  {
    std::lock_guard lock(mutex_);
    if (live == live_) return;
    std::set_difference(live.begin(), live.end(), live_.begin(), live_.end(),
                        std::back_inserter(joined));
    live_ = live;
    leases_.OnViewChanged(SteadyNow());
    if (!joined.empty()) {
      recent = table_.RecentSuspects(SteadyNow());
      evidence = attribution_.Snapshot(SteadyNow());
    }
  }
  for (const VmId& vm : joined) {
    if (vm == context_.settings.vm) continue;
    for (const Suspect& suspect : recent) context_.bus->Send(vm, suspect);
    for (const CrashEvidence& message : SplitEvidence(evidence)) {
      context_.bus->Send(vm, message);
    }
  }
}

SuspectStatus SuspectRegistry::StatusOf(Fingerprint fingerprint) {
  std::lock_guard lock(mutex_);
  return table_.StatusOf(SteadyNow(), fingerprint);
}

void SuspectRegistry::ReportUnanswered(
    const EndpointId& endpoint, BootNumber boot,
    const std::vector<PrefixHash>& prefixes) {
  if (prefixes.empty()) return;
  CrashAttribution::News news;
  {
    std::lock_guard lock(mutex_);
    const std::vector<CrashSuspect> suspects =
        attribution_.SelectSuspects(SuspectsOf(prefixes));
    news = attribution_.Merge(
        SteadyNow(), {{{endpoint, boot, Duration(), suspects}}, {}, {}});
  }
  Append(news.reported, std::move(news.contradicting));
  for (const CrashEvidence& message : SplitEvidence(std::move(news.reported))) {
    context_.bus->Broadcast(message);
  }
  RefuseBlamedRequests();
}

void SuspectRegistry::OnAnswered(const std::vector<PrefixHash>& prefixes) {
  CrashEvidence news;
  {
    std::lock_guard lock(mutex_);
    news = attribution_.OnAnswered(SteadyNow(), SuspectsOf(prefixes));
  }
  if (IsEmpty(news)) return;
  context_.bus->Broadcast(news);
  RefuseBlamedRequests();
}

void SuspectRegistry::OnEvidence(const CrashEvidence& evidence) {
  CrashAttribution::News news;
  {
    std::lock_guard lock(mutex_);
    news = attribution_.Merge(SteadyNow(), evidence);
  }
  if (!IsEmpty(news.contradicting)) {
    context_.bus->Broadcast(news.contradicting);
  }
  RefuseBlamedRequests();
}

bool SuspectRegistry::IsBlamed(const std::vector<PrefixHash>& prefixes) {
  std::lock_guard lock(mutex_);
  return attribution_.FindBlame(SteadyNow(), SuspectsOf(prefixes)) != nullptr;
}

void SuspectRegistry::RefuseBlamedRequests() {
  size_t blamed = 0;
  {
    std::lock_guard lock(mutex_);
    blamed = attribution_.Blames(SteadyNow()).size();
  }
  context_.metrics.Set("zr_suspect_prefixes_blamed", {},
                       static_cast<double>(blamed));
  if (blamed > 0) context_.requests->RefuseBlamed(*this);
}

void SuspectRegistry::SendLeaseRequest(SuspectLeaseRequest request) {
  VmId locator = context_.settings.vm;
  {
    std::lock_guard lock(mutex_);
    if (request.released && request.completed) {
      table_.OnRunCompleted(SteadyNow(), request.fingerprint);
    }
    const std::string key = std::to_string(request.fingerprint.value());
    double best = -1;
    for (const VmId& vm : live_) {
      const double score = RendezvousScore(key, vm.value());
      if (score > best) {
        best = score;
        locator = vm;
      }
    }
  }
  context_.bus->Send(locator, request);
}

void SuspectRegistry::OnLeaseRequest(const VmId& from,
                                     const SuspectLeaseRequest& request) {
  SuspectLeaseReply reply;
  {
    std::lock_guard lock(mutex_);
    reply = leases_.OnLeaseRequest(SteadyNow(), from, request);
  }
  if (!request.released) context_.bus->Send(from, reply);
}

}  // namespace zr
