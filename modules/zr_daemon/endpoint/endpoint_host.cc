#include "zr_daemon/endpoint/endpoint_host.h"

#include <utility>

#include "zr_daemon/endpoint/engine_codec.h"
#include "zr_daemon/net/message_bus.h"

namespace zr {
namespace {

constexpr Duration kLoadPeriod = Duration::Milliseconds(250);
constexpr Duration kCachePeriod = Duration::Milliseconds(1000);
constexpr Duration kSummaryPeriod = Duration::Milliseconds(100);
// Period for repeating an unchanged summary, well below its expiry of 3 s.
constexpr Duration kSummaryRepeat = Duration::Milliseconds(1000);
constexpr Duration kReportTimeout = Duration::Milliseconds(1000);
constexpr Duration kCancelTimeout = Duration::Seconds(2);
// Consecutive failed polls after which the endpoint counts as unreachable.
constexpr int kMaxFailedPolls = 3;
constexpr size_t kMaxReportBytes = size_t{4} << 20;

/** Whether two summaries lead to the same selection of endpoints. */

bool EquivalentForSelection(EndpointSummary a, const EndpointSummary& b) {
  a.sequence = b.sequence;
  // Small changes of free memory and of waits do not change the selection.
  const int64_t kv_step = std::max<int64_t>(1, b.kv_capacity.value() / 50);
  const bool kv_close =
      std::abs(a.kv_free.value() - b.kv_free.value()) < kv_step;
  const auto close = [](Duration x, Duration y) {
    return std::abs(x.milliseconds() - y.milliseconds()) < 20;
  };
  const bool waits_close =
      close(a.wait_short, b.wait_short) && close(a.wait_long, b.wait_long);
  a.kv_free = b.kv_free;
  a.wait_short = b.wait_short;
  a.wait_long = b.wait_long;
  return kv_close && waits_close && a == b;
}

}  // namespace

Result<std::shared_ptr<EndpointHost>> EndpointHost::Create(
    NodeContext& context, OwnerOptions options, SuspectsCallback on_suspects) {
  EndpointInfo endpoint = options.endpoint;
  auto owner = EndpointOwner::Create(std::move(options), SteadyNow());
  if (!owner) return tl::unexpected(owner.error());
  return std::shared_ptr<EndpointHost>(new EndpointHost(
      context, std::move(endpoint), std::move(*owner), std::move(on_suspects)));
}

EndpointHost::EndpointHost(NodeContext& context, EndpointInfo endpoint,
                           std::unique_ptr<EndpointOwner> owner,
                           SuspectsCallback on_suspects)
    : context_(context),
      endpoint_(std::move(endpoint)),
      on_suspects_(std::move(on_suspects)),
      strand_(asio::make_strand(context.io)),
      wakeup_(strand_),
      owner_(std::move(owner)) {}

void EndpointHost::Start() {
  asio::post(strand_, [self = shared_from_this()] {
    self->PollLoad();
    self->PollCacheEvents();
    self->PublishSummary();
  });
}

void EndpointHost::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    self->wakeup_.cancel();
  });
}

void EndpointHost::Post(
    std::function<OwnerActions(TimePoint, EndpointOwner&)> event) {
  asio::post(strand_, [self = shared_from_this(), event = std::move(event)] {
    if (self->stopped_) return;
    self->Perform(event(SteadyNow(), *self->owner_));
  });
}

void EndpointHost::Deliver(const VmId& from, Message message) {
  Post([from, message = std::move(message)](
           TimePoint now, EndpointOwner& owner) -> OwnerActions {
    if (auto* m = std::get_if<AdmissionRequest>(&message)) {
      return owner.OnAdmissionRequest(now, from, *m);
    }
    if (auto* m = std::get_if<CancelAdmission>(&message)) {
      return owner.OnCancel(now, from, *m);
    }
    if (auto* m = std::get_if<GrantRelease>(&message)) {
      return owner.OnRelease(now, from, *m);
    }
    if (auto* m = std::get_if<HeldGrants>(&message)) {
      return owner.OnHeldGrants(now, *m);
    }
    if (auto* m = std::get_if<GatherReserve>(&message)) {
      return owner.OnGatherReserve(now, from, *m);
    }
    if (auto* m = std::get_if<GatherRelease>(&message)) {
      return owner.OnGatherRelease(now, from, *m);
    }
    return {};
  });
}

void EndpointHost::OnVmDown(const VmId& vm) {
  Post([vm](TimePoint now, EndpointOwner& owner) {
    return owner.OnVmDown(now, vm);
  });
}

void EndpointHost::OnSelfPaused() {
  Post([](TimePoint now, EndpointOwner& owner) {
    return owner.OnSelfPaused(now);
  });
}

void EndpointHost::OnPolicy(OwnerPolicies policies, bool drained) {
  Post([policies = std::move(policies), drained](TimePoint now,
                                                 EndpointOwner& owner) {
    EndpointAdminState state;
    state.drained = drained;
    return owner.OnPolicy(now, state, policies);
  });
}

