#include "zr_daemon/request/request_host.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/request/held_grants.h"
#include "zr_daemon/request/request_table.h"
#include "zr_daemon/request/route_selector.h"
#include "zr_daemon/request/stream_locator.h"
#include "zr_daemon/request/suspect_registry.h"
#include "zr_daemon/request/team_gate.h"

namespace zr {
namespace {

// Below the 1 s within which a granted call must start, so that an unreachable
// endpoint costs little time.
constexpr Duration kConnectTimeout = Duration::Milliseconds(700);
constexpr Duration kCancelTimeout = Duration::Seconds(2);

}  // namespace

RequestHost::RequestHost(NodeContext& context, RequestOptions options,
                         UpstreamTemplate upstream, RetryBudget& budget,
                         std::shared_ptr<AnswerSink> sink)
    : context_(context),
      id_(options.request),
      team_(options.team),
      fingerprint_(options.fingerprint),
      prefixes_(options.prefixes),
      pool_kind_(options.pool.kind),
      strand_(asio::make_strand(context.io)),
      wakeup_(strand_),
      machine_(std::move(options), budget),
      upstream_(std::move(upstream)),
      sink_(std::move(sink)),
      arrived_at_(SteadyNow()) {}

RequestHost::~RequestHost() = default;

MetricLabels RequestHost::ClassLabels() const {
  return {{"team", team_.value()},
          {"class", machine_.options().request_class.name.value()}};
}

void RequestHost::Start() {
  BindSink();
  Post([](TimePoint now, RequestMachine& machine) {
    return machine.Start(now);
  });
}

void RequestHost::BindSink() {
  const uint64_t generation = ++sink_generation_;
  sink_->OnClosed([weak = weak_from_this(), generation] {
    auto self = weak.lock();
    if (!self) return;
    self->Post([weak, generation](TimePoint now,
                                  RequestMachine& machine) -> RequestActions {
      auto host = weak.lock();
      // The connection of a superseded caller is not the current caller's.
      if (!host || host->sink_generation_ != generation) return {};
      return machine.OnCallerDisconnected(now);
    });
  });
}

void RequestHost::Post(
    std::function<RequestActions(TimePoint, RequestMachine&)> event) {
  asio::post(strand_, [self = shared_from_this(), event = std::move(event)] {
    self->Perform(event(SteadyNow(), self->machine_));
  });
}

void RequestHost::OnGrant(Grant grant) {
  const TimePoint received = SteadyNow();
  if (!grant.members.empty()) return OnGatherGrant(grant, received);
  Post([this, grant = std::move(grant), received](TimePoint now,
                                                  RequestMachine& machine) {
    if (grant.endpoint == requested_endpoint_) {
      context_.metrics.Observe("zr_queue_seconds", ClassLabels(),
                               now - requested_at_);
    }
    return machine.OnGrant(now, received, grant);
  });
}

void RequestHost::OnGatherGrant(const Grant& grant, TimePoint received) {
  std::vector<Grant> grants = {grant};
  grants.front().members.clear();
  for (const GatherMember& member : grant.members) {
    Grant member_grant = grants.front();
    member_grant.endpoint = member.endpoint;
    member_grant.number = member.number;
    member_grant.owner = member.owner;
    member_grant.owner_incarnation = member.owner_incarnation;
    member_grant.kv_tokens = member.kv_tokens;
    grants.push_back(std::move(member_grant));
  }
  Post([attempt = grant.attempt, grants = std::move(grants), received](
           TimePoint now, RequestMachine& machine) {
    return machine.OnGatherReady(now, received, attempt, grants);
  });
}

void RequestHost::OnRefusal(Refusal refusal) {
  if (refusal.endpoint.empty()) {
    return Post([refusal](TimePoint now, RequestMachine& machine) {
      return machine.OnGatherFailed(now, refusal.attempt, refusal.wait_hint);
    });
  }
  Post([this, refusal = std::move(refusal)](TimePoint now,
                                            RequestMachine& machine) {
    if (refusal.endpoint == requested_endpoint_ &&
        refusal.reason == RefusalReason::kBusy) {
      context_.selector->ObserveRoundTrip(requested_domain_,
                                          now - requested_at_);
    }
    return machine.OnRefusal(now, refusal);
  });
}

void RequestHost::Reattach(TeamId team, Fingerprint fingerprint, int64_t offset,
                           std::string stream, std::shared_ptr<AnswerSink> sink,
                           std::function<void(Error)> on_refused) {
  asio::post(strand_, [self = shared_from_this(), team = std::move(team),
                       fingerprint, offset, stream = std::move(stream),
                       sink = std::move(sink),
                       on_refused = std::move(on_refused)] {
    auto actions =
        self->machine_.Reattach(SteadyNow(), team, fingerprint, offset, stream);
    if (!actions) return on_refused(actions.error());
    auto superseded = std::exchange(self->sink_, sink);
    self->unsent_bytes_ = 0;
    self->BindSink();
    RequestActions remaining;
    for (RequestAction& action : *actions) {
      if (auto* drop = std::get_if<SupersedeCaller>(&action)) {
        superseded->Supersede(drop->error);
      } else {
        remaining.push_back(std::move(action));
      }
    }
    self->Perform(remaining);
  });
}

StreamLocation RequestHost::Location() const {
  std::lock_guard lock(location_mutex_);
  return location_;
}

void RequestHost::Perform(const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  context_.held_grants->Update(id_, machine_.held_grants());
  {
    std::lock_guard lock(location_mutex_);
    location_ = machine_.location();
    if (location_.found && IsModel()) context_.locator->SetLocal(location_);
  }
  if (machine_.removable()) {
    if (!std::exchange(removed_, true)) {
      wakeup_.cancel();
      CloseUpstream();
      DeleteImports();
      if (IsModel()) context_.locator->EndLocal(id_, finished_);
      context_.teams->OnFinished(
          team_, machine_.options().prompt + machine_.options().max_answer);
      if (machine_.dropped_chunks() > 0) {
        context_.metrics.Count("zr_dropped_chunks_total", {},
                               static_cast<double>(machine_.dropped_chunks()));
      }
      context_.requests->Remove(id_, this);
    }
    return;
  }
  ScheduleWakeup();
}

void RequestHost::ScheduleWakeup() {
  const TimePoint at = machine_.NextWakeup();
  if (at == TimePoint::Max()) return;
  const Duration delay =
      std::max(Duration::Microseconds(100), at - SteadyNow());
  wakeup_.expires_after(std::chrono::microseconds(delay.microseconds()));
  wakeup_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (self && !error) self->Perform(self->machine_.Tick(SteadyNow()));
  });
}

