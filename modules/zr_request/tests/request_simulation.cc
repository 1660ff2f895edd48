#include "request_simulation.h"

#include <algorithm>

namespace zr {
namespace {

const Duration kUnclaimedWindow = Duration::Seconds(10);

VmId IngressVm(size_t vm) { return VmId("in-" + std::to_string(vm)); }

}  // namespace

RequestSimulation::RequestSimulation(uint64_t seed, const Faults& faults,
                                     Mutant mutant)
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
  options_.pool.unclaimed_window = kUnclaimedWindow;
  length_ = 1 + static_cast<int64_t>(random_.Below(40));
  poison_ = random_.Chance(0.1);
  // The limit on engines that one request may crash holds only while VMs agree
  // on the locator and a broken connection is detected before the caller's next
  // call.
  if (poison_) {
    faults_.kill_vm = faults_.pause_vm = faults_.crash = faults_.no_response =
        0;
  }
  gather_ = random_.Chance(0.1);
}

RequestSimulation::~RequestSimulation() {
  // Machines of killed VMs still hold grants; their actions are not carried
  // out.
  for (Vm& vm : vms_) {
    if (!vm.machine) continue;
    vm.machine->Abort(now_);
    vm.machine->Tick(now_ + Duration::Seconds(100));
  }
}

void RequestSimulation::AddViolation(const std::string& text) {
  violations_.push_back(text + " at " + std::to_string(now_.microseconds()));
}

void RequestSimulation::Schedule(Duration delay, std::function<void()> event) {
  queue_.emplace(std::make_pair(now_ + delay, ++event_count_),
                 std::move(event));
}

void RequestSimulation::ScheduleAtVm(
    size_t vm, Duration delay,
    std::function<RequestActions(RequestMachine&)> event) {
  Schedule(delay,
           [this, vm, event = std::move(event)] { DeliverToVm(vm, event); });
}

void RequestSimulation::DeliverToVm(
    size_t index, const std::function<RequestActions(RequestMachine&)>& event) {
  Vm& vm = vms_[index];
  if (!vm.alive || !vm.machine) return;
  if (vm.paused_until > now_) {
    ScheduleAtVm(index, vm.paused_until - now_, event);
    return;
  }
  const RequestActions actions = event(*vm.machine);
  // Events that arrived during a pause are all read right after it.
  if (vm.paused_until < now_) vm.last_idle = now_;
  Execute(index, actions);
  if (!vm.machine->ended() && now_ >= vm.deadline) {
    AddViolation("a call is open at its deadline");
  }
  ScheduleWakeup(index);
}

void RequestSimulation::ScheduleWakeup(size_t index) {
  const TimePoint wakeup = vms_[index].machine->NextWakeup();
  if (wakeup >= TimePoint::Max()) return;
  ScheduleAtVm(index, std::max(wakeup - now_, Duration()),
               [this](RequestMachine& machine) {
                 return machine.NextWakeup() <= now_ ? machine.Tick(now_)
                                                     : RequestActions{};
               });
}

void RequestSimulation::Run() {
  StartCall(0, 0);
  Schedule(Duration::Milliseconds(50), [this] { StepCaller(); });
  while (!queue_.empty() && event_count_ < 100'000) {
    auto event = queue_.extract(queue_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  CheckFinalState();
}

//==============================================================================
// The caller

void RequestSimulation::StartCall(size_t index, int64_t offset) {
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
      ScheduleWakeup(index);
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
    options.suspect_status =
        suspects_[index].StatusOf(now_, options.fingerprint);
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
  ScheduleAtVm(index, Duration(),
               [this](RequestMachine& machine) { return machine.Start(now_); });
}

void RequestSimulation::RepeatCall() {
  std::vector<size_t> live;
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i].alive && vms_[i].paused_until <= now_) live.push_back(i);
  }
  if (live.empty() || calls_ >= 5) {
    waiting_ = false;
    return;
  }
  const int64_t received_tokens =
      static_cast<int64_t>(received_.size()) / kTokenBytes;
  const int64_t repeated_tokens =
      random_.Chance(0.5)
          ? 0
          : static_cast<int64_t>(random_.Below(received_tokens + 1));
  StartCall(live[random_.Below(live.size())],
            received_tokens - repeated_tokens);
}

void RequestSimulation::StepCaller() {
  if (!waiting_) return;
  const size_t vm = caller_vm_;
  if (random_.Chance(faults_.caller_fault)) {
    if (random_.Chance(0.5)) {
      ScheduleAtVm(vm, TransitDelay(), [this](RequestMachine& m) {
        return m.OnCallerDisconnected(now_);
      });
      Schedule(Duration::Milliseconds(random_.Below(3000)),
               [this] { RepeatCall(); });
      waiting_ = false;
    } else if (random_.Chance(0.5)) {
      RepeatCall();
    } else {
      ScheduleAtVm(vm, Duration(), [this](RequestMachine& m) {
        return m.OnCallerBlocked(now_);
      });
      ScheduleAtVm(vm, TransitDelay(), [this](RequestMachine& m) {
        return m.OnCallerUnblocked(now_);
      });
    }
  } else if (random_.Chance(faults_.kill_vm)) {
    KillVm(vm);
  } else if (random_.Chance(faults_.pause_vm)) {
    const TimePoint until =
        now_ + Duration::Milliseconds(100 + random_.Below(3000));
    vms_[vm].paused_until = std::max(vms_[vm].paused_until, until);
  }
  if (random_.Chance(faults_.crash)) Crash(random_.Below(engines_.size()));
  Schedule(Duration::Milliseconds(20 + random_.Below(200)),
           [this] { StepCaller(); });
}

