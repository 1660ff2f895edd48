#include "request_world.h"

#include <algorithm>

namespace zr {
namespace {

const Duration kWindow = Duration::Seconds(10);

VmId IngressName(size_t vm) { return VmId("in-" + std::to_string(vm)); }

}  // namespace

RequestWorld::RequestWorld(uint64_t seed, const Faults& faults, Mutant mutant)
    : random_(seed), faults_(faults), mutant_(mutant) {
  for (size_t i = 0; i < 5; ++i) {
    const std::string n = std::to_string(i);
    engines_.push_back({EndpointId("engine-" + n),
                        DomainId("domain-" + std::to_string(i % 3)),
                        VmId("owner-" + n)});
  }
  options_.request = RequestId("r~1");
  options_.team = TeamId("team");
  options_.fingerprint = Fingerprint(77);
  options_.prompt = TokenCount(1000);
  options_.max_answer = TokenCount(100);
  options_.idempotent = !random_.Chance(0.15);
  options_.may_be_repeat = random_.Chance(0.5);
  options_.deadline =
      now_ + Duration::Milliseconds(500 + random_.Below(20'000));
  options_.pool.unclaimed_window = kWindow;
  length_ = 1 + static_cast<int64_t>(random_.Below(40));
  poison_ = random_.Chance(0.1);
  // The bound on endpoints lost to one request holds while VMs agree on the
  // locator and a broken connection is noticed before the caller's next call.
  if (poison_) {
    faults_.kill_vm = faults_.pause = faults_.crash = faults_.silent = 0;
  }
  gather_ = random_.Chance(0.1);
}

RequestWorld::~RequestWorld() {
  // Machines of killed VMs still hold grants; nobody sees what they do now.
  for (Vm& vm : vms_) {
    if (!vm.machine) continue;
    vm.machine->Abort(now_);
    vm.machine->Tick(now_ + Duration::Seconds(100));
  }
}

void RequestWorld::Violation(const std::string& text) {
  violations_.push_back(text + " at " + std::to_string(now_.microseconds()));
}

void RequestWorld::At(Duration delay, std::function<void()> event) {
  queue_.emplace(std::make_pair(now_ + delay, ++order_), std::move(event));
}

void RequestWorld::AtVm(size_t vm, Duration delay,
                        std::function<RequestActions(RequestMachine&)> event) {
  At(delay, [this, vm, event = std::move(event)] { DeliverToVm(vm, event); });
}

void RequestWorld::DeliverToVm(
    size_t index, const std::function<RequestActions(RequestMachine&)>& event) {
  Vm& vm = vms_[index];
  if (!vm.alive || !vm.machine) return;
  if (vm.paused_until > now_) {
    AtVm(index, vm.paused_until - now_, event);
    return;
  }
  const RequestActions actions = event(*vm.machine);
  // What arrived during a pause is read in one go after it.
  if (vm.paused_until < now_) vm.last_idle = now_;
  Execute(index, actions);
  if (!vm.machine->ended() && now_ >= vm.deadline) {
    Violation("a call is open at its deadline");
  }
  ArmTimer(index);
}

void RequestWorld::ArmTimer(size_t index) {
  const TimePoint wakeup = vms_[index].machine->NextWakeup();
  if (wakeup >= TimePoint::Max()) return;
  AtVm(index, std::max(wakeup - now_, Duration()),
       [this](RequestMachine& machine) {
         return machine.NextWakeup() <= now_ ? machine.Tick(now_)
                                             : RequestActions{};
       });
}

void RequestWorld::Run() {
  Call(0, 0);
  At(Duration::Milliseconds(50), [this] { CallerStep(); });
  while (!queue_.empty() && order_ < 100'000) {
    auto event = queue_.extract(queue_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  CheckEnd();
}

//==============================================================================
// The caller

void RequestWorld::Call(size_t index, int64_t offset) {
  caller_vm_ = index;
  waiting_ = true;
  ++calls_;
  received_.resize(static_cast<size_t>(offset * kTokenBytes));
  Vm& vm = vms_[index];
  if (vm.machine && !vm.machine->ended()) {
    auto actions = vm.machine->Reattach(
        now_, options_.team, options_.fingerprint, offset, received_stream_);
    if (actions) {
      Execute(index, *actions);
      ArmTimer(index);
    } else {
      waiting_ = false;
    }
    return;
  }
  if (vm.machine && !vm.machine->removable()) {
    waiting_ = false;
    return;
  }
  RequestOptions options = options_;
  options.resume_offset = offset;
  options.resume_stream = received_stream_;
  options.first_attempt = AttemptNumber(1000 * static_cast<uint64_t>(calls_));
  options.may_be_repeat = options.may_be_repeat || calls_ > 1;
  if (poison_) {
    options.suspect = suspects_[index].Verdict(now_, options.fingerprint);
  }
  options.deadline =
      calls_ > 1 ? now_ + Duration::Seconds(15) : options_.deadline;
  vm.deadline = options.deadline;
  vm.outcome = false;
  vm.machine = std::make_unique<RequestMachine>(options, budget_);
  if (mutant_ == Mutant::kIgnoreAttempts) vm.machine->IgnoreAttemptsForTest();
  if (mutant_ == Mutant::kRestartAfterFirstToken) {
    vm.machine->RestartAfterFirstTokenForTest();
  }
  AtVm(index, Duration(),
       [this](RequestMachine& machine) { return machine.Start(now_); });
}

void RequestWorld::CallAgain() {
  std::vector<size_t> live;
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i].alive && vms_[i].paused_until <= now_) live.push_back(i);
  }
  if (live.empty() || calls_ >= 5) {
    waiting_ = false;
    return;
  }
  const int64_t have = static_cast<int64_t>(received_.size()) / kTokenBytes;
  const int64_t back =
      random_.Chance(0.5) ? 0 : static_cast<int64_t>(random_.Below(have + 1));
  Call(live[random_.Below(live.size())], have - back);
}

void RequestWorld::CallerStep() {
  if (!waiting_) return;
  const size_t vm = caller_vm_;
  if (random_.Chance(faults_.caller)) {
    if (random_.Chance(0.5)) {
      AtVm(vm, Transit(),
           [this](RequestMachine& m) { return m.OnCallerGone(now_); });
      At(Duration::Milliseconds(random_.Below(3000)), [this] { CallAgain(); });
      waiting_ = false;
    } else if (random_.Chance(0.5)) {
      CallAgain();
    } else {
      AtVm(vm, Duration(),
           [this](RequestMachine& m) { return m.OnCallerBlocked(now_); });
      AtVm(vm, Transit(),
           [this](RequestMachine& m) { return m.OnCallerDrained(now_); });
    }
  } else if (random_.Chance(faults_.kill_vm)) {
    KillVm(vm);
  } else if (random_.Chance(faults_.pause)) {
    const TimePoint until =
        now_ + Duration::Milliseconds(100 + random_.Below(3000));
    vms_[vm].paused_until = std::max(vms_[vm].paused_until, until);
  }
  if (random_.Chance(faults_.crash)) Crash(random_.Below(engines_.size()));
  At(Duration::Milliseconds(20 + random_.Below(200)), [this] { CallerStep(); });
}

void RequestWorld::KillVm(size_t index) {
  vms_[index].alive = false;
  for (auto& connection : connections_) {
    if (connection->vm == index) connection->open = false;
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    AtVm(i, Duration::Milliseconds(1500), [this, index](RequestMachine& m) {
      return m.OnVmUnreachable(now_, IngressName(index));
    });
  }
  waiting_ = false;
  At(Duration::Milliseconds(100 + random_.Below(2000)),
     [this] { CallAgain(); });
}

//==============================================================================
// The daemon

void RequestWorld::Execute(size_t vm, const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    std::visit([&](const auto& a) { Do(vm, a); }, action);
  }
}

void RequestWorld::Do(size_t vm, const SelectCandidates& action) {
  std::vector<Candidate> candidates;
  for (const Engine& engine : engines_) {
    if (!action.excluded.contains(engine.id) && random_.Chance(0.8)) {
      candidates.push_back({engine.id, engine.domain, engine.owner});
    }
  }
  if (!candidates.empty()) {
    std::swap(candidates[0], candidates[random_.Below(candidates.size())]);
  }
  AtVm(vm, Duration(), [this, candidates](RequestMachine& m) {
    return m.OnCandidates(now_, candidates, gather_);
  });
}

void RequestWorld::Do(size_t vm, const SendToVm& action) {
  if (const auto* ask = std::get_if<AdmissionRequest>(&action.message)) {
    At(Transit(), [this, vm, m = *ask] { OnAdmission(vm, m); });
  } else if (const auto* release = std::get_if<GrantRelease>(&action.message)) {
    OnRelease(vm, *release);
  } else if (const auto* take = std::get_if<TakeoverRequest>(&action.message)) {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (IngressName(i) != action.to || !vms_[i].alive) continue;
      AtVm(i, Transit(), [this, vm, m = *take](RequestMachine& machine) {
        return machine.OnTakeOver(now_, IngressName(vm), m);
      });
    }
  } else if (const auto* hand = std::get_if<TakeoverReply>(&action.message)) {
    ++hand_overs_;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (IngressName(i) != action.to) continue;
      for (const Grant& g : hand->grants) {
        grants_.at(MakeStreamId(g)).delivered = {i};
      }
      AtVm(i, Transit(), [this, m = *hand](RequestMachine& machine) {
        return machine.OnHandOver(now_, m);
      });
    }
  }
}

