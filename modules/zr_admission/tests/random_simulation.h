#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_engine.h"
#include "fake_vms.h"

namespace zr {

/** Simulates two owners of one engine, several holders and their faults. */
class RandomSimulation {
 public:
  explicit RandomSimulation(uint64_t seed)
      : random_(seed), engine_(FakeEngine::Options{}) {
    pool_.pool = PoolId("reader");
    pool_.max_requests = 16;
    pool_.fresh_requests = 4;
    pool_.warm_after_requests = 32;
    for (int i = 0; i < 2; ++i) {
      owners_.emplace_back();
      owners_.back().id = VmId("owner" + std::to_string(i));
    }
    for (int i = 0; i < 5; ++i) {
      holders_.emplace_back();
      holders_.back().id = VmId("vm" + std::to_string(i));
    }
    CreateOwner(owners_[0], false);
    clock_.After(Duration::Seconds(2),
                 [this] { CreateOwner(owners_[1], true); });
    EngineTick();
    OwnerTick();
    ListTick();
    ArrivalTick();
    FaultTick();
  }

  void Run() {
    clock_.RunUntil(clock_.now() + Duration::Seconds(90));
    faults_stopped_ = true;
    clock_.RunUntil(clock_.now() + Duration::Seconds(200));
    INFO("completed " << completed << " of " << arrived << ", refused "
                      << refused);
    CHECK(engine_.overruns == 0);
    CHECK(engine_.KvUsed() == 0);
    for (const OwnerVm& vm : owners_) {
      CHECK(vm.owner->grants().reserved() == TokenCount(0));
      CHECK(vm.owner->Snapshot().queued == 0);
    }
    CHECK(Invariants::Total() == 0);
    CHECK(completed > 20);
  }

  int arrived = 0;
  int completed = 0;
  int refused = 0;

 private:
  Duration Millis(int64_t low, int64_t high) {
    return Duration::Milliseconds(
        low + static_cast<int64_t>(
                  random_.Below(static_cast<uint64_t>(high - low + 1))));
  }
  bool DropMessage() { return !faults_stopped_ && random_.Chance(0.02); }

  void CreateOwner(OwnerVm& vm, bool taken_over) {
    OwnerOptions options;
    options.self = vm.id;
    options.incarnation = Incarnation(++vm.incarnation);
    options.endpoint.endpoint = EndpointId("e1");
    options.endpoint.pool = pool_.pool;
    options.policies = OwnerPolicies{pool_, std::make_shared<ClassPolicies>(),
                                     std::make_shared<TeamPolicies>()};
    options.taken_over = taken_over;
    vm.owner = EndpointOwner::Create(options, clock_.now()).value();
    vm.failed_polls = 0;
    vm.wakeup = TimePoint();
  }

  /** Runs an event of an owner; if the owner is paused, after its pause. */
  void WithOwner(int index, std::function<OwnerActions(EndpointOwner&)> event) {
    OwnerVm& vm = owners_[static_cast<size_t>(index)];
    if (!vm.owner) return;
    if (clock_.now() < vm.paused_until) {
      const uint64_t incarnation = vm.incarnation;
      clock_.At(vm.paused_until, [this, index, incarnation,
                                  event = std::move(event)] {
        if (owners_[static_cast<size_t>(index)].incarnation == incarnation) {
          WithOwner(index, event);
        }
      });
      return;
    }
    Perform(index, event(*vm.owner));
    const TimePoint wake = vm.owner->NextWakeup();
    if (wake < vm.wakeup || vm.wakeup <= clock_.now()) {
      vm.wakeup = std::max(wake, clock_.now() + Duration::Milliseconds(1));
      if (wake == TimePoint::Max()) return;
      clock_.At(vm.wakeup, [this, index, incarnation = vm.incarnation] {
        if (owners_[static_cast<size_t>(index)].incarnation != incarnation) {
          return;
        }
        WithOwner(index,
                  [this](EndpointOwner& o) { return o.OnTick(clock_.now()); });
      });
    }
  }