void EndpointHost::Perform(const OwnerActions& actions) {
  bool fetch_streams = false;
  for (const OwnerAction& action : actions) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      context_.bus->Send(send->to, send->message);
    } else if (auto* cancel = std::get_if<CancelEngineStream>(&action)) {
      CancelStream(*cancel);
    } else if (std::get_if<RequestStreamList>(&action) != nullptr) {
      fetch_streams = true;
    } else if (auto* report = std::get_if<ReportSuspects>(&action)) {
      on_suspects_(report->suspects);
    }
  }
  if (fetch_streams) FetchStreams();
  {
    std::lock_guard lock(mutex_);
    snapshot_ = owner_->Snapshot();
    last_grant_ = owner_->last_grant();
    streams_.clear();
    for (const auto& [key, entry] : owner_->grants().entries()) {
      if (entry.state == GrantState::kCancelling) continue;
      auto stream = owner_->FindStream(key.request);
      if (stream) streams_[key.request] = *stream;
    }
  }
  ScheduleWakeup();
}

void EndpointHost::ScheduleWakeup() {
  const TimePoint at = owner_->NextWakeup();
  if (at == TimePoint::Max()) return;
  const Duration delay = std::max(Duration::Milliseconds(1), at - SteadyNow());
  wakeup_.expires_after(std::chrono::microseconds(delay.microseconds()));
  wakeup_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (!self || error || self->stopped_) return;
    self->Perform(self->owner_->OnTick(SteadyNow()));
  });
}

void EndpointHost::RunAfter(Duration delay, void (EndpointHost::*function)()) {
  auto timer = std::make_shared<asio::steady_timer>(strand_);
  timer->expires_after(std::chrono::microseconds(delay.microseconds()));
  timer->async_wait([weak = weak_from_this(), timer,
                     function](const asio::error_code& error) {
    auto self = weak.lock();
    if (self && !error && !self->stopped_) ((*self).*function)();
  });
}

void EndpointHost::Fetch(
    const std::string& method, const std::string& path,
    std::function<void(std::optional<std::string>)> on_body) {
  ClientRequest request;
  request.method = method;
  request.url = "http://" + endpoint_.address + path;
  request.connect_timeout = kReportTimeout;
  request.total_timeout = method == "GET" ? kReportTimeout : kCancelTimeout;
  context_.http->Fetch(
      std::move(request), kMaxReportBytes,
      [self = shared_from_this(), on_body = std::move(on_body)](auto result) {
        std::optional<std::string> body;
        if (result && result->status == 200) body = std::move(result->body);
        asio::post(self->strand_,
                   [self, on_body, body = std::move(body)]() mutable {
                     if (!self->stopped_) on_body(std::move(body));
                   });
      });
}

void EndpointHost::PollLoad() {
  Fetch("GET", "/engine/load", [this](std::optional<std::string> body) {
    auto load =
        body
            ? ParseEngineLoad(*body)
            : Result<EngineLoad>(Fail(ErrorCode::kUnavailable, "load report",
                                      endpoint_.endpoint.value(), "no answer"));
    const TimePoint now = SteadyNow();
    if (load) {
      failed_polls_ = 0;
      {
        std::lock_guard lock(mutex_);
        last_load_ = *load;
      }
      Perform(owner_->OnLoadReport(now, *load));
    } else if (++failed_polls_ == kMaxFailedPolls) {
      Log(LogLevel::kWarning, "endpoint",
          "Endpoint " + endpoint_.endpoint.value() + " does not answer.");
      Perform(owner_->OnEndpointUnreachable(now));
    }
    RunAfter(kLoadPeriod, &EndpointHost::PollLoad);
  });
}

void EndpointHost::PollCacheEvents() {
  const std::string path = "/engine/cache_events?after=" +
                           std::to_string(owner_->LastCacheSequence());
  Fetch("GET", path, [this](std::optional<std::string> body) {
    if (body) {
      if (auto events = ParseCacheEvents(*body)) {
        Perform(owner_->OnCacheEvents(SteadyNow(), *events));
      }
    }
    RunAfter(kCachePeriod, &EndpointHost::PollCacheEvents);
  });
}

void EndpointHost::FetchStreams() {
  Fetch("GET", "/engine/streams", [this](std::optional<std::string> body) {
    if (!body) return;
    if (auto list = ParseEngineStreams(*body)) {
      Perform(owner_->OnStreamList(SteadyNow(), *list));
    }
  });
}

void EndpointHost::CancelStream(const CancelEngineStream& cancel) {
  const char* kind = cancel.kind == EngineStreamKind::kImport   ? "imports"
                     : cancel.kind == EngineStreamKind::kExport ? "exports"
                                                                : "streams";
  Fetch("DELETE",
        std::string("/engine/") + kind + "/" + PercentEncode(cancel.stream_id),
        [](std::optional<std::string>) {});
}

void EndpointHost::PublishSummary() {
  const TimePoint now = SteadyNow();
  EndpointSummary summary = owner_->MakeSummary(now);
  if (!published_ || !EquivalentForSelection(summary, *published_) ||
      now - published_at_ >= kSummaryRepeat) {
    published_ = summary;
    published_at_ = now;
    context_.bus->Broadcast(summary);
  }
  RunAfter(kSummaryPeriod, &EndpointHost::PublishSummary);
}

OwnerSnapshot EndpointHost::Snapshot() const {
  std::lock_guard lock(mutex_);
  return snapshot_;
}

std::optional<EngineLoad> EndpointHost::LastLoad() const {
  std::lock_guard lock(mutex_);
  return last_load_;
}

std::optional<GrantedStream> EndpointHost::FindStream(
    const RequestId& request) const {
  std::lock_guard lock(mutex_);
  auto it = streams_.find(request);
  if (it == streams_.end()) return std::nullopt;
  return it->second;
}

GrantNumber EndpointHost::last_grant() const {
  std::lock_guard lock(mutex_);
  return last_grant_;
}

}  // namespace zr
