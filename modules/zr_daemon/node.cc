#include "zr_daemon/node.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace zr {
namespace {

constexpr Duration kHeldGrantsPeriod = Duration::Milliseconds(500);
// Time after the last request for sending releases and the last heartbeats.
constexpr Duration kLinger = Duration::Milliseconds(300);

Incarnation StartTime() {
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count()));
}

}  // namespace

Node::Node(Settings settings)
    : settings_(std::move(settings)),
      context_{io_, settings_, StartTime(), metrics_, nullptr, nullptr},
      bus_(std::make_shared<MessageBus>(context_)),
      selector_(context_),
      held_grants_(context_),
      requests_(context_),
      locator_(context_),
      suspects_(context_),
      gathers_(context_),
      teams_(context_),
      endpoints_(context_,
                 [this](const std::vector<Suspect>& list) {
                   for (const Suspect& suspect : list) {
                     suspects_.Report(suspect);
                   }
                 }),
      caller_api_(context_),
      operator_api_(context_,
                    [this](ConfigOffer offer) {
                      control_->OnDocumentWritten(std::move(offer));
                    }),
      signals_(io_, SIGTERM, SIGINT),
      held_grants_timer_(io_),
      stop_timer_(io_) {
  context_.cluster = &cluster_;
  context_.bus = bus_.get();
  context_.endpoints = &endpoints_;
  context_.requests = &requests_;
  context_.operations = &operations_;
  context_.selector = &selector_;
  context_.held_grants = &held_grants_;
  context_.locator = &locator_;
  context_.suspects = &suspects_;
  context_.gathers = &gathers_;
  context_.teams = &teams_;
}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::Create(Settings settings) {
  std::unique_ptr<Node> node(new Node(std::move(settings)));
  if (auto opened = node->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  return node;
}

Result<void> Node::Open() {
  auto client = HttpClient::Create(io_);
  if (!client) return tl::unexpected(client.error());
  context_.http = *client;
  ObjectStoreOptions store;
  store.address = settings_.platform_address.ToString();
  store.request_timeout = settings_.platform_request_timeout;
  store.budget.reads_per_second =
      static_cast<double>(settings_.platform_reads_per_second);
  store.budget.writes_per_second =
      static_cast<double>(settings_.platform_writes_per_second);
  context_.store = std::make_shared<ObjectStore>(*client, store, &SteadyNow);

  PeerOptions peer;
  peer.self = settings_.vm;
  peer.incarnation = context_.incarnation;
  peer.listen_address = settings_.peer_listener.ToString();
  peer.key = settings_.peer_key;
  peer.max_unproved_links = Sockets().unproved_links;
  auto links = PeerLinks::Start(io_, peer, bus_);
  if (!links) return tl::unexpected(links.error());
  links_ = *links;
  bus_->Connect(links_, [this](const VmId& from, Message message) {
    Receive(from, std::move(message));
  });

  auto control = ControlPlane::Create(context_, links_, *this);
  if (!control) return tl::unexpected(control.error());
  control_ = *control;
  bus_->on_send_failed = [this](const VmId& vm) { control_->RequestLink(vm); };
  placement_ = std::make_shared<PlacementRunner>(context_);
  retention_ = std::make_shared<RetentionRunner>(context_);
  control_->fill_demand = [this](LocalState& local) {
    local.pool_demand = selector_.OwnDemand();
    local.team_demand = teams_.PublishDemand();
  };
  control_->on_peer_demand = [this](const Heartbeat& heartbeat) {
    selector_.OnHeartbeat(heartbeat);
    teams_.OnPeerDemand(heartbeat.origin.vm, heartbeat.team_demand);
  };

  return OpenServers();
}

int Node::Run() {
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) BeginStop();
  });
  control_->Start();
  placement_->Start();
  retention_->Start();
  locator_.Start();
  gathers_.Start();
  ScheduleHeldGrants();
  Log(LogLevel::kInfo, "node",
      "Serving callers on " + settings_.caller_listener.ToString() +
          ", operators on " + settings_.operator_listener.ToString() +
          ", peers on " + settings_.peer_listener.ToString() + ".");
  const auto serve = [this] {
    RunHandlers(io_, [](const char* reason) {
      Log(LogLevel::kError, "node",
          std::string("A handler failed: ") + reason + ".");
    });
  };
  std::vector<std::thread> threads;
  for (int64_t i = 1; i < settings_.worker_threads; ++i) {
    threads.emplace_back(serve);
  }
  serve();
  for (auto& thread : threads) thread.join();
  Log(LogLevel::kInfo, "node", "Stopped.");
  return 0;
}

