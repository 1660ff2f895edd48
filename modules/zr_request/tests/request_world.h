#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "zr_request/zr_request.h"

namespace zr {

/** Faults that a run injects; probabilities for each opportunity. */
struct Faults {
  double refuse = 0.2;         // an owner refuses or is busy
  double silent = 0.1;         // an owner does not answer
  double late_grant = 0.1;     // a grant arrives after its time
  double not_run = 0.15;       // an engine refuses a call, or cannot be reached
  double break_stream = 0.06;  // a connection breaks
  double mix_up =
      0.1;  // a part is repeated, late, reordered, lost or of another request
  double crash = 0.01;    // an engine crashes
  double caller = 0.05;   // the caller leaves, calls again, or is slow
  double kill_vm = 0.01;  // the ingress VM dies
  double pause = 0.01;    // the ingress VM is paused
};

/** Each token's text has this many bytes. */
inline constexpr int64_t kTokenBytes = 4;

/** Faults of the machine itself, which the checks must detect. */
enum class Mutant { kNone, kIgnoreAttempts, kRestartAfterFirstToken };

/**
 * One request in a small world under virtual time: three entry VMs, five
 * engines with their owners, and a caller who may leave and call again.
 * Collects violations as text.
 */
class RequestWorld {
 public:
  RequestWorld(uint64_t seed, const Faults& faults, Mutant mutant);
  ~RequestWorld();

  void Run();

  const std::vector<std::string>& violations() const { return violations_; }
  bool finished() const { return finished_; }
  int resumes() const { return resumes_; }
  int runs() const { return static_cast<int>(runs_.size()); }
  int hand_overs() const { return hand_overs_; }

 private:
  struct GrantRecord {
    Grant grant;
    TimePoint issued;
    std::set<size_t> delivered;  // entry VMs that know it
    std::set<size_t> released;   // entry VMs that gave it back
    // Another VM took the stream over while its holder was silent; both may
    // give the grant back, which owners ignore the second time.
    bool two_holders = false;
  };
  struct Engine {
    EndpointId id;
    DomainId domain;
    VmId owner;
    uint64_t boot = 1;
    bool alive = true;
    uint64_t next_grant = 1;
  };
  struct EngineRun {
    size_t engine = 0;
    uint64_t boot = 0;
    int64_t length = 0;
    TimePoint start;
    Duration step;
    bool deleted = false;
  };
  struct Connection {
    size_t vm = 0;
    AttemptNumber attempt;
    std::string stream;
    int64_t sent = 0;
    bool open = true;
    TimePoint last_arrival;
  };
  struct Vm {
    std::unique_ptr<RequestMachine> machine;
    bool alive = true;
    bool first = false;  // the machine's caller is the first call
    bool outcome = false;
    TimePoint paused_until;
    TimePoint last_idle;  // the event loop last ran then
    TimePoint deadline;
  };

  void At(Duration delay, std::function<void()> event);
  /** An event at a VM: deferred while the VM is paused, dropped if it is dead.
   */
  void AtVm(size_t vm, Duration delay,
            std::function<RequestActions(RequestMachine&)> event);
  void DeliverToVm(size_t vm,
                   const std::function<RequestActions(RequestMachine&)>& event);
  Duration Transit() {
    return Duration::Microseconds(200 + random_.Below(20'000));
  }
  void Violation(const std::string& text);
  void ArmTimer(size_t vm);

  void Call(size_t vm, int64_t offset);
  void CallAgain();
  void CallerStep();
  void KillVm(size_t vm);

  void Execute(size_t vm, const RequestActions& actions);
  void Do(size_t vm, const SelectCandidates& action);
  void Do(size_t vm, const SendToVm& action);
  void Do(size_t vm, const StartUpstream& action);
  void Do(size_t vm, const ResumeUpstream& action);
  void Do(size_t vm, const DetachUpstream& action);
  void Do(size_t vm, const CancelUpstream& action);
  void Do(size_t, const PauseUpstream&) {}
  void Do(size_t vm, const LocateStream& action);
  void Do(size_t vm, const EmitHead& action) {
    if (vm == caller_vm_ && waiting_) received_stream_ = action.stream_id;
  }
  void Do(size_t vm, const Emit& action);
  void Do(size_t vm, const Finish& action);
  void Do(size_t vm, const Refuse& action);
  void Do(size_t, const DropCaller&) {}
  void Do(size_t vm, const ReportSuspect& action);
  void Do(size_t vm, const AskTurn& action);
  void Do(size_t vm, const ReturnTurn& action);
  void Do(size_t vm, const GatherRequest& action);
  void Do(size_t, const CancelGather&) {}

  size_t EngineIndex(const EndpointId& id) const;
  void OnAdmission(size_t vm, const AdmissionRequest& request);
  Grant MakeGrant(size_t engine, AttemptNumber attempt);
  void SendGrant(size_t vm, size_t engine, AttemptNumber attempt,
                 Duration delay);
  void OnRelease(size_t vm, const GrantRelease& release);
  void CheckOutcome(const GrantRelease& release, const GrantRecord& record);
  void StartAtEngine(size_t vm, const StartUpstream& action);
  void OpenConnection(size_t vm, AttemptNumber attempt,
                      const std::string& stream, int64_t offset);
  void Pump(const std::shared_ptr<Connection>& connection);
  void SendPart(Connection& connection, int64_t tokens);
  void Break(Connection& connection, UpstreamFailure failure);
  void Crash(size_t engine);
  void CloseConnections(const std::string& stream);
  int64_t Generated(const EngineRun& run) const;
  std::string Text(const std::string& stream, int64_t from, int64_t to) const;
  void CheckCaller(size_t vm, bool complete);
  void CheckEnd();

  Random random_;
  Faults faults_;
  Mutant mutant_;
  TimePoint now_ = TimePoint::FromMicroseconds(1'000'000);
  uint64_t order_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
  std::vector<std::string> violations_;

  RequestOptions options_;
  RetryBudget budget_{0.1, 0.5, 20};
  std::array<Vm, 3> vms_;
  std::vector<Engine> engines_;
  std::map<std::string, GrantRecord> grants_;  // by stream id
  std::map<std::string, EngineRun> runs_;      // by stream id
  std::set<std::string> started_;  // stream ids of calls that reached an engine
  std::set<std::string> refused_;  // stream ids of calls that an engine refused
  std::vector<std::shared_ptr<Connection>> connections_;
  bool poison_ = false;  // the prompt crashes the engines that run it
  int poisoned_ = 0;     // engines that it crashed
  std::array<SuspectTable, 3> suspects_;
  SuspectTurns turns_{suspects_[2]};  // the locator's
  bool gather_ = false;
  int64_t length_ = 0;

  size_t caller_vm_ = 0;  // where the caller's current call is
  bool waiting_ = true;   // the caller waits for an outcome
  std::string received_;
  std::string received_stream_;  // of the bytes received
  bool finished_ = false;
  int calls_ = 0;
  int starts_ = 0;
  int resumes_ = 0;
  int hand_overs_ = 0;
};

}  // namespace zr