//==============================================================================
// Admission

void RequestHost::Execute(const SelectCandidates& action) {
  RouteChoice choice = context_.selector->Choose(machine_.options(), action);
  Post([choice = std::move(choice)](TimePoint now, RequestMachine& machine) {
    if (choice.pool_kv) return machine.OnTooLarge(now, *choice.pool_kv);
    return machine.OnCandidates(now, choice.candidates, choice.gather);
  });
}

void RequestHost::Execute(const SendToVm& action) {
  if (auto* request = std::get_if<AdmissionRequest>(&action.message)) {
    requested_at_ = SteadyNow();
    requested_endpoint_ = request->endpoint;
    const auto snapshot = context_.cluster->Get();
    const EndpointInfo* info = snapshot->FindEndpoint(request->endpoint);
    requested_domain_ = info == nullptr ? DomainId() : info->domain;
  }
  if (context_.bus->Send(action.to, action.message)) return;
  Post([vm = action.to](TimePoint now, RequestMachine& machine) {
    return machine.OnVmUnreachable(now, vm);
  });
}

//==============================================================================
// Upstream

ClientRequest RequestHost::MakeModelRequest(const StartUpstream& action,
                                            const EndpointInfo& info) const {
  const RequestOptions& options = machine_.options();
  nlohmann::json body = {{"model", upstream_.model},
                         {"prompt", upstream_.prompt},
                         {"prompt_tokens", options.prompt.value()},
                         {"max_tokens", options.max_answer.value()},
                         {"stream", true},
                         {"priority", action.priority},
                         {"stream_id", action.stream_id},
                         {"kv_tokens", action.kv_tokens.value()}};
  if (!action.members.empty()) {
    // The engine that runs a gathered prompt reserves its own share; the other
    // members reserve theirs as imports.
    for (const auto& [endpoint, grant] : machine_.held_grants()) {
      if (endpoint == action.endpoint) {
        body["kv_tokens"] = grant.kv_tokens.value();
      }
    }
    const auto snapshot = context_.cluster->Get();
    for (const EndpointId& member : action.members) {
      const EndpointInfo* other = snapshot->FindEndpoint(member);
      if (other != nullptr) body["members"].push_back(other->address);
    }
  }
  ClientRequest request;
  request.method = "POST";
  request.url = "http://" + info.address + "/v1/completions";
  request.headers["content-type"] = "application/json";
  request.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return request;
}