void RequestWorld::Do(size_t vm, const StartUpstream& action) {
  ++starts_;
  At(Duration::Microseconds(random_.Below(3000)), [this, vm, action] {
    const auto fail = [&] {
      AtVm(vm, Transit(), [this, action](RequestMachine& m) {
        return m.OnUpstreamFailed(now_, action.attempt,
                                  UpstreamFailure::kNotRun);
      });
    };
    if (!vms_[vm].alive) return;
    if (std::max(now_, vms_[vm].paused_until) >= action.start_before ||
        random_.Chance(faults_.not_run / 2)) {
      fail();
      return;
    }
    At(Transit(), [this, vm, action] { StartAtEngine(vm, action); });
  });
}

void RequestWorld::Do(size_t vm, const ResumeUpstream& action) {
  ++resumes_;
  // Notes grants that the machine took over from a silent or dead holder.
  for (const auto& [endpoint, held] : vms_[vm].machine->held_grants()) {
    GrantRecord& record = grants_.at(MakeStreamId(held));
    if (record.delivered.contains(vm)) continue;
    for (size_t holder : record.delivered) {
      record.two_holders |= vms_[holder].alive;
    }
    record.delivered.insert(vm);
  }
  At(Transit(), [this, vm, action] {
    const auto it = runs_.find(action.stream_id);
    const auto fail = [&](UpstreamFailure failure) {
      AtVm(vm, Transit(), [this, action, failure](RequestMachine& m) {
        return m.OnUpstreamFailed(now_, action.attempt, failure);
      });
    };
    if (it == runs_.end()) return fail(UpstreamFailure::kNoStream);
    const Engine& engine = engines_[it->second.engine];
    if (!engine.alive || random_.Chance(faults_.break_stream)) {
      return fail(UpstreamFailure::kBroken);
    }
    if (engine.boot != it->second.boot || it->second.deleted) {
      return fail(UpstreamFailure::kNoStream);
    }
    for (auto& c : connections_) {
      if (c->open && c->stream == action.stream_id) {
        Break(*c, UpstreamFailure::kBroken);
      }
    }
    OpenConnection(vm, action.attempt, action.stream_id, action.offset);
  });
}

