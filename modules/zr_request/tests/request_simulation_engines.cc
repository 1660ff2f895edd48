#include <algorithm>

#include "request_simulation.h"

namespace zr {

size_t RequestSimulation::EngineIndex(const EndpointId& id) const {
  for (size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].id == id) return i;
  }
  return 0;
}

//==============================================================================
// Owners

void RequestSimulation::OnAdmissionRequest(size_t vm,
                                           const AdmissionRequest& request) {
  const size_t engine = EngineIndex(request.endpoint);
  if (random_.Chance(faults_.no_response)) return;
  if (random_.Chance(faults_.refuse_admission)) {
    Refusal refusal;
    refusal.request = request.request;
    refusal.attempt = request.attempt;
    refusal.endpoint = request.endpoint;
    const uint64_t draw = random_.Below(20);
    refusal.reason = draw < 12   ? RefusalReason::kBusy
                     : draw < 15 ? RefusalReason::kNotAccepting
                     : draw < 18 ? RefusalReason::kNotOwner
                     : draw < 19 ? RefusalReason::kDeadline
                                 : RefusalReason::kTeamLimit;
    refusal.wait_hint = Duration::Milliseconds(random_.Below(500));
    ScheduleAtVm(vm, TransitDelay(), [this, refusal](RequestMachine& m) {
      return m.OnRefusal(now_, refusal);
    });
    return;
  }
  Duration delay = TransitDelay();
  if (random_.Chance(faults_.late_grant)) {
    delay = Duration::Milliseconds(
        random_.Below(request.queue_if_busy ? 100 : 3000));
  }
  if (request.queue_if_busy) {
    // Waits in the queue first; a cancellation may cross the grant.
    Schedule(Duration::Milliseconds(random_.Below(1500)),
             [this, vm, engine, attempt = request.attempt] {
               SendGrant(vm, engine, attempt, TransitDelay());
             });
    return;
  }
  SendGrant(vm, engine, request.attempt, delay);
}

Grant RequestSimulation::MakeGrant(size_t index, AttemptNumber attempt) {
  Engine& engine = engines_[index];
  Grant grant;
  grant.request = options_.request;
  grant.attempt = attempt;
  grant.endpoint = engine.id;
  grant.number = GrantNumber(engine.next_grant++);
  grant.owner = engine.owner;
  grant.kv_tokens = TokenCount(100);
  grant.start_within = Duration::Seconds(1);
  grant.boot = BootNumber(engine.boot);
  grants_[MakeStreamId(grant)] = {grant, now_, {}, {}, false};
  return grant;
}

void RequestSimulation::SendGrant(size_t vm, size_t engine,
                                  AttemptNumber attempt, Duration delay) {
  const Grant grant = MakeGrant(engine, attempt);
  const int copies = random_.Chance(faults_.message_fault) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ScheduleAtVm(
        vm, delay + TransitDelay() * i, [this, vm, grant](RequestMachine& m) {
          GrantRecord& record = grants_.at(MakeStreamId(grant));
          // A duplicate may reach a new machine of the same VM. The owner
          // ignores its release, because the grant is already released or
          // listed by another VM.
          const bool taken_over =
              !record.delivered.empty() && !record.delivered.contains(vm);
          if (!record.released.empty() || taken_over) return m.Tick(now_);
          record.delivered.insert(vm);
          return m.OnGrant(now_, vms_[vm].last_idle, grant);
        });
  }
}

void RequestSimulation::Perform(size_t vm, const GatherRequest& action) {
  if (random_.Chance(faults_.refuse_admission)) {
    ScheduleAtVm(vm, TransitDelay(), [this, action](RequestMachine& m) {
      return m.OnGatherFailed(now_, action.attempt,
                              Duration::Milliseconds(100));
    });
    return;
  }
  std::vector<Grant> grants;
  for (size_t i = 0; i < engines_.size(); i += 2) {
    grants.push_back(MakeGrant(i, action.attempt));
  }
  ScheduleAtVm(vm, TransitDelay(),
               [this, vm, action, grants](RequestMachine& m) {
                 for (const Grant& g : grants) {
                   grants_.at(MakeStreamId(g)).delivered.insert(vm);
                 }
                 return m.OnGatherReady(now_, vms_[vm].last_idle,
                                        action.attempt, grants);
               });
}