ClientRequest RequestHost::MakeServiceRequest(const EndpointInfo& info) const {
  ClientRequest request;
  request.method = upstream_.method;
  request.url = "http://" + info.address + upstream_.path;
  request.headers = upstream_.headers;
  request.headers["x-request-id"] = id_.value();
  request.body = upstream_.body;
  return request;
}

void RequestHost::Execute(const StartUpstream& action) {
  const auto snapshot = context_.cluster->Get();
  const EndpointInfo* info = snapshot->FindEndpoint(action.endpoint);
  if (info == nullptr || SteadyNow() >= action.start_before) {
    Post([attempt = action.attempt](TimePoint now, RequestMachine& machine) {
      return machine.OnUpstreamFailed(now, attempt, UpstreamFailure::kNotRun);
    });
    return;
  }
  ClientRequest request =
      IsModel() ? MakeModelRequest(action, *info) : MakeServiceRequest(*info);
  if (!action.members.empty()) CreateImports(action);
  OpenUpstream(action.endpoint, action.attempt, action.stream_id,
               std::move(request), false);
}

void RequestHost::CreateImports(const StartUpstream& action) {
  const auto snapshot = context_.cluster->Get();
  const Duration ttl = machine_.options().deadline - SteadyNow();
  for (const auto& [endpoint, grant] : machine_.held_grants()) {
    const EndpointInfo* info = snapshot->FindEndpoint(endpoint);
    if (endpoint == action.endpoint || info == nullptr) continue;
    const nlohmann::json body = {{"id", action.stream_id},
                                 {"kv_tokens", grant.kv_tokens.value()},
                                 {"ttl_ms", ttl.milliseconds()}};
    ClientRequest request;
    request.method = "POST";
    request.url = "http://" + info->address + "/engine/imports";
    request.headers["content-type"] = "application/json";
    request.body = body.dump();
    request.total_timeout = kCancelTimeout;
    imports_.push_back(request.url + "/" + PercentEncode(action.stream_id));
    context_.http->Fetch(std::move(request), size_t{64} << 10, [](auto) {});
  }
}

void RequestHost::DeleteImports() {
  for (const std::string& url : std::exchange(imports_, {})) {
    ClientRequest request;
    request.method = "DELETE";
    request.url = url;
    request.total_timeout = kCancelTimeout;
    context_.http->Fetch(std::move(request), size_t{64} << 10, [](auto) {});
  }
}

void RequestHost::Execute(const ResumeUpstream& action) {
  const auto snapshot = context_.cluster->Get();
  const EndpointInfo* info = snapshot->FindEndpoint(action.endpoint);
  if (info == nullptr) {
    Post([attempt = action.attempt](TimePoint now, RequestMachine& machine) {
      return machine.OnUpstreamFailed(now, attempt, UpstreamFailure::kNoStream);
    });
    return;
  }
  ClientRequest request;
  request.method = "POST";
  request.url = "http://" + info->address + "/engine/streams/" +
                PercentEncode(action.stream_id) +
                "/resume?offset=" + std::to_string(action.offset);
  OpenUpstream(action.endpoint, action.attempt, action.stream_id,
               std::move(request), true);
}

