#pragma once

// Implementation of gateway_node.h: set-up, callers, probes, timers and
// signals.

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace zr {
namespace gateway_internal {

// Resolution of deadlines and of the detection of silent endpoints.
inline constexpr Duration kTickPeriod = Duration::Milliseconds(40);
// The settings file is polled, because it may change without a signal.
inline constexpr Duration kSettingsPeriod = Duration::Seconds(2);
// A stopping VM still gets new connections until two readiness probes of the
// load balancer, one per second, have failed.
inline constexpr Duration kStopLinger = Duration::Milliseconds(3500);
// Time reserved for an orderly exit before the process is killed: requests that
// are not answered by its begin get an answer that says so.
inline constexpr Duration kStopMargin = Duration::Milliseconds(400);
// The part of it that is left for the exit itself.
inline constexpr Duration kExitMargin = Duration::Milliseconds(150);
// Watches of the configuration provide the evidence that it is current; the
// other watches may be longer.
inline constexpr Duration kConfigWatch = Duration::Milliseconds(1400);
// Used by the VMs that watch on behalf of others. A shorter watch keeps the
// evidence younger, so that keys can be checked for longer during a store
// outage.
inline constexpr Duration kSharedConfigWatch = Duration::Milliseconds(500);
// A silent connection is noticed only when the watch ends, and removals are
// then in doubt for another 2.3 s (EndpointDirectory).
inline constexpr Duration kEndpointWatch = Duration::Seconds(2);
inline constexpr Duration kEvacuationWatch = Duration::Seconds(4);
inline constexpr Duration kMemberWatch = Duration::Seconds(25);
// No rule bounds the time until a new entry VM is known.
inline constexpr Duration kMemberBound = Duration::Seconds(8);
// Changes of endpoints come in bursts; a leaving endpoint still has seconds
// left when its entry is marked. Configurations come in quick succession, too.
inline constexpr Duration kEndpointBatchDelay = Duration::Milliseconds(800);
inline constexpr Duration kConfigBatchDelay = Duration::Milliseconds(200);
// Entry VMs start together; the delay lets a few calls read all their entries.
inline constexpr Duration kMemberBatchDelay = Duration::Seconds(1);
// Kind of the store objects that hold the entry VMs and their shared key.
inline constexpr const char* kMemberKind = "zinniarill-members";
// Time after which a write of these objects that failed is repeated.
inline constexpr Duration kMemberWritePeriod = Duration::Seconds(1);
// Kind of the store objects that name the requests and the parts of prompts
// that crash endpoints.
inline constexpr const char* kSuspectKind = "zinniarill-suspects";
inline constexpr Duration kSuspectWatch = Duration::Seconds(25);
// VMs learn of suspects from each other; the store is for those that can't.
inline constexpr Duration kSuspectBound = Duration::Seconds(8);
// Number of 32-bit random numbers in the key.
inline constexpr int kKeyWords = 8;
// Timeout of a call to the store, added to the wait of a watch.
inline constexpr Duration kStoreTimeout = Duration::Milliseconds(400);
// Clients reuse connections that were idle for up to the configured timeout.
inline constexpr Duration kIdleTimeout = Duration::Seconds(30);

}  // namespace gateway_internal

template <GatewayFormat Format>
GatewayNode<Format>::GatewayNode(GatewaySettings settings,
                                 SettingsReader reader)
    : settings_(std::move(settings)),
      reader_(std::move(reader)),
      state_(settings_, metrics_),
      directory_(state_.tracker),
      members_(settings_.vm, settings_.peers_address, settings_.cores),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_(io_) {}

template <GatewayFormat Format>
Result<std::unique_ptr<GatewayNode<Format>>> GatewayNode<Format>::Create(
    GatewaySettings settings, SettingsReader reader) {
  std::unique_ptr<GatewayNode> node(
      new GatewayNode(std::move(settings), std::move(reader)));
  if (auto opened = node->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return node;
}

template <GatewayFormat Format>
Result<void> GatewayNode<Format>::Open() {
  using namespace gateway_internal;
  auto client = HttpClient::Create(io_);
  if (!client) return tl::unexpected(client.error());
  state_.http = *client;
  state_.suspects = std::make_shared<SuspectExchange>(state_);
  dispatch_ = std::make_shared<DispatchClient>(
      io_, settings_, state_,
      [this](const PoolId& pool) { return InFlightCallsOf(pool); });
  dispatch_->SetConfigExchange(
      [this](const VmId& vm, const Message& message) {
        OnConfigMessage(vm, message);
      },
      [this] {
        return static_cast<uint64_t>(state_.config ? state_.config->version()
                                                   : 0);
      });
  state_.limits = std::make_shared<LimitExchange>(
      state_, dispatch_->dispatcher().tracker());
  state_.paths = std::make_shared<PathExchange>(
      io_, state_, [this](const VmId& vm) { return dispatch_->IsLeaving(vm); });
  const SocketShares sockets = settings_.Sockets();
  if (auto started = state_.paths->Start(
          settings_.peers_address, {sockets.begun_tunnels, sockets.tunnels});
      !started) {
    return tl::unexpected(started.error());
  }
  dispatch_directory_ =
      std::make_unique<EndpointDirectory>(dispatch_->dispatcher().tracker());

  state_.reservations = std::make_shared<ReservationKeeper>(
      state_, settings_,
      ReservationKeeper::Codec{&Format::WriteMemoryOrder,
                               &Format::WriteUseQuery, &Format::ReadUse});

  if (auto opened = OpenServers(); !opened) return opened;
  if (auto served = ServeOperators(); !served) {
    return tl::unexpected(served.error());
  }

  ObjectStoreOptions store;
  store.address = settings_.store_address;
  store.request_timeout = kStoreTimeout;
  store.budget.reads_per_second = settings_.store_reads_per_s;
  store.budget.writes_per_second = settings_.store_writes_per_s;
  store_ = std::make_shared<Store>(*client, store, &BootNow);
  const auto add_feed = [this](const char* kind, StorePurpose purpose,
                               Duration wait, Duration batch_delay = {}) {
    typename Feed::Options feed;
    if (purpose == StorePurpose::kConfig) {
      feed.document = this;
      feed.max_shared_wait = kSharedConfigWatch;
    }
    feed.kind = kind;
    feed.purpose = purpose;
    feed.wait = wait;
    feed.batch_delay = batch_delay;
    if (std::string_view(kind) == kMemberKind) {
      feed.needs_watch = [this] {
        return !dispatch_->relay().HasSettled(BootNow());
      };
    }
    feeds_.push_back(
        std::make_shared<Feed>(io_, store_, store_outage_, feed, *this));
    dispatch_->relay().Add(feeds_.back().get());
  };
  add_feed(Format::kConfigKind, StorePurpose::kConfig, kConfigWatch,
           kConfigBatchDelay);
  add_feed(Format::kEndpointKind, StorePurpose::kEndpoints, kEndpointWatch,
           kEndpointBatchDelay);
  add_feed(Format::kEvacuationKind, StorePurpose::kStatus, kEvacuationWatch);
  add_feed(kMemberKind, StorePurpose::kStatus, kMemberWatch, kMemberBatchDelay);
  add_feed(kSuspectKind, StorePurpose::kStatus, kSuspectWatch);
  ApplyBounds();
  ApplyPace();
  return {};
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyPace() {
  state_.tracker.SetPace(settings_.pace);
  dispatch_->dispatcher().tracker().SetPace(settings_.pace);
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyBounds() {
  const std::map<std::string, Duration> bounds = {
      {Format::kConfigKind, settings_.config_bound},
      {Format::kEndpointKind, settings_.drain_bound},
      {Format::kEvacuationKind, settings_.evacuation_bound},
      {gateway_internal::kMemberKind, gateway_internal::kMemberBound},
      {gateway_internal::kSuspectKind, gateway_internal::kSuspectBound}};
  for (const auto& feed : feeds_) {
    feed->SetLimits(EvidenceLimits::ForBound(bounds.at(feed->kind())));
  }
  state_.freshness.SetBounds(
      settings_.revocation_bound - GatewayState::kWatchGap,
      settings_.config_bound);
}

template <GatewayFormat Format>
int GatewayNode<Format>::Run() {
  state_.log.Write(BootNow(), "start",
                   {{"callers", settings_.callers_address},
                    {"domain", settings_.domain.value()},
                    {"store", settings_.store_address}});
  for (const auto& feed : feeds_) {
    if (feed->kind() == gateway_internal::kMemberKind) {
      feed->Start();
    } else if (feed != feeds_[kEndpointFeed]) {
      feed->StartFromOthers();
    }
  }
  WaitForSignal();
  ScheduleTick();
  RunHandlers(io_, [this](const char* reason) {
    state_.log.Write(BootNow(), "handler_failed", {{"reason", reason}});
  });
  return 0;
}

//==============================================================================
// Callers and probes

template <GatewayFormat Format>
void GatewayNode<Format>::HandleCaller(HttpRequest request,
                                       HttpResponsePtr response) {
  const TimePoint now = BootNow();
  size_t header_bytes = 0;
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  const ClientLimits limits =
      state_.config ? state_.config->limits() : ClientLimits{};
  std::string client = request.remote.substr(0, request.remote.rfind(':'));
  auto caller = Format::ReadRequest(std::move(request));
  std::optional<OwnAnswer> refusal;
  if (header_bytes > limits.max_header_bytes) {
    refusal = OwnAnswer{431,
                        Error{ErrorCode::kTooLarge, "request", "",
                              "headers exceed their bound"},
                        {}};
  } else if (!caller) {
    refusal = OwnAnswer{400, caller.error(), {}};
  }
  if (refusal) {
    const RequestId id = caller ? caller->id : RequestId();
    response->Send(refusal->status, Format::WriteOwnAnswerHeaders(id, *refusal),
                   ToString(refusal->error));
    state_.log.Write(now, "bad_request",
                     {{"request", id.value()},
                      {"status", refusal->status},
                      {"reason", refusal->error.message}});
    return;
  }
  caller->client = std::move(client);
  auto forwarded = std::make_shared<Request>(state_, std::move(*caller),
                                             std::move(response), now);
  requests_.push_back(forwarded);
  forwarded->Start();
}

template <GatewayFormat Format>
void GatewayNode<Format>::HandleProbe(const HttpRequest& request,
                                      HttpResponsePtr response) {
  if (request.path == "/metrics") {
    metrics_.Set("zr_gateway_requests_in_progress", {},
                 static_cast<double>(requests_.size()));
    UpdateClientMetrics();
    metrics_.Set("zr_gateway_log_lines_dropped", {},
                 static_cast<double>(state_.log.dropped()));
    for (const auto& feed : feeds_) {
      const Duration age = feed->EvidenceAge(BootNow());
      if (age == Duration::Max()) continue;
      metrics_.Set("zr_gateway_store_evidence_age_seconds",
                   {{"kind", feed->kind()}},
                   static_cast<double>(age.microseconds()) / 1e6);
    }
    response->Send(200, {{"content-type", "text/plain; version=0.0.4"}},
                   metrics_.PrometheusText());
    return;
  }
  if (request.path != Format::kReadyPath) {
    response->Send(404, {}, "");
    return;
  }
  const bool ready = Ready();
  // Requests that follow this answer must not wait for the next tick.
  if (ready) state_.startup.OnServing();
  if (ready != was_ready_) {
    const TimePoint now = BootNow();
    state_.log.Write(
        now, "readiness",
        {{"ready", ready},
         {"config", state_.config ? state_.config->version() : 0},
         {"config_age_ms", state_.freshness.Age(now).milliseconds()},
         {"stopping", state_.stopping}});
    was_ready_ = ready;
  }
  response->Send(ready ? 200 : 503, {}, "");
}

template <GatewayFormat Format>
bool GatewayNode<Format>::Ready() const {
  return !state_.stopping && state_.config && state_.endpoints_known &&
         state_.freshness.Fresh(BootNow());
}

//==============================================================================
// Timers and signals

template <GatewayFormat Format>
void GatewayNode<Format>::WaitForSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      Reload("signal");
    } else {
      BeginStop();
    }
    WaitForSignal();
  });
}

