#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "zr_records/operation_machine_impl.h"
#include "zr_records/record_codec.h"

namespace zr {

struct SimulationOptions {
  double loss_rate =
      0.05;  // share of store and service messages that are lost or late
  bool outages = true;
};

/**
 * Simulates several VMs with their operation state machines, an object store
 * and a service in virtual time. All random choices derive from one seed.
 */
template <typename Machine>
class OperationSimulation {
 public:
  OperationSimulation(uint64_t seed, SimulationOptions options)
      : random_(seed), options_(options) {}

  /** Runs all calls to completion. Returns the violated guarantees. */
  std::vector<std::string> Run() {
    for (int key = 0; key < kKeys; ++key) {
      After(Ms(0, 200), [this, key] { StartCall(key); });
    }
    for (int i = 0; i < 4; ++i) After(Ms(0, 6000), [this] { InjectFault(); });
    if (options_.outages && random_.Chance(0.5)) {
      After(Ms(0, 4000), [this] {
        outage_ = true;
        After(Ms(100, 4000), [this] { outage_ = false; });
      });
    }
    while (!queue_.empty()) {
      const Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.run();
    }
    CheckCalls();
    return violations_;
  }

  int executions() const { return executions_; }
  int answered_not_run() const { return answered_not_run_; }
  int answered_ran() const { return answered_ran_; }
  int stored_answers() const { return stored_answers_; }

 private:
  static constexpr int kVms = 3;
  static constexpr int kKeys = 2;
  static constexpr int kCallsPerKey = 6;

  struct Call;
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Vm {
    uint64_t incarnation = 1;
    TimePoint paused_until;
    std::deque<std::pair<Call*, OperationEvent>>
        inbox;  // events received during the pause
  };
  struct Object {
    uint64_t version = 0;
    std::string value;
  };
  struct Call {
    int key = 0;
    int vm = 0;
    uint64_t incarnation = 0;
    bool caller_disconnected = false;
    TimePoint deadline;
    std::unique_ptr<Machine> machine;
    std::optional<OpAnswer> answer;
    TimePoint answered_at;
    int executions = 0;                         // executions of this call
    std::map<uint64_t, int> key_executions_at;  // executions of the key when
                                                // each store call took effect
    int known_key_executions = 0;  // as of the last store reply delivered
  };

  Duration Ms(int64_t low, int64_t high) {
    return Duration::Microseconds(
        1000 * low +
        static_cast<int64_t>(random_.Below(1000 * (high - low) + 1)));
  }
  void After(Duration delay, std::function<void()> run) {
    queue_.push(Event{now_ + delay, sequence_++, std::move(run)});
  }
  void AddViolation(const std::string& text) { violations_.push_back(text); }

  // A crash loses all state machines of a VM. A pause delays all events for it.
  void InjectFault() {
    Vm& vm = vms_[random_.Below(kVms)];
    if (random_.Chance(0.5)) {
      ++vm.incarnation;
    } else {
      vm.paused_until = std::max(vm.paused_until, now_ + Ms(50, 5000));
      After(vm.paused_until - now_, [this, &vm] { Resume(vm); });
    }
  }

  void Resume(Vm& vm) {
    if (now_ < vm.paused_until) return;
    const auto inbox = std::exchange(vm.inbox, {});
    for (const auto& [call, event] : inbox) Deliver(call, event);
  }

  void StartCall(int key) {
    if (started_[key] >= kCallsPerKey) return;
    ++started_[key];
    calls_.push_back(std::make_unique<Call>());
    Call* call = calls_.back().get();
    call->key = key;
    call->vm = static_cast<int>(random_.Below(kVms));
    call->incarnation = vms_[call->vm].incarnation;
    call->deadline = now_ + Ms(300, 4000);
    OperationCall request;
    request.object_name = "key" + std::to_string(key);
    request.team = TeamId("team");
    request.service = "register";
    request.key = request.object_name;
    request.fingerprint = Fingerprint(random_.Chance(0.95) ? 7 : 8);
    request.deadline = call->deadline;
    request.may_wait = random_.Chance(0.5);
    request.start_unix_ms = now_.microseconds() / 1000;
    const AttemptId self{VmId("vm" + std::to_string(call->vm)),
                         Incarnation(call->incarnation), random_.Next()};
    OperationOptions options;
    options.background_window = Duration::Seconds(5);
    call->machine =
        std::make_unique<Machine>(request, self, options, random_.Next());
    Deliver(call, OpStart{});
    if (random_.Chance(0.05)) {
      After(Ms(0, 1000), [this, call] {
        call->caller_disconnected = true;
        Deliver(call, OpCallerDisconnected{});
      });
    }
    // The caller repeats the call if it has no answer by the deadline;
    // sometimes earlier.
    const Duration repeat_delay =
        random_.Chance(0.2) ? Ms(20, 300) : call->deadline - now_ + Ms(1, 200);
    After(repeat_delay, [this, call] {
      if (!call->answer) StartCall(call->key);
    });
  }