  void Perform(int index, OwnerActions actions) {
    for (OwnerAction& action : actions) {
      if (DropMessage()) continue;
      if (auto* send = std::get_if<SendMessage>(&action)) {
        const TimePoint sent = clock_.now();
        clock_.After(Millis(1, 5), [this, index, sent, message = *send] {
          Deliver(index, sent, message);
        });
      } else if (auto* cancel = std::get_if<CancelEngineStream>(&action)) {
        clock_.After(Millis(1, 5),
                     [this, id = cancel->stream_id] { engine_.Cancel(id); });
      } else if (std::holds_alternative<RequestStreamList>(action)) {
        const uint64_t incarnation =
            owners_[static_cast<size_t>(index)].incarnation;
        clock_.After(Millis(1, 5), [this, index, incarnation] {
          if (engine_.down()) return;
          const EngineStreams list = engine_.List();
          clock_.After(Millis(1, 5), [this, index, incarnation, list] {
            if (owners_[static_cast<size_t>(index)].incarnation !=
                incarnation) {
              return;
            }
            WithOwner(index, [this, list](EndpointOwner& owner) {
              return owner.OnStreamList(clock_.now(), list);
            });
          });
        });
      }
    }
  }

  void Deliver(int owner, TimePoint sent, const SendMessage& message) {
    for (Holder& holder : holders_) {
      if (holder.id != message.to || !holder.alive) continue;
      if (clock_.now() < holder.paused_until) {
        clock_.At(holder.paused_until,
                  [=, this] { Deliver(owner, sent, message); });
        return;
      }
      if (const auto* grant = std::get_if<Grant>(&message.message)) {
        OnGrant(holder, owner, sent, *grant);
      } else if (const auto* refusal = std::get_if<Refusal>(&message.message)) {
        ++refused;
        const auto it =
            holder.calls.find(StreamKey{refusal->request, refusal->attempt});
        if (it != holder.calls.end() && !it->second->grant) {
          holder.calls.erase(it);
        }
      }
    }
  }

  template <typename Message>
  void SendToOwner(int index, const Message& message, const VmId& from) {
    if (DropMessage()) return;
    clock_.After(Millis(1, 5), [=, this] {
      WithOwner(index, [=, this](EndpointOwner& owner) -> OwnerActions {
        const TimePoint now = clock_.now();
        if constexpr (std::is_same_v<Message, AdmissionRequest>) {
          return owner.OnAdmissionRequest(now, from, message);
        } else if constexpr (std::is_same_v<Message, GrantRelease>) {
          return owner.OnRelease(now, from, message);
        } else if constexpr (std::is_same_v<Message, CancelAdmission>) {
          return owner.OnCancel(now, from, message);
        } else {
          return owner.OnHeldGrants(now, message);
        }
      });
    });
  }

  void ReleaseGrant(Holder& holder, const Grant& grant,
                    const std::set<int>& informed_owners,
                    ReleaseOutcome outcome, const Call* call) {
    holder.released.insert({grant.owner, grant.number});
    GrantRelease release;
    release.request = grant.request;
    release.attempt = grant.attempt;
    release.endpoint = grant.endpoint;
    release.number = grant.number;
    release.outcome = outcome;
    if (call != nullptr) release.answered = call->request.max_answer;
    release.run_time = Duration::Seconds(1);
    for (int owner : informed_owners) SendToOwner(owner, release, holder.id);
  }

