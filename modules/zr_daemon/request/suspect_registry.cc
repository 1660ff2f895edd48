#include "zr_daemon/request/suspect_registry.h"

#include <algorithm>

#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/request/request_table.h"

namespace zr {
namespace {

SuspectTable::Options TableOptions() {
  SuspectTable::Options options;
  // Summaries name the boot number for some seconds after a death, until the
  // owner's polls have failed, so only later ones show that the endpoint lives.
  options.min_alive_delay = Duration::Seconds(5);
  return options;
}

}  // namespace

SuspectRegistry::SuspectRegistry(NodeContext& context)
    : context_(context), table_(TableOptions()), turns_(table_) {}

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
  TellRequests(suspect.fingerprint);
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
  if (is_new) TellRequests(suspect.fingerprint);
}

void SuspectRegistry::TellRequests(Fingerprint fingerprint) {
  // A request that waits in a queue must not run as if nothing had happened.
  context_.requests->OnVerdict(fingerprint, Verdict(fingerprint));
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
  {
    std::lock_guard lock(mutex_);
    if (live == live_) return;
    std::set_difference(live.begin(), live.end(), live_.begin(), live_.end(),
                        std::back_inserter(joined));
    live_ = live;
    turns_.OnViewChanged(SteadyNow());
    if (!joined.empty()) recent = table_.RecentSuspects(SteadyNow());
  }
  for (const VmId& vm : joined) {
    if (vm == context_.settings.vm) continue;
    for (const Suspect& suspect : recent) context_.bus->Send(vm, suspect);
  }
}

SuspectStatus SuspectRegistry::Verdict(Fingerprint fingerprint) {
  std::lock_guard lock(mutex_);
  return table_.StatusOf(SteadyNow(), fingerprint);
}

void SuspectRegistry::SendTurn(SuspectLeaseRequest turn) {
  VmId locator = context_.settings.vm;
  {
    std::lock_guard lock(mutex_);
    if (turn.released && turn.completed) {
      table_.OnRunCompleted(SteadyNow(), turn.fingerprint);
    }
    const std::string key = std::to_string(turn.fingerprint.value());
    double best = -1;
    for (const VmId& vm : live_) {
      const double score = RendezvousScore(key, vm.value());
      if (score > best) {
        best = score;
        locator = vm;
      }
    }
  }
  context_.bus->Send(locator, turn);
}

void SuspectRegistry::OnTurn(const VmId& from,
                             const SuspectLeaseRequest& turn) {
  SuspectLeaseReply reply;
  {
    std::lock_guard lock(mutex_);
    reply = turns_.OnLeaseRequest(SteadyNow(), from, turn);
  }
  if (!turn.released) context_.bus->Send(from, reply);
}

}  // namespace zr