  void Deliver(Call* call, OperationEvent event) {
    Vm& vm = vms_[call->vm];
    if (vm.incarnation != call->incarnation) return;
    if (vm.paused_until > now_) {
      vm.inbox.emplace_back(call, std::move(event));
      return;
    }
    RecordKnownExecutions(call, event);
    for (const OperationAction& action : call->machine->Handle(event, now_)) {
      std::visit([this, call](const auto& a) { Execute(call, a); }, action);
    }
  }

  // Records how often the key had been executed when the store sent the reply
  // that is now delivered to the state machine.
  void RecordKnownExecutions(Call* call, const OperationEvent& event) {
    if (now_ >= call->deadline) {
      return;
    }  // the state machine answers the caller before it handles the reply
    uint64_t call_id = 0;
    if (const auto* read = std::get_if<OpReadReply>(&event)) {
      if (read->status != ReadStatus::kUnknown) call_id = read->id;
    }
    if (const auto* write = std::get_if<OpWriteReply>(&event)) {
      if (write->status != WriteStatus::kUnknown) call_id = write->id;
    }
    const auto known = call->key_executions_at.find(call_id);
    if (known != call->key_executions_at.end()) {
      call->known_key_executions = known->second;
    }
  }

  // Delivers a request to a server and its reply back. If a message is lost,
  // the client gets `unknown` at its timeout. A late request takes effect after
  // the timeout.
  template <typename Effect>
  void Exchange(Call* call, const OperationEvent& unknown, Effect effect) {
    constexpr auto kTimeout = Duration::Milliseconds(500);
    const Duration request_delay = Ms(1, 10);
    if (!random_.Chance(options_.loss_rate)) {
      After(request_delay, [this, call, effect] {
        OperationEvent reply = effect();
        After(Ms(1, 10),
              [this, call, reply = std::move(reply)] { Deliver(call, reply); });
      });
      return;
    }
    const uint64_t fault = random_.Below(3);
    if (fault == 0) After(request_delay, effect);           // reply lost
    if (fault == 1) After(kTimeout + Ms(0, 3000), effect);  // request late
    After(kTimeout, [this, call, unknown] {
      Deliver(call, unknown);
    });  // fault 2: request lost
  }

  void Execute(Call* call, const OpRead& read) {
    const OpReadReply unknown{read.id, ReadStatus::kUnknown, {}, {}};
    Exchange(call, unknown, [this, call, read]() -> OperationEvent {
      if (outage_) return OpReadReply{read.id, ReadStatus::kError, {}, {}};
      call->key_executions_at[read.id] = key_executions_[call->key];
      const Object& object = store_[read.name];
      if (object.version == 0) {
        return OpReadReply{read.id, ReadStatus::kAbsent, {}, {}};
      }
      auto record = RecordCodec::Decode(object.value);
      if (!record) return OpReadReply{read.id, ReadStatus::kInvalid, {}, {}};
      return OpReadReply{read.id, ReadStatus::kFound,
                         ObjectVersion(object.version), *record};
    });
  }

  void Execute(Call* call, const OpWrite& write) {
    const OpWriteReply unknown{write.id, WriteStatus::kUnknown, {}};
    Exchange(call, unknown, [this, call, write]() -> OperationEvent {
      if (outage_) return OpWriteReply{write.id, WriteStatus::kNotWritten, {}};
      Object& object = store_[write.name];
      if (object.version != write.expected.value()) {
        return OpWriteReply{write.id, WriteStatus::kConflict, {}};
      }
      CheckTransition(object, write.record);
      call->key_executions_at[write.id] = key_executions_[call->key];
      object = Object{++last_version_, RecordCodec::Encode(write.record)};
      return OpWriteReply{write.id, WriteStatus::kOk,
                          ObjectVersion(object.version)};
    });
  }