void RequestHost::OpenUpstream(const EndpointId& endpoint,
                               AttemptNumber attempt,
                               const std::string& stream_id,
                               ClientRequest request, bool resume) {
  CloseUpstream();
  // On a connection that is kept, bytes that a faulty endpoint still sends for
  // an earlier call would be taken for this one's answer.
  request.fresh_connection = true;
  request.connect_timeout = kConnectTimeout;
  call_ = std::make_shared<UpstreamCall>(
      strand_, std::weak_ptr<UpstreamCall::Listener>(shared_from_this()),
      attempt, stream_id,
      IsModel() ? UpstreamFormat::kEngineStream : UpstreamFormat::kPlain,
      resume);
  context_.metrics.Count("zr_upstream_calls_total",
                         {{"endpoint", endpoint.value()}});
  call_->Start(*context_.http, std::move(request));
  if (blocked_) call_->Pause(true);
}

void RequestHost::CloseUpstream() {
  if (call_) call_->Close();
  call_.reset();
}

void RequestHost::Execute(const DetachUpstream& /*action*/) { CloseUpstream(); }

void RequestHost::Execute(const CancelUpstream& action) {
  CloseUpstream();
  auto on_cancelled = [weak = weak_from_this(),
                       stream = action.stream_id](bool confirmed) {
    auto self = weak.lock();
    if (!self) return;
    self->Post([stream, confirmed](TimePoint now, RequestMachine& machine) {
      return machine.OnUpstreamCancelled(now, stream, confirmed);
    });
  };
  const auto snapshot = context_.cluster->Get();
  const EndpointInfo* info = snapshot->FindEndpoint(action.endpoint);
  if (!IsModel() || info == nullptr) {
    // A plain service holds no KV memory: closing the connection is enough.
    on_cancelled(!IsModel());
    return;
  }
  ClientRequest request;
  request.method = "DELETE";
  request.url = "http://" + info->address + "/engine/streams/" +
                PercentEncode(action.stream_id);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kCancelTimeout;
  context_.http->Fetch(
      std::move(request), size_t{64} << 10, [on_cancelled](auto result) {
        // 404 confirms nothing: the request that starts the stream may still be
        // in flight.
        on_cancelled(result &&
                     (result->status == 200 || result->status == 204));
      });
}

void RequestHost::Execute(const PauseUpstream& action) {
  if (call_) call_->Pause(action.paused);
}

void RequestHost::OnUpstreamHeaders(AttemptNumber attempt, int status,
                                    const std::string& content_type) {
  content_type_ = content_type;
  Perform(machine_.OnUpstreamHeaders(SteadyNow(), attempt, status));
}

void RequestHost::OnUpstreamChunk(AttemptNumber attempt,
                                  const std::string& stream_id, int64_t offset,
                                  int64_t tokens, std::string text) {
  Perform(machine_.OnUpstreamChunk(SteadyNow(), attempt, stream_id, offset,
                                   tokens, std::move(text)));
}

void RequestHost::OnUpstreamDone(AttemptNumber attempt, int64_t total) {
  Perform(machine_.OnUpstreamDone(SteadyNow(), attempt, total));
}

void RequestHost::OnUpstreamFailed(AttemptNumber attempt,
                                   UpstreamFailure failure, int status) {
  Perform(machine_.OnUpstreamFailed(SteadyNow(), attempt, failure, status));
}

//==============================================================================
// Caller

void RequestHost::Execute(const EmitHead& action) {
  sink_->WriteHead(action.status, content_type_, action.stream_id);
}

