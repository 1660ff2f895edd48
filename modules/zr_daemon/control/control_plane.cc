#include "zr_daemon/control/control_plane.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "zr_daemon/net/message_bus.h"
#include "zr_platform/json_text.h"

namespace zr {
namespace {

constexpr Duration kTickPeriod = Duration::Milliseconds(50);
constexpr Duration kRetryPeriod = Duration::Milliseconds(500);
// Below the 6 s for which a confirmation of the configuration holds.
constexpr Duration kConfigWatchTimeout = Duration::Seconds(3);
constexpr Duration kVmListPeriod = Duration::Seconds(2);
// Period for sending the demand of teams and pools in a partial mesh.
constexpr Duration kDemandPeriod = Duration::Seconds(1);
// Lifetime of a link of RequestLink() after the last failed send.
constexpr Duration kOnDemandLinkTtl = Duration::Seconds(300);
constexpr int kListPageSize = 500;
constexpr const char* kConfigKind = "config";
constexpr const char* kConfigName = "environment";
constexpr const char* kEndpointsKind = "endpoints";

MembershipOptions MakeMembershipOptions(const NodeContext& context) {
  MembershipOptions options;
  options.self = context.settings.vm;
  options.domain = context.settings.domain;
  options.region = context.settings.region;
  options.peer_address = context.settings.peer_listener.ToString();
  options.incarnation = context.incarnation;
  return options;
}

Result<void> CheckOffer(const ConfigOffer& offer) {
  if (DocumentDigest(offer.document) != offer.digest) {
    return Fail(ErrorCode::kInvalidArgument, "configuration", "",
                "digest does not match");
  }
  auto parsed = Environment::Parse(offer.document);
  if (!parsed) return tl::unexpected(parsed.error());
  return {};
}

ConfigTrackerOptions MakeTrackerOptions(const NodeContext& context) {
  ConfigTrackerOptions options;
  options.self = context.settings.vm;
  options.check = &CheckOffer;
  return options;
}

}  // namespace

Result<EndpointInfo> ParseEndpointInfo(const std::string& name,
                                       const std::string& value) {
  const auto json = ReadJson(value);
  auto text = [&json](const char* key) {
    auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
  };
  if (!json.is_object() || text("address").empty() || text("pool").empty()) {
    return Fail(ErrorCode::kInvalidArgument, "endpoint registry", name,
                "registration needs an address and a pool");
  }
  return EndpointInfo{EndpointId(name), PoolId(text("pool")),
                      DomainId(text("domain")), text("region"),
                      text("address")};
}

Result<std::shared_ptr<ControlPlane>> ControlPlane::Create(
    NodeContext& context, std::shared_ptr<PeerLinks> links,
    Listener& listener) {
  auto membership = Membership::Create(MakeMembershipOptions(context));
  if (!membership) return tl::unexpected(membership.error());
  return std::shared_ptr<ControlPlane>(new ControlPlane(
      context, std::move(links), listener, std::move(*membership)));
}

ControlPlane::ControlPlane(NodeContext& context,
                           std::shared_ptr<PeerLinks> links, Listener& listener,
                           Membership membership)
    : context_(context),
      links_(std::move(links)),
      listener_(listener),
      strand_(asio::make_strand(context.io)),
      tick_timer_(strand_),
      membership_(std::move(membership)),
      tracker_(MakeTrackerOptions(context)),
      endpoints_(std::make_shared<std::map<EndpointId, EndpointInfo>>()) {}

template <typename F>
auto ControlPlane::OnStrand(F run) {
  return [self = shared_from_this(), run = std::move(run)](auto... args) {
    asio::post(self->strand_, [self, run, args...] {
      if (!self->stopped_) run(args...);
    });
  };
}

void ControlPlane::RunAfter(Duration delay, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(strand_);
  timer->expires_after(std::chrono::microseconds(delay.microseconds()));
  timer->async_wait([self = shared_from_this(), timer,
                     run = std::move(run)](const auto& error) {
    if (!error && !self->stopped_) run();
  });
}

void ControlPlane::Start() {
  asio::post(strand_, [self = shared_from_this()] {
    std::set<std::string> seeds;
    for (const Address& seed : self->context_.settings.peer_seeds) {
      seeds.insert(seed.ToString());
    }
    self->links_->SetTargets(seeds);
    self->ReadConfig();
    self->ListEndpoints("", {});
    self->ListVms();
    self->Tick();
  });
}

void ControlPlane::BeginStop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopping_ = true;
    self->SendHeartbeat(SteadyNow(), true);
    self->Publish();
  });
}