void RequestSimulation::OnRelease(size_t vm, const GrantRelease& release) {
  for (auto& [id, record] : grants_) {
    if (record.grant.number != release.number ||
        record.grant.endpoint != release.endpoint) {
      continue;
    }
    const bool repeated = !record.released.empty();
    record.released.insert(vm);
    if (repeated && !record.two_holders) {
      AddViolation("grant " + id + " is released again");
    }
    CheckRelease(release, record);
    return;
  }
  AddViolation("an unknown grant is released");
}

void RequestSimulation::CheckRelease(const GrantRelease& release,
                                     const GrantRecord& record) {
  const std::string id = MakeStreamId(record.grant);
  const auto run = runs_.find(id);
  const Engine& engine = engines_[EngineIndex(release.endpoint)];
  switch (release.outcome) {
    case ReleaseOutcome::kNeverStarted:
      if (started_streams_.contains(id)) {
        AddViolation("a started grant is released as never started");
      }
      break;
    case ReleaseOutcome::kEndpointRefused:
      if (!refused_streams_.contains(id)) {
        AddViolation("a grant is released as refused without a refusal");
      }
      break;
    case ReleaseOutcome::kCompleted:
      if (run != runs_.end() &&
          GeneratedTokens(run->second) < run->second.length) {
        AddViolation("a grant is released as completed while its run goes on");
      }
      break;
    case ReleaseOutcome::kCancelled:
      if (run != runs_.end() && !run->second.deleted &&
          engine.boot == run->second.boot) {
        AddViolation("a grant is released as cancelled while its run goes on");
      }
      break;
    case ReleaseOutcome::kEndpointFailed:
      break;
  }
}

//==============================================================================
// Engines

int64_t RequestSimulation::GeneratedTokens(const EngineRun& run) const {
  const int64_t steps =
      (now_ - run.start).microseconds() / run.step.microseconds();
  return std::min(run.length, steps);
}

void RequestSimulation::StartAtEngine(size_t vm, const StartUpstream& action) {
  const size_t index = EngineIndex(action.endpoint);
  const Engine& engine = engines_[index];
  const auto fail = [&](UpstreamFailure failure, int status) {
    ScheduleAtVm(
        vm, TransitDelay(), [this, action, failure, status](RequestMachine& m) {
          return m.OnUpstreamFailed(now_, action.attempt, failure, status);
        });
  };
  if (!engine.alive) return fail(UpstreamFailure::kNotRun, 0);
  const GrantRecord& record = grants_.at(action.stream_id);
  if (now_ - record.issued > record.grant.start_within) {
    AddViolation("a grant is used late");
  }
  started_streams_.insert(action.stream_id);
  if (random_.Chance(faults_.not_run)) {
    // All members of a gathered run are refused with it.
    for (const auto& [id, member] : grants_) {
      if (member.grant.attempt == action.attempt) refused_streams_.insert(id);
    }
    return fail(UpstreamFailure::kNotRun, 503);
  }
  EngineRun run;
  run.engine = index;
  run.boot = engine.boot;
  run.length = length_;
  run.start = now_ + Duration::Milliseconds(random_.Below(400));
  run.step = Duration::Milliseconds(5 + random_.Below(60));
  runs_[action.stream_id] = run;
  ScheduleAtVm(vm, TransitDelay(),
               [this, attempt = action.attempt](RequestMachine& m) {
                 return m.OnUpstreamHeaders(now_, attempt, 200);
               });
  OpenConnection(vm, action.attempt, action.stream_id, 0);
  if (poison_) {
    Schedule(TransitDelay(), [this, index, stream = action.stream_id] {
      if (runs_.at(stream).deleted) return;
      poison_crashes_ += engines_[index].alive;
      Crash(index);
    });
  }
}

