#include "zr_gateway_host/reservation_keeper.h"

#include <utility>

#include "zr_gateway_host/path_exchange.h"

namespace zr {
namespace {

// An engine answers an order immediately; connecting takes two round trips.
constexpr Duration kOrderTimeout = Duration::Milliseconds(400);
// Answers to orders have only a few fields.
constexpr size_t kMaxOrderAnswer = 4096;

OrderOutcome OutcomeOf(int status) {
  if (status == 200) return OrderOutcome::kDone;
  return status == 0 ? OrderOutcome::kUnknown : OrderOutcome::kRefused;
}

}  // namespace

std::string ReservationKeeper::Name(const CallKey& call) {
  return call.vm.value() + "." + call.request.value() + "." +
         std::to_string(call.call_number);
}

std::string ReservationKeeper::IdAt(const CallKey& call, size_t holder) {
  return Name(call) + "." + std::to_string(holder);
}

void ReservationKeeper::Reserve(TimePoint now, const CallKey& call,
                                const PlacementPlan& plan, DoneCallback done) {
  const std::string name = Name(call);
  std::vector<PlacedEndpoint> engines(
      plan.helpers.begin(),
      plan.helpers.begin() + static_cast<int64_t>(plan.kv_holders));
  auto [it, added] = sets_.try_emplace(
      name,
      Entry{ReservationSet(name, std::move(engines), plan.kv_per_holder, ttl_),
            call.request, std::move(done)});
  if (!added) return;
  state_.log.Write(now, "reserve",
                   {{"request", call.request.value()},
                    {"name", name},
                    {"holders", plan.kv_holders},
                    {"tokens", plan.kv_per_holder.value()}});
  Send(name, it->second.set.Begin(now));
}

void ReservationKeeper::Release(TimePoint now, const CallKey& call) {
  auto it = sets_.find(Name(call));
  if (it == sets_.end()) return;
  it->second.done = nullptr;
  Send(it->first, it->second.set.End(now));
  NotifyResult(now, Name(call));
}

void ReservationKeeper::Tick(TimePoint now) {
  std::vector<std::string> names;
  for (const auto& [name, entry] : sets_) names.push_back(name);
  for (const std::string& name : names) {
    if (auto it = sets_.find(name); it != sets_.end()) {
      Send(name, it->second.set.Tick(now));
    }
    NotifyResult(now, name);
  }
}

void ReservationKeeper::Send(const std::string& name,
                             const ReservationSet::Orders& orders) {
  for (const MemoryOrder& order : orders) {
    ClientRequest request = write_(order);
    request.connect_timeout = kOrderTimeout;
    request.total_timeout = kOrderTimeout;
    request.no_resend = true;
    const EndpointId endpoint = order.endpoint.endpoint;
    const auto through = TunnelVmFor(endpoint);
    if (through) state_.paths->Apply(*through, endpoint, request);
    state_.http->Fetch(
        std::move(request), kMaxOrderAnswer,
        [this, name, order,
         through](tl::expected<ClientResponse, ClientFailure> reply) {
          // An order of which nothing was sent was not carried out.
          const bool unsent = !reply && !reply.error().request_sent;
          constexpr int kUnsentStatus = -1;
          if (unsent) {
            state_.paths->OnConnection(BootNow(), order.endpoint.endpoint,
                                       through ? &*through : nullptr, false);
          }
          OnOutcome(name, order,
                    reply    ? reply->status
                    : unsent ? kUnsentStatus
                             : 0);
        });
  }
}

std::optional<TunnelVm> ReservationKeeper::TunnelVmFor(
    const EndpointId& endpoint) const {
  const EndpointState* state = state_.tracker.Find(endpoint);
  if (state == nullptr) return std::nullopt;
  return state_.paths->ChooseTunnelVm(BootNow(), state->listed.service, {});
}

void ReservationKeeper::OnOutcome(const std::string& name,
                                  const MemoryOrder& order, int status) {
  auto it = sets_.find(name);
  if (it == sets_.end()) return;
  const TimePoint now = BootNow();
  const OrderOutcome outcome = OutcomeOf(status);
  if (outcome != OrderOutcome::kDone) {
    state_.log.Write(
        now, "order_failed",
        {{"request", it->second.request.value()},
         {"endpoint", order.endpoint.endpoint.value()},
         {"order",
          order.kind == MemoryOrder::Kind::kReserve ? "reserve" : "release"},
         {"status", status},
         {"renewal", it->second.set.state() == ReservationSet::State::kHeld}});
  }
  Send(name, it->second.set.OnOutcome(now, order, outcome));
  NotifyResult(now, name);
}

void ReservationKeeper::NotifyResult(TimePoint now, const std::string& name) {
  auto it = sets_.find(name);
  if (it == sets_.end()) return;
  const ReservationSet::State state = it->second.set.state();
  if (state == ReservationSet::State::kPending) return;
  DoneCallback done = std::exchange(it->second.done, nullptr);
  if (done) {
    state_.log.Write(now, "reserved",
                     {{"request", it->second.request.value()},
                      {"held", state == ReservationSet::State::kHeld}});
  }
  if (state == ReservationSet::State::kClosed) sets_.erase(it);
  if (done) done(state == ReservationSet::State::kHeld);
}

}  // namespace zr