  void OnGrant(Holder& holder, int owner, TimePoint sent, const Grant& grant) {
    const StreamKey key{grant.request, grant.attempt};
    const auto it = holder.calls.find(key);
    const bool known = it != holder.calls.end();
    // A released grant must not be used when it is offered again.
    if (holder.released.contains({grant.owner, grant.number})) return;
    if (known && it->second->grant &&
        it->second->grant->number == grant.number &&
        it->second->grant->owner == grant.owner) {
      return;
    }
    // A grant is released unused if no call waits for it or it is too old.
    if (!known || it->second->grant || clock_.now() - sent > kStartWithin) {
      ReleaseGrant(holder, grant, {owner}, ReleaseOutcome::kNeverStarted,
                   nullptr);
      return;
    }
    it->second->grant = grant;
    it->second->informed_owners = {owner};
    const Duration delay =
        random_.Chance(0.05) ? Millis(0, 1'500) : Millis(0, 3);
    const TimePoint received = clock_.now();
    clock_.After(delay, [this, &holder, key, received, call = it->second] {
      StartCall(holder, key, received, call);
    });
  }

  void StartCall(Holder& holder, const StreamKey& key, TimePoint received,
                 const std::shared_ptr<Call>& call) {
    const auto it = holder.calls.find(key);
    if (it == holder.calls.end() || it->second != call || !holder.alive) return;
    if (clock_.now() < holder.paused_until) {
      clock_.At(holder.paused_until,
                [=, this, &holder] { StartCall(holder, key, received, call); });
      return;
    }
    if (clock_.now() - received > call->grant->start_within) {
      ReleaseGrant(holder, *call->grant, call->informed_owners,
                   ReleaseOutcome::kNeverStarted, nullptr);
      holder.calls.erase(it);
      return;
    }
    call->started = true;
    FakeEngine::Stream stream;
    stream.kv = call->grant->kv_tokens.value();
    stream.prefill = static_cast<double>(call->request.prompt.value());
    stream.answer = static_cast<double>(call->request.max_answer.value());
    stream.on_end = [this, &holder, key, call](FakeEngine::End end) {
      clock_.After(Millis(1, 3),
                   [=, this, &holder] { EndCall(holder, key, call, end); });
    };
    if (!engine_.Start(clock_.now(), MakeStreamId(*call->grant),
                       std::move(stream))) {
      ReleaseGrant(holder, *call->grant, call->informed_owners,
                   ReleaseOutcome::kEndpointRefused, nullptr);
      holder.calls.erase(key);
    }
  }

  void EndCall(Holder& holder, const StreamKey& key,
               const std::shared_ptr<Call>& call, FakeEngine::End end) {
    const auto it = holder.calls.find(key);
    if (it == holder.calls.end() || it->second != call || !holder.alive) return;
    if (clock_.now() < holder.paused_until) {
      clock_.At(holder.paused_until,
                [=, this, &holder] { EndCall(holder, key, call, end); });
      return;
    }
    const bool done = end == FakeEngine::End::kDone;
    if (done) ++completed;
    ReleaseGrant(
        holder, *call->grant, call->informed_owners,
        done ? ReleaseOutcome::kCompleted : ReleaseOutcome::kEndpointFailed,
        call.get());
    holder.calls.erase(it);
  }

  void EngineTick() {
    engine_.Advance(clock_.now(), Duration::Milliseconds(5));
    clock_.After(Duration::Milliseconds(5), [this] { EngineTick(); });
  }

  void OwnerTick() {
    for (int i = 0; i < 2; ++i) {
      OwnerVm& vm = owners_[static_cast<size_t>(i)];
      if (!vm.owner || clock_.now() < vm.paused_until) continue;
      if (engine_.down()) {
        if (++vm.failed_polls == 3) {
          WithOwner(i, [this](EndpointOwner& o) {
            return o.OnEndpointUnreachable(clock_.now());
          });
        }
      } else {
        vm.failed_polls = 0;
        const EngineLoad load = engine_.Load(clock_.now());
        WithOwner(i, [this, load](EndpointOwner& o) {
          return o.OnLoadReport(clock_.now(), load);
        });
      }
    }
    clock_.After(Duration::Milliseconds(250), [this] { OwnerTick(); });
  }

  void ListTick() {
    for (Holder& holder : holders_) {
      if (!holder.alive || clock_.now() < holder.paused_until) continue;
      HeldGrants list;
      list.holder = SenderStamp{holder.id, Incarnation(holder.incarnation),
                                ++holder.sequence};
      list.endpoint = EndpointId("e1");
      std::set<int> to{holder.owner};
      for (auto& [key, call] : holder.calls) {
        if (!call->grant) continue;
        call->informed_owners.insert(holder.owner);
        to.insert(call->informed_owners.begin(), call->informed_owners.end());
        HeldGrant held;
        held.request = key.request;
        held.attempt = key.attempt;
        held.number = call->grant->number;
        held.owner = call->grant->owner;
        held.owner_incarnation = call->grant->owner_incarnation;
        held.kv_tokens = call->grant->kv_tokens;
        held.prompt = call->request.prompt;
        held.started = call->started;
        list.grants.push_back(std::move(held));
      }
      if (list.grants.empty()) continue;
      for (int owner : to) SendToOwner(owner, list, holder.id);
    }
    clock_.After(Duration::Milliseconds(500), [this] { ListTick(); });
  }

  void ArrivalTick() {
    if (faults_stopped_) return;
    Holder& holder = holders_[random_.Below(holders_.size())];
    if (holder.alive && clock_.now() >= holder.paused_until) {
      ++arrived;
      auto call = std::make_shared<Call>();
      AdmissionRequest& request = call->request;
      request.request = RequestId("r" + std::to_string(arrived));
      request.attempt = AttemptNumber(1);
      request.endpoint = EndpointId("e1");
      request.team = TeamId("t" + std::to_string(random_.Below(3)));
      request.prompt = TokenCount(random_.Chance(0.05) ? 40'000 : 500);
      request.max_answer =
          TokenCount(static_cast<int64_t>(10 + random_.Below(150)));
      request.time_left = Millis(4'000, 30'000);
      request.fingerprint = Fingerprint(random_.Next());
      request.queue_if_busy = random_.Chance(0.7);
      request.run_alone = random_.Chance(0.01);
      call->deadline = clock_.now() + request.time_left;
      holder.calls[StreamKey{request.request, request.attempt}] = call;
      SendRequest(holder, call, 0);
    }
    clock_.After(Millis(10, burst_ ? 20 : 600), [this] { ArrivalTick(); });
  }

  void SendRequest(Holder& holder, const std::shared_ptr<Call>& call,
                   int retries) {
    const StreamKey key{call->request.request, call->request.attempt};
    const auto it = holder.calls.find(key);
    if (it == holder.calls.end() || it->second != call || call->grant ||
        !holder.alive) {
      return;
    }
    if (clock_.now() >= call->deadline || retries > 20) {
      SendToOwner(holder.owner,
                  CancelAdmission{key.request, key.attempt, EndpointId("e1")},
                  holder.id);
      holder.calls.erase(it);
      return;
    }
    call->request.time_left = call->deadline - clock_.now();
    SendToOwner(holder.owner, call->request, holder.id);
    clock_.After(Duration::Seconds(1), [=, this, &holder] {
      SendRequest(holder, call, retries + 1);
    });
  }

  void FaultTick() {
    if (faults_stopped_) return engine_.SetDown(false);
    Holder& holder = holders_[random_.Below(holders_.size())];
    const int fault = static_cast<int>(random_.Below(10));
    OwnerVm& owner = owners_[random_.Below(2)];
    const int owner_index = static_cast<int>(&owner - owners_.data());
    if (fault == 0 && holder.alive) CrashHolder(holder);
    if (fault == 1) holder.paused_until = clock_.now() + Millis(300, 6'000);
    if (fault == 2 && owner.owner && clock_.now() >= owner.paused_until) {
      const Duration pause = Millis(300, 4'000);
      owner.paused_until = clock_.now() + pause;
      const uint64_t incarnation = owner.incarnation;
      clock_.At(owner.paused_until, [this, owner_index, pause, incarnation] {
        if (owners_[static_cast<size_t>(owner_index)].incarnation !=
            incarnation) {
          return;
        }
        if (pause < Duration::Milliseconds(1'500)) return;
        WithOwner(owner_index, [this](EndpointOwner& o) {
          return o.OnSelfPaused(clock_.now());
        });
      });
    }
    if (fault == 3 && owner.owner) {
      owner.paused_until = TimePoint();
      CreateOwner(owner, true);
    }
    if (fault == 4 || fault == 5) engine_.Restart(clock_.now());
    if (fault == 5) {
      engine_.SetDown(true);
      clock_.After(Millis(100, 3'000), [this] { engine_.SetDown(false); });
    }
    if (fault == 6 && owners_[1].owner) holder.owner = 1 - holder.owner;
    if (fault == 7) burst_ = !burst_;
    clock_.After(Millis(200, 3'000), [this] { FaultTick(); });
  }

  void CrashHolder(Holder& holder) {
    holder.alive = false;
    for (auto& [key, call] : holder.calls) {
      if (call->started) {
        engine_.DropReader(clock_.now(), MakeStreamId(*call->grant));
      }
    }
    holder.calls.clear();
    for (int i = 0; i < 2; ++i) {
      clock_.After(Duration::Milliseconds(1'500), [this, i, id = holder.id] {
        WithOwner(i, [this, id](EndpointOwner& o) {
          return o.OnVmDown(clock_.now(), id);
        });
      });
    }
    clock_.After(Millis(2'000, 8'000), [&holder] {
      holder.alive = true;
      ++holder.incarnation;
      holder.sequence = 0;
      holder.paused_until = TimePoint();
    });
  }

  Random random_;
  VirtualClock clock_;
  FakeEngine engine_;
  PoolPolicy pool_;
  std::vector<OwnerVm> owners_;
  std::vector<Holder> holders_;
  bool faults_stopped_ = false;
  bool burst_ = false;
};

}  // namespace zr
