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

/** Probabilities of the injected faults, per opportunity. */
struct Faults {
  double refuse_admission = 0.2;  // an owner refuses or is busy
  double no_response = 0.1;       // an owner, VM or engine does not answer
  double late_grant = 0.1;        // a grant arrives after its start limit
  double not_run = 0.15;       // an engine refuses a call, or cannot be reached
  double break_stream = 0.06;  // a connection breaks
  double message_fault = 0.1;  // a message is repeated, late, reordered, lost
                               // or of another request
  double crash = 0.01;         // an engine crashes
  double caller_fault = 0.05;  // the caller disconnects, calls again or is slow
  double kill_vm = 0.01;       // the ingress VM crashes
  double pause_vm = 0.01;      // the ingress VM is paused
};

/** Bytes of text per token. */
inline constexpr int64_t kTokenBytes = 4;

/** Faults of the machine itself, which the checks must detect. */
enum class Mutant { kNone, kIgnoreAttempts, kRestartAfterFirstToken };

/**
 * Simulates one request in virtual time: three entry VMs, five engines with
 * their owners, and a caller that may disconnect and call again. Collects
 * violations as text.
 */
class RequestSimulation {
 public:
  RequestSimulation(uint64_t seed, const Faults& faults, Mutant mutant);
  ~RequestSimulation();

  void Run();

  const std::vector<std::string>& violations() const { return violations_; }
  bool finished() const { return finished_; }
  int resumes() const { return resumes_; }
  int runs() const { return static_cast<int>(runs_.size()); }
  int takeovers() const { return takeovers_; }

 private:
  struct GrantRecord {
    Grant grant;
    TimePoint issued;
    std::set<size_t> delivered;  // entry VMs that received it
    std::set<size_t> released;   // entry VMs that released it
    // Another VM took over the stream while its holder did not answer. Both may
    // release the grant; owners ignore the second release.
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
    bool first = false;  // the machine serves the first call
    bool outcome = false;
    TimePoint paused_until;
    TimePoint last_idle;  // when the event loop last ran
    TimePoint deadline;
  };

  void Schedule(Duration delay, std::function<void()> event);
  /**
   * Schedules an event at a VM: deferred while the VM is paused, dropped if it
   * is down.
   */
  void ScheduleAtVm(size_t vm, Duration delay,
                    std::function<RequestActions(RequestMachine&)> event);
  void DeliverToVm(size_t vm,
                   const std::function<RequestActions(RequestMachine&)>& event);
  Duration TransitDelay() {
    return Duration::Microseconds(200 + random_.Below(20'000));
  }
  void AddViolation(const std::string& text);
  void ScheduleWakeup(size_t vm);

  void StartCall(size_t vm, int64_t offset);
  void RepeatCall();
  void StepCaller();
  void KillVm(size_t vm);

  void Execute(size_t vm, const RequestActions& actions);
  void Perform(size_t vm, const SelectCandidates& action);
  void Perform(size_t vm, const SendToVm& action);
  void Perform(size_t vm, const StartUpstream& action);
  void Perform(size_t vm, const ResumeUpstream& action);
  void Perform(size_t vm, const DetachUpstream& action);
  void Perform(size_t vm, const CancelUpstream& action);
  void Perform(size_t, const PauseUpstream&) {}
  void Perform(size_t vm, const LocateStream& action);
  void Perform(size_t vm, const EmitHead& action) {
    if (vm == caller_vm_ && waiting_) received_stream_ = action.stream_id;
  }
  void Perform(size_t vm, const EmitChunk& action);
  void Perform(size_t vm, const FinishAnswer& action);
  void Perform(size_t vm, const FailRequest& action);
  void Perform(size_t, const SupersedeCaller&) {}
  void Perform(size_t vm, const ReportSuspect& action);
  void Perform(size_t vm, const RequestSuspectLease& action);
  void Perform(size_t vm, const ReleaseSuspectLease& action);
  void Perform(size_t vm, const GatherRequest& action);
  void Perform(size_t, const CancelGather&) {}

  size_t EngineIndex(const EndpointId& id) const;
  void OnAdmissionRequest(size_t vm, const AdmissionRequest& request);
  Grant MakeGrant(size_t engine, AttemptNumber attempt);
  void SendGrant(size_t vm, size_t engine, AttemptNumber attempt,
                 Duration delay);
  void OnRelease(size_t vm, const GrantRelease& release);
  void CheckRelease(const GrantRelease& release, const GrantRecord& record);
  void StartAtEngine(size_t vm, const StartUpstream& action);
  void OpenConnection(size_t vm, AttemptNumber attempt,
                      const std::string& stream, int64_t offset);
  void SendNextChunk(const std::shared_ptr<Connection>& connection);
  void SendChunk(Connection& connection, int64_t tokens);
  void Disconnect(Connection& connection, UpstreamFailure failure);
  void Crash(size_t engine);
  void CloseConnections(const std::string& stream);
  int64_t GeneratedTokens(const EngineRun& run) const;
  std::string AnswerText(const std::string& stream, int64_t from,
                         int64_t to) const;
  void CheckReceivedBytes(size_t vm, bool complete);
  void CheckFinalState();

  Random random_;
  Faults faults_;
  Mutant mutant_;
  TimePoint now_ = TimePoint::FromMicroseconds(1'000'000);
  uint64_t event_count_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> queue_;
  std::vector<std::string> violations_;

  RequestOptions options_;
  RetryBudget budget_{0.1, 0.5, 20};
  std::array<Vm, 3> vms_;
  std::vector<Engine> engines_;
  std::map<std::string, GrantRecord> grants_;  // by stream id
  std::map<std::string, EngineRun> runs_;      // by stream id
  std::set<std::string>
      started_streams_;  // stream ids of calls that reached an engine
  std::set<std::string>
      refused_streams_;  // stream ids of calls that an engine refused
  std::vector<std::shared_ptr<Connection>> connections_;
  bool poison_ = false;     // the prompt crashes the engines that run it
  int poison_crashes_ = 0;  // engines that the prompt crashed
  std::array<SuspectTable, 3> suspects_;
  SuspectLeases leases_{suspects_[2]};  // the locator's
  bool gather_ = false;
  int64_t length_ = 0;

  size_t caller_vm_ = 0;  // VM of the caller's current call
  bool waiting_ = true;   // the caller waits for an outcome
  std::string received_;
  std::string received_stream_;  // of the bytes received
  bool finished_ = false;
  int calls_ = 0;
  int starts_ = 0;
  int resumes_ = 0;
  int takeovers_ = 0;
};

}  // namespace zr
