#pragma once

#include <memory>
#include <string>
#include <vector>

#include "zr_admission/zr_admission.h"

namespace zr {

inline TimePoint AtMs(int64_t ms) {
  return TimePoint::FromMicroseconds(ms * 1000);
}

/** An owner with its policies. */
struct OwnerFixture {
  PoolPolicy pool;
  std::shared_ptr<ClassPolicies> classes = std::make_shared<ClassPolicies>();
  std::shared_ptr<TeamPolicies> teams = std::make_shared<TeamPolicies>();
  std::unique_ptr<EndpointOwner> owner;
  uint64_t load_sequence = 0;
  uint64_t list_sequence = 0;
  OwnerActions last;
  bool reply_with_lists = true;  // the engine answers list requests at once
  std::vector<EngineStream> streams;  // its stream list

  OwnerFixture() {
    pool.pool = PoolId("reader");
    pool.fresh_requests = 4;
    pool.max_requests = 16;
    pool.warm_after_requests =
        0;  // warm from the start unless a test changes it
    for (const char* name : {"check", "audit"}) {
      ClassPolicy policy;
      policy.name = ClassId(name);
      (*classes)[policy.name] = policy;
    }
  }

  OwnerPolicies Policies() const { return OwnerPolicies{pool, classes, teams}; }

  void Start(TimePoint now, bool taken_over = false,
             int64_t capacity = 100'000) {
    OwnerOptions options;
    options.self = VmId("owner");
    options.incarnation = Incarnation(7);
    options.endpoint.endpoint = EndpointId("e1");
    options.endpoint.pool = pool.pool;
    options.endpoint.domain = DomainId("sala");
    options.policies = Policies();
    options.taken_over = taken_over;
    owner = EndpointOwner::Create(std::move(options), now).value();
    if (capacity > 0) Load(now, capacity);
    ReplyWithList(now);
  }

  /** Answers a list request among the last actions and appends the resulting
   * actions. */
  void ReplyWithList(TimePoint now) {
    if (!reply_with_lists || Actions<RequestStreamList>().empty()) return;
    std::erase(last, OwnerAction(RequestStreamList{}));
    const EngineStreams list{owner->Snapshot().boot, streams};
    for (OwnerAction& action : owner->OnStreamList(now, list)) {
      last.push_back(std::move(action));
    }
  }

  EngineLoad MakeLoad(int64_t capacity, int64_t used = 0, int64_t running = 0,
                      uint64_t boot = 1) {
    EngineLoad load;
    load.boot = BootNumber(boot);
    load.sequence = ++load_sequence;
    load.kv_capacity = TokenCount(capacity);
    load.kv_used = TokenCount(used);
    load.running = running;
    return load;
  }

  void Load(TimePoint now, int64_t capacity, int64_t used = 0,
            int64_t running = 0, uint64_t boot = 1) {
    last = owner->OnLoadReport(now, MakeLoad(capacity, used, running, boot));
  }

  AdmissionRequest Request(const std::string& id, int64_t prompt,
                           int64_t answer,
                           int64_t time_left_ms = 30'000) const {
    AdmissionRequest request;
    request.request = RequestId(id);
    request.attempt = AttemptNumber(1);
    request.endpoint = EndpointId("e1");
    request.pool = pool.pool;
    request.team = TeamId("t");
    request.request_class = ClassId("check");
    request.prompt = TokenCount(prompt);
    request.max_answer = TokenCount(answer);
    request.time_left = Duration::Milliseconds(time_left_ms);
    request.fingerprint = Fingerprint(Hash64(id));
    request.queue_if_busy = true;
    return request;
  }

  void Submit(TimePoint now, const AdmissionRequest& request,
              const char* from = "vm1") {
    last = owner->OnAdmissionRequest(now, VmId(from), request);
    ReplyWithList(now);
  }

  void Tick(TimePoint now) {
    last = owner->OnTick(now);
    ReplyWithList(now);
  }

  void ReportGrants(TimePoint now, const char* from,
                    std::vector<HeldGrant> grants) {
    HeldGrants list;
    list.holder = SenderStamp{VmId(from), Incarnation(1), ++list_sequence};
    list.endpoint = EndpointId("e1");
    list.grants = std::move(grants);
    last = owner->OnHeldGrants(now, list);
    ReplyWithList(now);
  }

  HeldGrant Held(const std::string& id, bool started = true) const {
    HeldGrant held;
    held.request = RequestId(id);
    held.attempt = AttemptNumber(1);
    if (const GrantEntry* entry = Entry(id)) {
      held.number = entry->number;
      held.owner = entry->owner;
      held.owner_incarnation = entry->owner_incarnation;
      held.kv_tokens = entry->kv;
    }
    held.started = started;
    held.generating = started;
    return held;
  }

  void Release(TimePoint now, const std::string& id,
               ReleaseOutcome outcome = ReleaseOutcome::kCompleted) {
    zr::GrantRelease release;
    release.request = RequestId(id);
    release.attempt = AttemptNumber(1);
    release.endpoint = EndpointId("e1");
    if (const GrantEntry* entry = Entry(id)) {
      release.number = entry->number;
      release.answered = entry->max_answer;
    }
    release.outcome = outcome;
    last = owner->OnRelease(now, VmId("vm1"), release);
    ReplyWithList(now);
  }

  const GrantEntry* Entry(const std::string& id) const {
    return owner->grants().Find(StreamKey{RequestId(id), AttemptNumber(1)});
  }

  /** Messages of type T among the last actions. */
  template <typename T>
  std::vector<T> Sent() const {
    std::vector<T> found;
    for (const OwnerAction& action : last) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) continue;
      if (const T* message = std::get_if<T>(&send->message)) {
        found.push_back(*message);
      }
    }
    return found;
  }

  template <typename T>
  std::vector<T> Actions() const {
    std::vector<T> found;
    for (const OwnerAction& action : last) {
      if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
    }
    return found;
  }

  bool Granted(const std::string& id) const {
    for (const Grant& grant : Sent<Grant>()) {
      if (grant.request == RequestId(id)) return true;
    }
    return false;
  }

  std::optional<RefusalReason> Refused(const std::string& id) const {
    for (const Refusal& refusal : Sent<Refusal>()) {
      if (refusal.request == RequestId(id)) return refusal.reason;
    }
    return std::nullopt;
  }
};

}  // namespace zr