void RequestSimulation::KillVm(size_t index) {
  vms_[index].alive = false;
  for (auto& connection : connections_) {
    if (connection->vm == index) connection->open = false;
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    ScheduleAtVm(i, Duration::Milliseconds(1500),
                 [this, index](RequestMachine& m) {
                   return m.OnVmUnreachable(now_, IngressVm(index));
                 });
  }
  waiting_ = false;
  Schedule(Duration::Milliseconds(100 + random_.Below(2000)),
           [this] { RepeatCall(); });
}

//==============================================================================
// The daemon

void RequestSimulation::Execute(size_t vm, const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    std::visit([&](const auto& a) { Perform(vm, a); }, action);
  }
}

void RequestSimulation::Perform(size_t vm, const SelectCandidates& action) {
  std::vector<Candidate> candidates;
  for (const Engine& engine : engines_) {
    if (!action.excluded.contains(engine.id) && random_.Chance(0.8)) {
      candidates.push_back({engine.id, engine.domain, engine.owner});
    }
  }
  if (!candidates.empty()) {
    std::swap(candidates[0], candidates[random_.Below(candidates.size())]);
  }
  ScheduleAtVm(vm, Duration(), [this, candidates](RequestMachine& m) {
    return m.OnCandidates(now_, candidates, gather_);
  });
}

void RequestSimulation::Perform(size_t vm, const SendToVm& action) {
  if (const auto* admission = std::get_if<AdmissionRequest>(&action.message)) {
    Schedule(TransitDelay(),
             [this, vm, m = *admission] { OnAdmissionRequest(vm, m); });
  } else if (const auto* release = std::get_if<GrantRelease>(&action.message)) {
    OnRelease(vm, *release);
  } else if (const auto* takeover =
                 std::get_if<TakeoverRequest>(&action.message)) {
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (IngressVm(i) != action.to || !vms_[i].alive) continue;
      ScheduleAtVm(i, TransitDelay(),
                   [this, vm, m = *takeover](RequestMachine& machine) {
                     return machine.OnTakeover(now_, IngressVm(vm), m);
                   });
    }
  } else if (const auto* reply = std::get_if<TakeoverReply>(&action.message)) {
    ++takeovers_;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (IngressVm(i) != action.to) continue;
      for (const Grant& g : reply->grants) {
        grants_.at(MakeStreamId(g)).delivered = {i};
      }
      ScheduleAtVm(i, TransitDelay(),
                   [this, m = *reply](RequestMachine& machine) {
                     return machine.OnTakeoverReply(now_, m);
                   });
    }
  }
}