void RequestHost::Execute(const EmitChunk& action) {
  const TimePoint now = SteadyNow();
  if (!first_chunk_sent_) {
    first_chunk_sent_ = true;
    context_.suspects->OnAnswered(prefixes_);
    MetricLabels labels = ClassLabels();
    labels.emplace_back("prompt",
                        PromptLengthBucket(machine_.options().prompt));
    context_.metrics.Observe("zr_first_token_seconds", labels,
                             now - arrived_at_);
  } else {
    context_.metrics.Observe("zr_token_gap_seconds", ClassLabels(),
                             now - last_chunk_at_);
  }
  last_chunk_at_ = now;
  const size_t size = action.bytes.size();
  unsent_bytes_ += size;
  const uint64_t generation = sink_generation_;
  sink_->WriteChunk(
      action.offset, action.bytes, [weak = weak_from_this(), size, generation] {
        auto self = weak.lock();
        if (!self) return;
        asio::post(self->strand_, [self, size, generation] {
          if (self->sink_generation_ != generation) return;
          self->unsent_bytes_ -= std::min(size, self->unsent_bytes_);
          const auto bound =
              static_cast<size_t>(self->context_.settings.stream_buffer_bytes);
          if (self->blocked_ && self->unsent_bytes_ <= bound / 2) {
            self->blocked_ = false;
            self->Perform(self->machine_.OnCallerUnblocked(SteadyNow()));
          }
        });
      });
  if (!blocked_ && unsent_bytes_ > static_cast<size_t>(
                                       context_.settings.stream_buffer_bytes)) {
    blocked_ = true;
    Post([](TimePoint at, RequestMachine& machine) {
      return machine.OnCallerBlocked(at);
    });
  }
}

void RequestHost::Execute(const FinishAnswer& action) {
  MetricLabels labels = ClassLabels();
  labels.emplace_back("outcome", "completed");
  context_.metrics.Count("zr_requests_total", labels);
  finished_ = true;
  sink_->Finish(action.total);
}

void RequestHost::Execute(const FailRequest& action) {
  MetricLabels labels = ClassLabels();
  labels.emplace_back("outcome", std::string(ToString(action.error.code)));
  context_.metrics.Count("zr_requests_total", labels);
  Log(LogLevel::kDebug, "request", action.error);
  sink_->FinishWithError(action);
}

void RequestHost::Execute(const SupersedeCaller& action) {
  sink_->Supersede(action.error);
}

//==============================================================================
// State shared with other VMs

void RequestHost::Execute(const LocateStream& action) {
  context_.locator->Locate(shared_from_this(), action);
}

void RequestHost::Execute(const ReportSuspect& action) {
  Suspect suspect;
  suspect.fingerprint = action.fingerprint;
  suspect.endpoint = action.endpoint;
  suspect.boot = action.boot;
  context_.suspects->Report(suspect);
  if (!first_chunk_sent_) {
    context_.suspects->ReportUnanswered(action.endpoint, action.boot,
                                        prefixes_);
  }
}

void RequestHost::Execute(const RequestSuspectLease& action) {
  SuspectLeaseRequest lease_request;
  lease_request.fingerprint = action.fingerprint;
  lease_request.request = id_;
  lease_request.renewal = action.renewal;
  context_.suspects->SendLeaseRequest(lease_request);
}

void RequestHost::Execute(const ReleaseSuspectLease& action) {
  SuspectLeaseRequest lease_request;
  lease_request.fingerprint = action.fingerprint;
  lease_request.request = id_;
  lease_request.released = true;
  lease_request.completed = action.completed;
  context_.suspects->SendLeaseRequest(lease_request);
}

std::optional<VmId> RequestHost::GatherCoordinatorVm() const {
  return CoordinatorOf(machine_.options().pool.pool,
                       *context_.cluster->Get()->view);
}

void RequestHost::Execute(const GatherRequest& action) {
  const RequestOptions& options = machine_.options();
  AdmissionRequest admission;
  admission.request = id_;
  admission.attempt = action.attempt;
  admission.pool = options.pool.pool;
  admission.team = team_;
  admission.request_class = options.request_class.name;
  admission.prompt = options.prompt;
  admission.max_answer = options.max_answer;
  admission.time_left = options.deadline - SteadyNow();
  admission.fingerprint = options.fingerprint;
  admission.queue_if_busy = true;
  const auto coordinator = GatherCoordinatorVm();
  if (coordinator && context_.bus->Send(*coordinator, admission)) return;
  Post([attempt = action.attempt](TimePoint now, RequestMachine& machine) {
    return machine.OnGatherFailed(now, attempt, Duration::Milliseconds(500));
  });
}

void RequestHost::Execute(const CancelGather& action) {
  CancelAdmission cancel;
  cancel.request = id_;
  cancel.attempt = action.attempt;
  if (const auto coordinator = GatherCoordinatorVm()) {
    context_.bus->Send(*coordinator, cancel);
  }
}

}  // namespace zr