void ControlPlane::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    self->tick_timer_.cancel();
  });
}

void ControlPlane::ScheduleTick() {
  tick_timer_.expires_after(
      std::chrono::microseconds(kTickPeriod.microseconds()));
  tick_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (!error && !self->stopped_) self->Tick();
      });
}

void ControlPlane::Tick() {
  const TimePoint now = SteadyNow();
  HandleEvents(membership_.OnTick(now));
  if (membership_.HeartbeatDue(now)) SendHeartbeat(now);
  tracker_.OnView(now, *membership_.View());
  RunConfigActions(now);
  if (membership_.View()->revision != published_revision_ ||
      tracker_.version() != published_config_ ||
      tracker_.Readiness(now) != published_readiness_) {
    Publish();
  }
  ScheduleTick();
}

void ControlPlane::SendHeartbeat(TimePoint now, bool announce) {
  LocalState local;
  local.ready =
      !stopping_ && tracker_.Readiness(now) == ConfigReadiness::kReady;
  local.leaving = stopping_;
  local.config_version = tracker_.version();
  if (tracker_.current()) local.config_digest = tracker_.current()->digest;
  const std::vector<VmId> connected = links_->Connected();
  if (membership_.partial_mesh()) {
    // Digests are not sent on the links of RequestLink().
    std::vector<VmId> planned;
    for (const VmId& vm : connected) {
      if (membership_.links()->contains(vm)) planned.push_back(vm);
    }
    for (const OutgoingMessage& out :
         membership_.MakeDigests(now, local, planned, announce)) {
      context_.bus->Send(out.to, out.message);
    }
    if (planned.empty() || now < next_demand_) return;
    // The demand goes to one planned VM at a time, round-robin, and is not
    // relayed.
    next_demand_ = now + kDemandPeriod;
    if (fill_demand) fill_demand(local);
    context_.bus->Send(planned[next_demand_link_++ % planned.size()],
                       membership_.MakeHeartbeat(now, local));
    return;
  }
  if (fill_demand) fill_demand(local);
  const Message message = membership_.MakeHeartbeat(now, local);
  for (const VmId& vm : connected) context_.bus->Send(vm, message);
}

void ControlPlane::HandleEvents(const std::vector<MembershipEvent>& events) {
  for (const MembershipEvent& event : events) {
    switch (event.kind) {
      case MembershipEvent::Kind::kVmDown:
        Log(LogLevel::kWarning, "membership",
            "VM " + event.vm.value() + " is silent.");
        listener_.OnVmDown(event.vm, event.incarnation);
        break;
      case MembershipEvent::Kind::kSelfPaused:
        Log(LogLevel::kWarning, "membership", "This process was paused.");
        tracker_.OnSelfPaused(SteadyNow());
        listener_.OnSelfPaused();
        break;
      case MembershipEvent::Kind::kVmAppeared:
        Log(LogLevel::kInfo, "membership",
            "VM " + event.vm.value() + " is live.");
        break;
      case MembershipEvent::Kind::kVmLeaving:
        Log(LogLevel::kInfo, "membership",
            "VM " + event.vm.value() + " is leaving.");
        break;
      case MembershipEvent::Kind::kVmReturned:
      case MembershipEvent::Kind::kViewSettled:
        break;
    }
  }
  UpdateLinks();
}