void RequestWorld::Do(size_t vm, const DetachUpstream& action) {
  for (auto& c : connections_) {
    if (c->vm == vm && c->attempt == action.attempt) c->open = false;
  }
}

void RequestWorld::Do(size_t vm, const CancelUpstream& action) {
  CloseConnections(action.stream_id);
  At(Transit(), [this, vm, action] {
    if (random_.Chance(faults_.silent)) return;
    const auto it = runs_.find(action.stream_id);
    // A cancellation may overtake its call, which then still runs.
    const Engine& engine = engines_[EngineIndex(action.endpoint)];
    const bool known =
        engine.alive && it != runs_.end() && it->second.boot == engine.boot;
    if (known) it->second.deleted = true;
    AtVm(vm, Transit(), [this, action, known](RequestMachine& m) {
      return m.OnUpstreamCancelled(now_, action.stream_id, known);
    });
  });
}

void RequestWorld::Do(size_t vm, const LocateStream& action) {
  At(Transit(), [this, vm, action] {
    if (random_.Chance(faults_.silent)) return;
    StreamLocation location;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (i == vm || !vms_[i].machine || vms_[i].machine->ended()) continue;
      const StreamLocation found = vms_[i].machine->location();
      if (!vms_[i].alive && found.stream.empty()) continue;
      if (!action.stream.empty() && found.stream != action.stream) continue;
      location = found;
      if (vms_[i].alive) {
        location.holder = IngressName(i);
        break;
      }
      // The owners learned the grants from the dead VM's lists.
      std::erase_if(location.grants, [&](const Grant& g) {
        return !grants_.at(MakeStreamId(g)).released.empty();
      });
    }
    AtVm(vm, Transit(), [this, location](RequestMachine& m) {
      return location.found ? m.OnStreamFound(now_, location)
                            : m.OnStreamNotFound(now_, true);
    });
  });
}