//==============================================================================
// Control events

void Node::OnSnapshot(const std::shared_ptr<const ClusterSnapshot>& snapshot) {
  teams_.OnPolicies(snapshot->teams);
  locator_.OnSnapshot(*snapshot);
  suspects_.OnSnapshot(*snapshot);
  endpoints_.OnSnapshot(*snapshot);
}

void Node::OnVmDown(const VmId& vm, Incarnation incarnation) {
  selector_.OnVmDown(vm, incarnation);
  endpoints_.OnVmDown(vm);
  locator_.OnVmDown(vm);
  gathers_.OnVmDown(vm);
  teams_.OnVmDown(vm);
  requests_.OnVmDown(vm);
}

void Node::OnSelfPaused() { endpoints_.OnSelfPaused(); }

//==============================================================================
// Messages

void Node::Receive(const VmId& from, Message message) {
  if (auto* m = std::get_if<Heartbeat>(&message)) {
    return control_->OnHeartbeat(from, std::move(*m));
  }
  if (auto* m = std::get_if<MembershipDigest>(&message)) {
    return control_->OnDigest(from, std::move(*m));
  }
  if (auto* m = std::get_if<ConfigOffer>(&message)) {
    return control_->OnConfigOffer(from, std::move(*m));
  }
  if (auto* m = std::get_if<ConfigFetch>(&message)) {
    return control_->OnConfigFetch(from, *m);
  }
  if (auto* m = std::get_if<EndpointSummary>(&message)) {
    if (m->accepts_new) suspects_.OnEndpointAlive(m->endpoint, m->boot);
    return selector_.OnSummary(*m);
  }
  if (auto* m = std::get_if<AdmissionRequest>(&message)) {
    if (settings_.routing_policy == RoutingPolicy::kBaseline) {
      return AnswerBaseline(from, *m);
    }
    if (m->endpoint.empty()) return gathers_.OnRequest(from, *m);
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<CancelAdmission>(&message)) {
    if (m->endpoint.empty()) return gathers_.OnCancel(from, *m);
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<GrantRelease>(&message)) {
    locator_.OnRelease(*m);
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<HeldGrants>(&message)) {
    locator_.OnHeldGrants(*m);
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<GatherReserve>(&message)) {
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<GatherRelease>(&message)) {
    return RouteToOwner(m->endpoint, from, message);
  }
  if (auto* m = std::get_if<Grant>(&message)) return RouteGrant(*m);
  if (auto* m = std::get_if<Refusal>(&message)) {
    if (auto host = requests_.Find(m->request)) host->OnRefusal(*m);
    return;
  }
  ReceiveCoordinationMessage(from, message);
}

void Node::ReceiveCoordinationMessage(const VmId& from,
                                      const Message& message) {
  if (auto* m = std::get_if<GatherReply>(&message)) {
    return gathers_.OnReply(from, *m);
  }
  if (auto* m = std::get_if<Suspect>(&message)) return suspects_.OnSuspect(*m);
  if (auto* m = std::get_if<CrashEvidence>(&message)) {
    return suspects_.OnEvidence(*m);
  }
  if (auto* m = std::get_if<SuspectLeaseRequest>(&message)) {
    return suspects_.OnLeaseRequest(from, *m);
  }
  if (auto* m = std::get_if<StreamLookup>(&message)) {
    return locator_.OnStreamLookup(from, *m);
  }
  if (auto* m = std::get_if<StreamLocation>(&message)) {
    return locator_.OnStreamLocation(from, *m);
  }
  if (auto* m = std::get_if<SuspectLeaseReply>(&message)) {
    if (auto host = requests_.Find(m->request)) {
      host->Post([reply = *m](TimePoint now, RequestMachine& machine) {
        return machine.OnSuspectLease(now, reply.decision, reply.wait_hint);
      });
    }
    return;
  }
  if (auto* m = std::get_if<TakeoverRequest>(&message)) {
    auto host = requests_.Find(m->request);
    if (!host) {
      bus_->Send(from, RequestMachine::UnknownRequestReply(m->request));
      return;
    }
    return host->Post(
        [from, takeover = *m](TimePoint now, RequestMachine& machine) {
          return machine.OnTakeover(now, from, takeover);
        });
  }
  if (auto* m = std::get_if<TakeoverReply>(&message)) {
    auto host = requests_.Find(m->request);
    if (!host) return;
    host->Post([takeover_reply = *m](TimePoint now, RequestMachine& machine) {
      return machine.OnTakeoverReply(now, takeover_reply);
    });
  }
}

