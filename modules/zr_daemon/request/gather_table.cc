#include "zr_daemon/request/gather_table.h"

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/request/route_selector.h"

namespace zr {
namespace {

constexpr Duration kTickPeriod = Duration::Milliseconds(50);

}  // namespace

GatherTable::GatherTable(NodeContext& context)
    : context_(context), timer_(context.io) {}

void GatherTable::Schedule() {
  timer_.expires_after(std::chrono::microseconds(kTickPeriod.microseconds()));
  timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    const TimePoint now = SteadyNow();
    ForEach([this, now](const PoolId& pool, GatherCoordinator& coordinator) {
      if (coordinator.pending() == 0) return GatherCoordinator::Messages();
      coordinator.OnCandidates(context_.selector->GatherCandidates(pool));
      return coordinator.OnTick(now);
    });
    Schedule();
  });
}

template <typename Step>
void GatherTable::ForEach(Step step) {
  GatherCoordinator::Messages messages;
  {
    std::lock_guard lock(mutex_);
    for (auto& [pool, coordinator] : coordinators_) {
      for (auto& message : step(pool, *coordinator)) {
        messages.push_back(std::move(message));
      }
    }
  }
  Send(messages);
}

void GatherTable::Send(const GatherCoordinator::Messages& messages) {
  for (const OutgoingMessage& out : messages) {
    context_.bus->Send(out.to, out.message);
  }
}

void GatherTable::OnRequest(const VmId& from, const AdmissionRequest& request) {
  const auto snapshot = context_.cluster->Get();
  const PoolPolicy* policy = snapshot->environment
                                 ? snapshot->environment->FindPool(request.pool)
                                 : nullptr;
  if (policy == nullptr) {
    Refusal refusal;
    refusal.request = request.request;
    refusal.attempt = request.attempt;
    refusal.reason = RefusalReason::kNotOwner;
    context_.bus->Send(from, refusal);
    return;
  }
  auto candidates = context_.selector->GatherCandidates(request.pool);
  GatherCoordinator::Messages messages;
  {
    std::lock_guard lock(mutex_);
    auto& coordinator = coordinators_[request.pool];
    if (!coordinator) {
      coordinator = std::make_unique<GatherCoordinator>(
          context_.settings.vm, *policy, Hash64(context_.settings.vm.value()));
    }
    coordinator->OnPolicy(*policy);
    coordinator->OnCandidates(std::move(candidates));
    messages = coordinator->OnRequest(SteadyNow(), from, request);
  }
  Send(messages);
}

void GatherTable::OnReply(const VmId& from, const GatherReply& reply) {
  const TimePoint now = SteadyNow();
  ForEach([&](const PoolId&, GatherCoordinator& c) {
    return c.OnReply(now, from, reply);
  });
}

void GatherTable::OnCancel(const VmId& from, const CancelAdmission& cancel) {
  const TimePoint now = SteadyNow();
  ForEach([&](const PoolId&, GatherCoordinator& c) {
    return c.OnCancel(now, from, cancel);
  });
}

void GatherTable::OnVmDown(const VmId& vm) {
  const TimePoint now = SteadyNow();
  ForEach(
      [&](const PoolId&, GatherCoordinator& c) { return c.OnVmDown(now, vm); });
}

}  // namespace zr