template <GatewayFormat Format>
void GatewayNode<Format>::ScheduleTick() {
  tick_.expires_after(
      std::chrono::microseconds(gateway_internal::kTickPeriod.microseconds()));
  tick_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    Tick();
    ScheduleTick();
  });
}

template <GatewayFormat Format>
void GatewayNode<Format>::Tick() {
  using namespace gateway_internal;
  const TimePoint now = BootNow();
  if (Ready()) state_.startup.OnServing();
  std::vector<ReaderBudget::StreamId> overdue;
  if (state_.readers) overdue = state_.readers->TakeOverdue(now);
  for (auto it = requests_.begin(); it != requests_.end();) {
    if (!overdue.empty()) (*it)->EndIfOverdue(now, overdue);
    (*it)->Tick(now);
    it = (*it)->ended() ? requests_.erase(it) : std::next(it);
  }
  directory_.Tick(now);
  dispatch_directory_->Tick(now);
  UpdateFreshness(now);
  if (evacuations_.Tick(now)) ApplyEvacuations();
  const bool repeat =
      next_member_write_ != TimePoint() && now >= next_member_write_;
  if (repeat) next_member_write_ = TimePoint();
  if (repeat || members_.KeyWriteDue(now)) UpdateMembership();
  state_.reservations->Tick(now);
  state_.tracker.Expire(now);
  state_.tracker.UpdatePace(now);
  dispatch_->Tick(now);
  UpdateSuspectRecords(now);
  if (now >= next_settings_check_) {
    next_settings_check_ = now + kSettingsPeriod;
    Reload("file");
  }
  if (!state_.stopping) return;
  const Duration stopping = now - state_.stop_began;
  if (requests_.empty() && caller_server_->unsent_responses() == 0 &&
      state_.paths->tunnels() == 0 && stopping > kStopLinger) {
    FinishStop("idle");
  }
  if (stopping > settings_.grace - kExitMargin) FinishStop("grace expired");
}