void ControlPlane::OnHeartbeat(const VmId& from, Heartbeat heartbeat) {
  asio::post(strand_, [self = shared_from_this(), from,
                       heartbeat = std::move(heartbeat)] {
    const TimePoint now = SteadyNow();
    HeartbeatOutcome outcome =
        self->membership_.OnHeartbeat(now, heartbeat, from);
    if (outcome.kind == HeartbeatOutcome::Kind::kNameConflict) {
      Log(LogLevel::kError, "membership",
          "Another process uses the VM name " + heartbeat.origin.vm.value() +
              ".");
    }
    if (outcome.kind != HeartbeatOutcome::Kind::kAccepted) return;
    if (self->on_peer_demand) self->on_peer_demand(heartbeat);
    if (!outcome.events.empty()) self->HandleEvents(outcome.events);
  });
}

void ControlPlane::OnDigest(const VmId& from, MembershipDigest digest) {
  asio::post(strand_,
             [self = shared_from_this(), from, digest = std::move(digest)] {
               DigestOutcome outcome =
                   self->membership_.OnDigest(SteadyNow(), digest, from);
               if (outcome.reply) {
                 self->context_.bus->Send(from, *outcome.reply);
               }
               if (!outcome.events.empty()) self->HandleEvents(outcome.events);
             });
}

void ControlPlane::RequestLink(const VmId& vm) {
  asio::post(strand_, [self = shared_from_this(), vm] {
    if (!self->membership_.partial_mesh()) return;
    const bool added = !self->on_demand_links_.contains(vm);
    self->on_demand_links_[vm] = SteadyNow() + kOnDemandLinkTtl;
    if (added) self->UpdateLinks();
  });
}

void ControlPlane::UpdateLinks() {
  const auto view = membership_.View();
  std::set<std::string> targets;
  for (const Address& seed : context_.settings.peer_seeds) {
    targets.insert(seed.ToString());
  }
  // Silent VMs stay in the plan, so that regions reconnect after a network
  // partition.
  std::vector<PeerSite> live = PeerPlanner::SitesOf(*view);
  std::vector<PeerSite> known = live;
  for (const auto& [id, vm] : view->silent) {
    known.push_back({id, vm.domain, vm.region});
  }
  const PeerPlanner planner;
  if (!planner.IsPartialMesh(known)) {
    membership_.SetLinks(std::nullopt);
    for (const auto& [vm, addr] : view->peer_addresses) targets.insert(addr);
    targets.erase("");
    return links_->SetTargets(std::move(targets));
  }
  std::set<VmId> planned = planner.LinksOf(view->self, known);
  planned.merge(planner.LinksOf(view->self, live));
  // In a partial mesh the seeds are dialled only until other VMs are known.
  targets.clear();
  std::set<VmId> dial_targets = planned;
  std::erase_if(on_demand_links_,
                [&](const auto& link) { return link.second < SteadyNow(); });
  for (const auto& [vm, until] : on_demand_links_) dial_targets.insert(vm);
  for (const VmId& vm : dial_targets) {
    const auto address = view->peer_addresses.find(vm);
    if (address != view->peer_addresses.end() && !address->second.empty()) {
      targets.insert(address->second);
    }
  }
  membership_.SetLinks(std::move(planned));
  links_->SetTargets(std::move(targets));
}

void ControlPlane::OnConfigOffer(const VmId& from, ConfigOffer offer) {
  asio::post(strand_, [self = shared_from_this(), from,
                       offer = std::move(offer)] {
    self->HandleOfferOutcome(self->tracker_.OnOffer(SteadyNow(), from, offer));
  });
}

void ControlPlane::OnConfigFetch(const VmId& from, ConfigFetch fetch) {
  asio::post(strand_, [self = shared_from_this(), from, fetch] {
    if (self->tracker_.CanAnswer(fetch)) {
      self->context_.bus->Send(from, *self->tracker_.current());
    }
  });
}

void ControlPlane::OnDocumentWritten(ConfigOffer offer) {
  asio::post(strand_, [self = shared_from_this(), offer = std::move(offer)] {
    const TimePoint now = SteadyNow();
    self->HandleOfferOutcome(self->tracker_.OnStoreRead(now, now, offer));
  });
}