void RequestWorld::Do(size_t vm, const Emit& action) {
  if (vm != caller_vm_ || !waiting_) return;
  if (action.offset * kTokenBytes != static_cast<int64_t>(received_.size())) {
    Violation("a part does not continue what the caller has");
  }
  received_ += action.bytes;
}

void RequestWorld::Do(size_t vm, const Finish& action) {
  if (std::exchange(vms_[vm].outcome, true)) Violation("a second outcome");
  if (vm != caller_vm_ || !waiting_) return;
  if (action.total * kTokenBytes != static_cast<int64_t>(received_.size())) {
    Violation("the answer's end is not where the caller's bytes end");
  }
  CheckCaller(vm, true);
  waiting_ = false;
  finished_ = true;
}

void RequestWorld::Do(size_t vm, const Refuse& action) {
  if (std::exchange(vms_[vm].outcome, true)) Violation("a second outcome");
  if (action.run == RunState::kNotRun && calls_ == 1 && !runs_.empty()) {
    Violation("a call that ran is said not to have run");
  }
  if (action.run != RunState::kNotRun && calls_ == 1 && starts_ == 0 &&
      !options_.may_be_repeat) {
    Violation("a call that was never sent is said to have run perhaps");
  }
  if (vm != caller_vm_ || !waiting_) return;
  CheckCaller(vm, false);
  waiting_ = false;
  if (poison_) {
    At(Duration::Milliseconds(200 + random_.Below(2000)),
       [this] { CallAgain(); });
  }
}

void RequestWorld::Do(size_t vm, const ReportSuspect& action) {
  const Suspect suspect{action.fingerprint, action.endpoint, action.boot,
                        Duration()};
  const DomainId domain = engines_[EngineIndex(action.endpoint)].domain;
  for (size_t i = 0; i < vms_.size(); ++i) {
    At(i == vm ? Duration() : Transit(), [this, i, suspect, domain] {
      suspects_[i].OnDeath(now_, suspect, domain);
      if (!poison_) return;
      DeliverToVm(i, [this, i](RequestMachine& m) {
        return m.OnVerdict(now_,
                           suspects_[i].Verdict(now_, options_.fingerprint));
      });
    });
  }
}

void RequestWorld::Do(size_t vm, const ReturnTurn& action) {
  const SuspectLeaseRequest turn{action.fingerprint, options_.request, false,
                                 true, action.harmless};
  At(Transit(),
     [this, vm, turn] { turns_.OnTurn(now_, IngressName(vm), turn); });
}

void RequestWorld::Do(size_t vm, const AskTurn& action) {
  if (poison_) {
    const SuspectLeaseRequest turn{action.fingerprint, options_.request,
                                   action.holding, false, false};
    At(Transit(), [this, vm, turn] {
      const SuspectLeaseReply reply =
          turns_.OnTurn(now_, IngressName(vm), turn);
      AtVm(vm, Transit(), [this, reply](RequestMachine& m) {
        return m.OnTurn(now_, reply.decision, reply.wait_hint);
      });
    });
    return;
  }
  if (action.holding) return;
  AtVm(vm, Transit() * 2, [this](RequestMachine& m) {
    const uint64_t pick = random_.Below(10);
    const LeaseDecision answer = pick < 6   ? LeaseDecision::kGranted
                                 : pick < 8 ? LeaseDecision::kWait
                                 : pick < 9 ? LeaseDecision::kRefused
                                            : LeaseDecision::kCleared;
    return m.OnTurn(now_, answer, Duration::Milliseconds(300));
  });
}

}  // namespace zr
