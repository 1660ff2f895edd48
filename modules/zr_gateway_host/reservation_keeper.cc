#include "zr_gateway_host/reservation_keeper.h"

#include <utility>

#include "zr_gateway_host/path_exchange.h"

namespace zr {
namespace {

// An engine answers an order immediately; connecting takes two round trips.
constexpr Duration kOrderTimeout = Duration::Milliseconds(400);
// Answers to orders have only a few fields; an engine's report also has its
// reservations.
constexpr size_t kMaxAnswerBytes = 64 << 10;

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
                                const PlacementPlan& plan, DoneCallback done,
                                IdleCallback on_idle) {
  const std::string name = Name(call);
  std::vector<PlacedEndpoint> engines(
      plan.helpers.begin(),
      plan.helpers.begin() + static_cast<int64_t>(plan.kv_holders));
  auto [it, added] = sets_.try_emplace(
      name, Entry{ReservationSet(name, std::move(engines), plan.kv_per_holder,
                                 ttl_, max_idle_),
                  call.request, std::move(done), std::move(on_idle)});
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
  it->second.on_idle = nullptr;
  Send(it->first, it->second.set.End(now));
  NotifyResult(now, Name(call));
}

void ReservationKeeper::Tick(TimePoint now) {
  std::vector<std::string> names;
  for (const auto& [name, entry] : sets_) names.push_back(name);
  for (const std::string& name : names) {
    if (auto it = sets_.find(name); it != sets_.end()) {
      Send(name, it->second.set.Tick(now));
      if (it->second.on_idle && it->second.set.TakeUseQuery(now)) {
        QueryUse(name);
      }
    }
    NotifyResult(now, name);
  }
}

void ReservationKeeper::Send(const std::string& name,
                             const ReservationSet::Orders& orders) {
  for (const MemoryOrder& order : orders) {
    Fetch(
        order.endpoint.endpoint, codec_.write_order(order),
        [this, name, order](tl::expected<ClientResponse, ClientFailure> reply) {
          // An order of which nothing was sent was not carried out.
          const bool unsent = !reply && !reply.error().request_sent;
          constexpr int kUnsentStatus = -1;
          OnOutcome(name, order,
                    reply    ? reply->status
                    : unsent ? kUnsentStatus
                             : 0);
        },
        [this, name, order] { OnSentAgain(name, order); });
  }
}

void ReservationKeeper::Fetch(
    const EndpointId& endpoint, ClientRequest request,
    std::function<void(tl::expected<ClientResponse, ClientFailure>)> done,
    std::function<void()> on_sent_again) {
  request.connect_timeout = kOrderTimeout;
  request.total_timeout = kOrderTimeout;
  request.no_resend = true;
  const auto through = TunnelVmFor(endpoint);
  if (through) state_.paths->Apply(*through, endpoint, request);
  ClientRequest again = request;
  again.new_connection = true;
  state_.http->Fetch(
      std::move(request), kMaxAnswerBytes,
      [this, endpoint, through, again = std::move(again),
       done = std::move(done), on_sent_again = std::move(on_sent_again)](
          tl::expected<ClientResponse, ClientFailure> reply) {
        if (!reply && reply.error().idle_connection_dropped) {
          if (on_sent_again) on_sent_again();
          return Fetch(endpoint, again, done);
        }
        if (!reply && !reply.error().request_sent) {
          state_.paths->OnConnection(BootNow(), endpoint,
                                     through ? &*through : nullptr, false);
        }
        done(std::move(reply));
      });
}

void ReservationKeeper::QueryUse(const std::string& name) {
  const ReservationSet& set = sets_.at(name).set;
  const PlacedEndpoint& engine = set.engines().front();
  Fetch(engine.endpoint, codec_.write_use_query(engine),
        [this, name,
         id = set.IdAt(0)](tl::expected<ClientResponse, ClientFailure> reply) {
          OnUse(name,
                reply ? codec_.read_use(*reply, id) : ReservationUse::kUnknown);
        });
}

void ReservationKeeper::OnUse(const std::string& name, ReservationUse use) {
  auto it = sets_.find(name);
  if (it == sets_.end()) return;
  const bool give_up = it->second.set.OnUse(use);
  state_.log.Write(
      BootNow(), "reservation_use",
      {{"request", it->second.request.value()},
       {"endpoint", it->second.set.engines().front().endpoint.value()},
       {"known", use != ReservationUse::kUnknown},
       {"used", use == ReservationUse::kUsed}});
  if (!give_up) return;
  // Ends the call, and the reservations with it.
  if (auto on_idle = std::exchange(it->second.on_idle, nullptr)) on_idle();
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

void ReservationKeeper::OnSentAgain(const std::string& name,
                                    const MemoryOrder& order) {
  auto it = sets_.find(name);
  if (it == sets_.end()) return;
  const TimePoint now = BootNow();
  it->second.set.OnSentAgain(now, order);
  state_.log.Write(now, "order_sent_again",
                   {{"request", it->second.request.value()},
                    {"endpoint", order.endpoint.endpoint.value()}});
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