void ControlPlane::RunConfigActions(TimePoint now) {
  for (const ConfigAction& action : tracker_.OnTick(now)) {
    if (action.kind == ConfigAction::Kind::kFetchFromPeer) {
      context_.bus->Send(action.peer, action.request);
    } else {
      ReadConfig();
    }
  }
  if (!watching_config_ && ShouldWatchConfig()) WatchConfig();
}

bool ControlPlane::ShouldWatchConfig() const {
  const auto watchers =
      WatchersOf(context_.settings.domain, *membership_.View());
  return tracker_.version().value() > 0 &&
         std::find(watchers.begin(), watchers.end(), context_.settings.vm) !=
             watchers.end();
}

void ControlPlane::ReadConfig() {
  const TimePoint sent_at = SteadyNow();
  context_.store->Get(StorePurpose::kConfig, kConfigKind, kConfigName,
                      OnStrand([this, sent_at](const StoreReply& reply) {
                        if (reply.status == StoreStatus::kOk) {
                          OnConfigItem(sent_at, reply.version, reply.value);
                        } else if (reply.status == StoreStatus::kNotFound) {
                          tracker_.OnStoreAbsent();
                        }
                      }));
}

void ControlPlane::OnConfigItem(TimePoint sent_at, ObjectVersion version,
                                const std::string& value) {
  auto object = DecodeConfigObject(value);
  if (!object) return Log(LogLevel::kError, "configuration", object.error());
  notes_[version] = object->note;
  while (notes_.size() > 2) notes_.erase(notes_.begin());
  const std::string digest = DocumentDigest(object->document);
  HandleOfferOutcome(tracker_.OnStoreRead(
      SteadyNow(), sent_at,
      ConfigOffer{version, digest, std::move(object->document)}));
}

void ControlPlane::WatchConfig() {
  watching_config_ = true;
  const TimePoint sent_at = SteadyNow();
  context_.store->Watch(
      StorePurpose::kConfig, kConfigKind, tracker_.version(),
      kConfigWatchTimeout, OnStrand([this, sent_at](const StoreReply& reply) {
        const TimePoint now = SteadyNow();
        if (reply.status == StoreStatus::kOk) {
          for (const StoreItem& item : reply.items) {
            if (item.name == kConfigName && !item.deleted) {
              OnConfigItem(sent_at, item.version, item.value);
            }
          }
          if (reply.items.empty()) {
            tracker_.OnStoreUnchanged(now, sent_at, reply.version);
          }
        } else if (reply.status == StoreStatus::kExpired) {
          ReadConfig();
        }
        if (reply.status == StoreStatus::kOk && ShouldWatchConfig()) {
          WatchConfig();
        } else {
          RunAfter(kRetryPeriod, [this] { watching_config_ = false; });
        }
      }));
}

void ControlPlane::HandleOfferOutcome(OfferOutcome outcome) {
  if (outcome == OfferOutcome::kConflict) {
    Log(LogLevel::kError, "configuration",
        "Two different documents have the same version.");
  } else if (outcome == OfferOutcome::kRejected) {
    Log(LogLevel::kError, "configuration",
        "An invalid document was offered and not adopted.");
  }
  if (outcome != OfferOutcome::kAdopted) return;
  const auto current = tracker_.current();
  auto parsed = Environment::Parse(current->document);
  ZR_ASSERT(parsed.has_value(), "adopted documents were checked");
  if (!parsed) return;
  environment_ = std::make_shared<const Environment>(std::move(*parsed));
  classes_ = std::make_shared<const ClassPolicies>(environment_->classes());
  teams_ = std::make_shared<const TeamPolicies>(environment_->teams());
  const auto& drains = environment_->drains();
  membership_.SetDrains(SteadyNow(),
                        std::vector<Drain>(drains.begin(), drains.end()));
  Log(LogLevel::kInfo, "configuration",
      "Version " + std::to_string(current->version.value()) +
          " is in force, digest " + current->digest.substr(0, 12) + ".");
  // Announces the version at once, so that peers that lack it fetch it.
  SendHeartbeat(SteadyNow(), true);
  Publish();
}