void RequestSimulation::OpenConnection(size_t vm, AttemptNumber attempt,
                                       const std::string& stream,
                                       int64_t offset) {
  auto connection = std::make_shared<Connection>();
  connection->vm = vm;
  connection->attempt = attempt;
  connection->stream = stream;
  connection->sent = offset;
  connections_.push_back(connection);
  SendNextChunk(connection);
}

void RequestSimulation::SendNextChunk(
    const std::shared_ptr<Connection>& connection) {
  if (!connection->open) return;
  const EngineRun& run = runs_.at(connection->stream);
  if (run.deleted) return Disconnect(*connection, UpstreamFailure::kBroken);
  if (random_.Chance(faults_.break_stream)) {
    const bool timed_out = random_.Chance(0.2);
    return Disconnect(*connection, timed_out ? UpstreamFailure::kTimedOut
                                             : UpstreamFailure::kBroken);
  }
  const int64_t ready = GeneratedTokens(run) - connection->sent;
  if (ready > 0) {
    SendChunk(*connection, 1 + static_cast<int64_t>(random_.Below(ready)));
  }
  if (connection->sent >= run.length) {
    connection->open = false;
    const Duration delay =
        std::max(connection->last_arrival - now_, TransitDelay());
    ScheduleAtVm(connection->vm, delay,
                 [this, attempt = connection->attempt,
                  total = run.length](RequestMachine& m) {
                   return m.OnUpstreamDone(now_, attempt, total);
                 });
    return;
  }
  Schedule(Duration::Milliseconds(5 + random_.Below(80)),
           [this, connection] { SendNextChunk(connection); });
}

void RequestSimulation::SendChunk(Connection& connection, int64_t tokens) {
  const int64_t offset = connection.sent;
  connection.sent += tokens;
  int copies = 1;
  Duration extra_delay;
  std::string stream = connection.stream;
  if (random_.Chance(faults_.message_fault)) {
    switch (random_.Below(5)) {
      case 0:
        copies = 2;
        break;
      case 1:
        copies = 0;
        break;
      case 2:
        extra_delay = Duration::Milliseconds(random_.Below(2000));
        break;
      case 3:
        extra_delay = Duration::Milliseconds(random_.Below(30));
        break;
      default:
        stream = "other~1.1.1";
    }
  }
  const Duration in_order_delay =
      std::max(connection.last_arrival - now_, TransitDelay());
  connection.last_arrival = now_ + in_order_delay;
  for (int i = 0; i < copies; ++i) {
    ScheduleAtVm(
        connection.vm, in_order_delay + extra_delay + TransitDelay() * i,
        [this, attempt = connection.attempt, stream, offset,
         tokens](RequestMachine& m) {
          return m.OnUpstreamChunk(now_, attempt, stream, offset, tokens,
                                   AnswerText(stream, offset, offset + tokens));
        });
  }
}

void RequestSimulation::Disconnect(Connection& connection,
                                   UpstreamFailure failure) {
  connection.open = false;
  ScheduleAtVm(
      connection.vm, std::max(connection.last_arrival - now_, TransitDelay()),
      [this, attempt = connection.attempt, failure](RequestMachine& m) {
        return m.OnUpstreamFailed(now_, attempt, failure);
      });
}

void RequestSimulation::Crash(size_t index) {
  Engine& engine = engines_[index];
  if (!engine.alive) return;
  engine.alive = false;
  const BootNumber boot(engine.boot++);
  for (auto& c : connections_) {
    if (c->open && runs_.at(c->stream).engine == index) {
      Disconnect(*c, UpstreamFailure::kBroken);
    }
  }
  for (size_t vm = 0; vm < vms_.size(); ++vm) {
    ScheduleAtVm(vm, Duration::Milliseconds(random_.Below(1500)),
                 [this, id = engine.id, boot](RequestMachine& m) {
                   return m.OnEndpointFailed(now_, id, boot);
                 });
  }
  Schedule(Duration::Seconds(1),
           [this, index] { engines_[index].alive = true; });
}

void RequestSimulation::CloseConnections(const std::string& stream) {
  for (auto& c : connections_) {
    if (c->stream == stream) c->open = false;
  }
}

}  // namespace zr