void Node::RouteToOwner(const EndpointId& endpoint, const VmId& from,
                        const Message& message) {
  if (settings_.routing_policy == RoutingPolicy::kBaseline) return;
  if (endpoints_.Deliver(endpoint, from, message)) return;
  if (auto* m = std::get_if<AdmissionRequest>(&message)) {
    Refusal refusal;
    refusal.request = m->request;
    refusal.attempt = m->attempt;
    refusal.endpoint = m->endpoint;
    refusal.reason = RefusalReason::kNotOwner;
    bus_->Send(from, refusal);
  } else if (auto* reserve = std::get_if<GatherReserve>(&message)) {
    GatherReply reply;
    reply.request = reserve->request;
    reply.attempt = reserve->attempt;
    reply.endpoint = reserve->endpoint;
    bus_->Send(from, reply);
  }
}

void Node::RouteGrant(const Grant& grant) {
  if (auto host = requests_.Find(grant.request)) return host->OnGrant(grant);
  const OutgoingMessage release =
      RequestMachine::ReleaseForUnknownRequest(grant);
  bus_->Send(release.to, release.message);
}

void Node::AnswerBaseline(const VmId& from, const AdmissionRequest& request) {
  Grant grant;
  grant.request = request.request;
  grant.attempt = request.attempt;
  grant.endpoint = request.endpoint;
  grant.number = GrantNumber(++baseline_grants_);
  grant.owner = settings_.vm;
  grant.owner_incarnation = context_.incarnation;
  grant.kv_tokens = request.prompt + request.max_answer;
  grant.start_within = Duration::Seconds(1);
  if (auto host = endpoints_.Find(request.endpoint)) {
    if (auto load = host->LastLoad()) grant.boot = load->boot;
  }
  bus_->Send(from, grant);
}

void Node::ScheduleHeldGrants() {
  held_grants_timer_.expires_after(
      std::chrono::microseconds(kHeldGrantsPeriod.microseconds()));
  held_grants_timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    held_grants_.Publish();
    ScheduleHeldGrants();
  });
}

//==============================================================================
// Stop

void Node::BeginStop() {
  if (stopping_.exchange(true)) return;
  Log(LogLevel::kInfo, "node",
      "Stopping; " + std::to_string(requests_.size()) + " requests and " +
          std::to_string(operations_.size()) + " operations are in progress.");
  control_->BeginStop();
  placement_->Release();
  stop_timer_.expires_after(
      std::chrono::microseconds(settings_.drain_timeout.microseconds()));
  stop_ends_ = stop_timer_.expiry();
  stop_timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    ZR_ASSERT_INVARIANT(
        kGracefulStop, requests_.size() == 0 && operations_.size() == 0,
        "requests were aborted because the drain timeout has expired");
    requests_.AbortAll();
    FinishStop();
  });
  // An operation ends after its inner request, so operations are waited for
  // first.
  operations_.WhenEmpty([this] {
    requests_.WhenEmpty([this] { asio::post(io_, [this] { FinishStop(); }); });
  });
}

void Node::FinishStop() {
  stop_timer_.cancel();
  auto linger = std::make_shared<asio::steady_timer>(io_);
  linger->expires_after(std::chrono::microseconds(kLinger.microseconds()));
  linger->async_wait([this, linger](const asio::error_code&) {
    const bool sent = caller_server_->unsent_responses() == 0;
    if (!sent && std::chrono::steady_clock::now() < stop_ends_) {
      return FinishStop();
    }
    caller_server_->StopAccepting();
    operator_server_->StopAccepting();
    endpoints_.StopAll();
    locator_.Stop();
    gathers_.Stop();
    placement_->Stop();
    retention_->Stop();
    control_->Stop();
    links_->Stop();
    io_.stop();
  });
}

}  // namespace zr