void ControlPlane::ListEndpoints(std::string after,
                                 std::map<EndpointId, EndpointInfo> found) {
  context_.store->List(
      StorePurpose::kEndpoints, kEndpointsKind, after, kListPageSize,
      OnStrand([this, found = std::move(found)](const StoreReply& reply) {
        if (reply.status != StoreStatus::kOk) {
          RunAfter(kRetryPeriod, [this] { ListEndpoints("", {}); });
          return;
        }
        auto all = found;
        for (const StoreItem& item : reply.items) {
          auto info = ParseEndpointInfo(item.name, item.value);
          if (info) {
            all[info->endpoint] = *info;
          } else {
            Log(LogLevel::kWarning, "endpoints", info.error());
          }
        }
        if (static_cast<int>(reply.items.size()) >= kListPageSize) {
          ListEndpoints(reply.items.back().name, std::move(all));
          return;
        }
        endpoints_ = std::make_shared<const std::map<EndpointId, EndpointInfo>>(
            std::move(all));
        endpoints_version_ = reply.version;
        Publish();
        WatchEndpoints();
      }));
}

void ControlPlane::WatchEndpoints() {
  context_.store->Watch(
      StorePurpose::kEndpoints, kEndpointsKind, endpoints_version_,
      Duration::Seconds(20), OnStrand([this](const StoreReply& reply) {
        if (reply.status == StoreStatus::kExpired) return ListEndpoints("", {});
        if (reply.status != StoreStatus::kOk) {
          return RunAfter(kRetryPeriod, [this] { WatchEndpoints(); });
        }
        for (const StoreItem& item : reply.items) ApplyEndpoint(item);
        endpoints_version_ = std::max(endpoints_version_, reply.version);
        if (!reply.items.empty()) Publish();
        WatchEndpoints();
      }));
}

void ControlPlane::ApplyEndpoint(const StoreItem& item) {
  auto changed = *endpoints_;
  if (item.deleted) {
    changed.erase(EndpointId(item.name));
  } else if (auto info = ParseEndpointInfo(item.name, item.value)) {
    changed[info->endpoint] = *info;
  } else {
    Log(LogLevel::kWarning, "endpoints", info.error());
  }
  endpoints_ = std::make_shared<const std::map<EndpointId, EndpointInfo>>(
      std::move(changed));
  endpoints_version_ = std::max(endpoints_version_, item.version);
}

void ControlPlane::ListVms() {
  context_.store->ListVms(
      OnStrand([this](const Result<std::vector<ListedVm>>& vms) {
        if (vms) {
          std::vector<PlatformVm> list;
          for (const ListedVm& vm : *vms) {
            list.push_back(
                {VmId(vm.name), DomainId(vm.domain), vm.address, vm.leaving});
          }
          HandleEvents(membership_.OnPlatformList(SteadyNow(), list));
        }
        RunAfter(kVmListPeriod, [this] { ListVms(); });
      }));
}

void ControlPlane::Publish() {
  const TimePoint now = SteadyNow();
  auto snapshot = std::make_shared<ClusterSnapshot>();
  snapshot->view = membership_.View();
  snapshot->environment = environment_;
  snapshot->document = tracker_.current();
  if (auto note = notes_.find(tracker_.version()); note != notes_.end()) {
    snapshot->note = note->second;
  }
  snapshot->classes = classes_;
  snapshot->teams = teams_;
  snapshot->endpoints = endpoints_;
  if (environment_) {
    snapshot->drains.assign(environment_->drains().begin(),
                            environment_->drains().end());
  }
  snapshot->readiness = tracker_.Readiness(now);
  snapshot->stopping = stopping_;
  published_revision_ = snapshot->view->revision;
  published_config_ = tracker_.version();
  published_readiness_ = snapshot->readiness;
  context_.cluster->Set(snapshot);
  listener_.OnSnapshot(snapshot);
}

}  // namespace zr