void RequestSimulation::Perform(size_t vm, const StartUpstream& action) {
  ++starts_;
  Schedule(Duration::Microseconds(random_.Below(3000)), [this, vm, action] {
    const auto fail = [&] {
      ScheduleAtVm(vm, TransitDelay(), [this, action](RequestMachine& m) {
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
    Schedule(TransitDelay(), [this, vm, action] { StartAtEngine(vm, action); });
  });
}

void RequestSimulation::Perform(size_t vm, const ResumeUpstream& action) {
  ++resumes_;
  // Records grants taken over from a holder that is down or does not answer.
  for (const auto& [endpoint, held] : vms_[vm].machine->held_grants()) {
    GrantRecord& record = grants_.at(MakeStreamId(held));
    if (record.delivered.contains(vm)) continue;
    for (size_t holder : record.delivered) {
      record.two_holders |= vms_[holder].alive;
    }
    record.delivered.insert(vm);
  }
  Schedule(TransitDelay(), [this, vm, action] {
    const auto it = runs_.find(action.stream_id);
    const auto fail = [&](UpstreamFailure failure) {
      ScheduleAtVm(vm, TransitDelay(),
                   [this, action, failure](RequestMachine& m) {
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
        Disconnect(*c, UpstreamFailure::kBroken);
      }
    }
    OpenConnection(vm, action.attempt, action.stream_id, action.offset);
  });
}

void RequestSimulation::Perform(size_t vm, const DetachUpstream& action) {
  for (auto& c : connections_) {
    if (c->vm == vm && c->attempt == action.attempt) c->open = false;
  }
}

void RequestSimulation::Perform(size_t vm, const CancelUpstream& action) {
  CloseConnections(action.stream_id);
  Schedule(TransitDelay(), [this, vm, action] {
    if (random_.Chance(faults_.no_response)) return;
    const auto it = runs_.find(action.stream_id);
    // A cancellation may overtake its call, which then still runs.
    const Engine& engine = engines_[EngineIndex(action.endpoint)];
    const bool known =
        engine.alive && it != runs_.end() && it->second.boot == engine.boot;
    if (known) it->second.deleted = true;
    ScheduleAtVm(vm, TransitDelay(), [this, action, known](RequestMachine& m) {
      return m.OnUpstreamCancelled(now_, action.stream_id, known);
    });
  });
}

void RequestSimulation::Perform(size_t vm, const LocateStream& action) {
  Schedule(TransitDelay(), [this, vm, action] {
    if (random_.Chance(faults_.no_response)) return;
    StreamLocation location;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (i == vm || !vms_[i].machine || vms_[i].machine->ended()) continue;
      const StreamLocation found = vms_[i].machine->location();
      if (!vms_[i].alive && found.stream.empty()) continue;
      if (!action.stream.empty() && found.stream != action.stream) continue;
      location = found;
      if (vms_[i].alive) {
        location.holder = IngressVm(i);
        break;
      }
      // The owners know the grants from the lists of the VM that is down.
      std::erase_if(location.grants, [&](const Grant& g) {
        return !grants_.at(MakeStreamId(g)).released.empty();
      });
    }
    ScheduleAtVm(vm, TransitDelay(), [this, location](RequestMachine& m) {
      return location.found ? m.OnStreamFound(now_, location)
                            : m.OnStreamNotFound(now_, true);
    });
  });
}

void RequestSimulation::Perform(size_t vm, const EmitChunk& action) {
  if (vm != caller_vm_ || !waiting_) return;
  if (action.offset * kTokenBytes != static_cast<int64_t>(received_.size())) {
    AddViolation("a chunk does not continue what the caller has");
  }
  received_ += action.bytes;
}

void RequestSimulation::Perform(size_t vm, const FinishAnswer& action) {
  if (std::exchange(vms_[vm].outcome, true)) AddViolation("a second outcome");
  if (vm != caller_vm_ || !waiting_) return;
  if (action.total * kTokenBytes != static_cast<int64_t>(received_.size())) {
    AddViolation("the answer's end is not where the caller's bytes end");
  }
  CheckReceivedBytes(vm, true);
  waiting_ = false;
  finished_ = true;
}

void RequestSimulation::Perform(size_t vm, const FailRequest& action) {
  if (std::exchange(vms_[vm].outcome, true)) AddViolation("a second outcome");
  if (action.run == RunState::kNotRun && calls_ == 1 && !runs_.empty()) {
    AddViolation("a call that ran is reported as not run");
  }
  if (action.run != RunState::kNotRun && calls_ == 1 && starts_ == 0 &&
      !options_.may_be_repeat) {
    AddViolation("a call that was never sent is reported as possibly run");
  }
  if (vm != caller_vm_ || !waiting_) return;
  CheckReceivedBytes(vm, false);
  waiting_ = false;
  if (poison_) {
    Schedule(Duration::Milliseconds(200 + random_.Below(2000)),
             [this] { RepeatCall(); });
  }
}

void RequestSimulation::Perform(size_t vm, const ReportSuspect& action) {
  const Suspect suspect{action.fingerprint, action.endpoint, action.boot,
                        Duration()};
  const DomainId domain = engines_[EngineIndex(action.endpoint)].domain;
  for (size_t i = 0; i < vms_.size(); ++i) {
    Schedule(i == vm ? Duration() : TransitDelay(), [this, i, suspect, domain] {
      suspects_[i].OnFailure(now_, suspect, domain);
      if (!poison_) return;
      DeliverToVm(i, [this, i](RequestMachine& m) {
        return m.OnSuspectStatus(
            now_, suspects_[i].StatusOf(now_, options_.fingerprint));
      });
    });
  }
}

void RequestSimulation::Perform(size_t vm, const ReleaseSuspectLease& action) {
  const SuspectLeaseRequest request{action.fingerprint, options_.request, false,
                                    true, action.completed};
  Schedule(TransitDelay(), [this, vm, request] {
    leases_.OnLeaseRequest(now_, IngressVm(vm), request);
  });
}

void RequestSimulation::Perform(size_t vm, const RequestSuspectLease& action) {
  if (poison_) {
    const SuspectLeaseRequest request{action.fingerprint, options_.request,
                                      action.renewal, false, false};
    Schedule(TransitDelay(), [this, vm, request] {
      const SuspectLeaseReply reply =
          leases_.OnLeaseRequest(now_, IngressVm(vm), request);
      ScheduleAtVm(vm, TransitDelay(), [this, reply](RequestMachine& m) {
        return m.OnSuspectLease(now_, reply.decision, reply.wait_hint);
      });
    });
    return;
  }
  if (action.renewal) return;
  ScheduleAtVm(vm, TransitDelay() * 2, [this](RequestMachine& m) {
    const uint64_t draw = random_.Below(10);
    const LeaseDecision answer = draw < 6   ? LeaseDecision::kGranted
                                 : draw < 8 ? LeaseDecision::kWait
                                 : draw < 9 ? LeaseDecision::kRefused
                                            : LeaseDecision::kClear;
    return m.OnSuspectLease(now_, answer, Duration::Milliseconds(300));
  });
}

}  // namespace zr