  // Done records must not be overwritten, and dispatched records must keep
  // their attempt.
  void CheckTransition(const Object& object, const OperationRecord& next) {
    if (object.version == 0) return;
    const auto before = RecordCodec::Decode(object.value);
    if (!before) return AddViolation("stored record cannot be decoded");
    if (before->state == RecordState::kDone) {
      AddViolation("done record overwritten");
    }
    if (before->state == RecordState::kDispatched &&
        before->attempt != next.attempt) {
      AddViolation("dispatched record taken over");
    }
  }

  void Execute(Call* call, const OpCallService&) {
    const bool refuses = random_.Chance(0.15);
    Exchange(call, OpServiceReply{}, [this, call, refuses]() -> OperationEvent {
      if (refuses) return OpServiceReply{ServiceCallStatus::kNotRun, {}};
      ++executions_;
      ++call->executions;
      if (++key_executions_[call->key] > 1) {
        AddViolation("operation executed twice");
      }
      ServiceOutcome outcome{200, "text/plain", "digest", OutcomeBody(*call),
                             true};
      return OpServiceReply{ServiceCallStatus::kCompleted, outcome};
    });
  }

  static std::string OutcomeBody(const Call& call) {
    std::ostringstream os;
    os << "run by " << call.machine->self() << " for " << call.key;
    return os.str();
  }

  void Execute(Call* call, const OpCheckOwner& check) {
    bool alive = random_.Chance(0.5);  // the VM list may be stale
    for (int i = 0; i < kVms; ++i) {
      if (check.attempt.vm.value() != "vm" + std::to_string(i)) continue;
      const bool current =
          check.attempt.incarnation.value() == vms_[i].incarnation;
      if (!current || (vms_[i].paused_until <= now_ && random_.Chance(0.8))) {
        alive = current;
      }
    }
    After(Ms(0, 2), [this, call, check, alive] {
      Deliver(call, OpOwnerLiveness{check.attempt, alive});
    });
  }

  void Execute(Call* call, const OpSetTimer& timer) {
    After(timer.at - now_, [this, call] { Deliver(call, OpTick{}); });
  }

  void Execute(Call* call, const OpAnswer& answer) {
    if (call->answer) AddViolation("call answered twice");
    call->answer = answer;
    call->answered_at = now_;
    if (answer.run == RunState::kNotRun) {
      ++answered_not_run_;
      const bool conflict =
          answer.error && answer.error->code == ErrorCode::kConflict;
      if (answer.record_state && !conflict && call->known_key_executions > 0) {
        AddViolation("\"not run\" although the record's key had run");
      }
    }
    if (answer.outcome) {
      ++answered_ran_;
      CheckOutcome(*call);
    }
    const TimePoint paused = vms_[call->vm].paused_until;
    if (now_ > call->deadline && now_ > paused) {
      AddViolation("answer after the deadline");
    }
    if (!answer.outcome || random_.Chance(0.5)) {
      After(Ms(1, 300), [this, call] { StartCall(call->key); });
    }
  }

  void CheckOutcome(const Call& call) {
    int matches = 0;
    for (const auto& other : calls_) {
      const bool ran = other->executions > 0 && other->key == call.key;
      if (ran && OutcomeBody(*other) == call.answer->outcome->body) ++matches;
    }
    if (matches != 1) AddViolation("the outcome belongs to another operation");
    if (call.answer->record_state == RecordState::kDone) ++stored_answers_;
  }

  void CheckCalls() {
    for (const auto& call : calls_) {
      if (call->answer && call->answer->run == RunState::kNotRun &&
          call->executions > 0) {
        AddViolation("\"not run\" although the call ran");
      }
      const bool crashed = vms_[call->vm].incarnation != call->incarnation;
      if (crashed || call->caller_disconnected) continue;
      if (!call->answer) AddViolation("caller was not answered");
      if (!call->machine->ended()) AddViolation("state machine has not ended");
    }
  }

  Random random_;
  const SimulationOptions options_;
  TimePoint now_ = TimePoint::FromMicroseconds(0);
  uint64_t sequence_ = 0;
  std::priority_queue<Event> queue_;
  Vm vms_[kVms];
  std::map<std::string, Object> store_;
  uint64_t last_version_ = 0;
  bool outage_ = false;
  std::vector<std::unique_ptr<Call>> calls_;
  std::map<int, int> started_;
  std::map<int, int> key_executions_;
  std::vector<std::string> violations_;
  int executions_ = 0;
  int answered_not_run_ = 0;
  int answered_ran_ = 0;
  int stored_answers_ = 0;
};

}  // namespace zr