template <GatewayFormat Format>
void GatewayNode<Format>::Reload(const char* cause) {
  auto read = reader_();
  const TimePoint now = BootNow();
  if (!read) {
    state_.log.Write(now, "reload_failed",
                     {{"cause", cause}, {"reason", ToString(read.error())}});
    return;
  }
  if (*read == settings_) return;
  // Addresses are bound at the start only; all other settings apply at once.
  settings_ = std::move(*read);
  ApplyBounds();
  ApplyPace();
  dispatch_->SetFairQueue(settings_.fair_queue);
  ApplyClientLimits();
  state_.log.Write(now, "reload", {{"cause", cause}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::BeginStop() {
  if (state_.stopping) return;
  state_.stopping = true;
  state_.stop_began = BootNow();
  state_.stop_ends =
      state_.stop_began + settings_.grace - gateway_internal::kStopMargin;
  for (const auto& request : requests_) {
    request->LimitDeadline(state_.stop_ends);
  }
  dispatch_->Retire();
  state_.log.Write(state_.stop_began, "stopping",
                   {{"requests", requests_.size()},
                    {"grace_ms", settings_.grace.milliseconds()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::FinishStop(const char* reason) {
  state_.log.Write(BootNow(), "stop",
                   {{"reason", reason}, {"requests", requests_.size()}});
  for (const auto& request : requests_) request->Abandon();
  for (const auto& feed : feeds_) feed->Stop();
  dispatch_->Stop();
  state_.paths->Stop();
  io_.stop();
}

}  // namespace zr
