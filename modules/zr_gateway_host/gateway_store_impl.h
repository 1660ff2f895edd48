#pragma once

// Implementation of gateway_node.h: objects of the store, and the registration
// of this VM among the entry VMs.

#include <random>
#include <utility>

namespace zr {

template <GatewayFormat Format>
void GatewayNode<Format>::OnList(const std::string& kind,
                                 const std::vector<StoreItem>& items) {
  const TimePoint now = BootNow();
  if (kind == Format::kConfigKind) {
    for (const StoreItem& item : items) ApplyConfig(item);
  } else if (kind == Format::kEndpointKind) {
    std::vector<DirectoryEntry> entries;
    for (const StoreItem& item : items) {
      if (auto entry = DecodeEntry(item)) entries.push_back(std::move(*entry));
    }
    directory_.OnList(now, entries);
    dispatch_directory_->OnList(now, entries);
    for (const DirectoryEntry& entry : entries) IsApplied(now, entry);
    endpoints_known_ = true;
  } else if (kind == gateway_internal::kMemberKind) {
    members_.clear();
    for (const StoreItem& item : items) ApplyMember(item);
    UpdateMembership();
  } else if (kind == gateway_internal::kSuspectKind) {
    std::map<std::string, ObjectVersion> records;
    for (const StoreItem& item : items) records[item.name] = item.version;
    state_.suspects->SetRecords(now, records);
  } else {
    evacuated_.clear();
    for (const StoreItem& item : items) evacuated_.insert(DomainId(item.name));
    ApplyEvacuations();
  }
  state_.log.Write(now, "listed", {{"kind", kind}, {"items", items.size()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnChanges(const std::string& kind,
                                    const std::vector<StoreItem>& items) {
  if (kind == Format::kConfigKind) {
    for (const StoreItem& item : items) {
      if (!item.deleted) ApplyConfig(item);
    }
  } else if (kind == Format::kEndpointKind) {
    for (const StoreItem& item : items) ApplyEndpoint(item);
  } else if (kind == gateway_internal::kMemberKind) {
    for (const StoreItem& item : items) ApplyMember(item);
    UpdateMembership();
  } else if (kind == gateway_internal::kSuspectKind) {
    for (const StoreItem& item : items) ApplySuspect(item);
  } else {
    for (const StoreItem& item : items) {
      if (item.deleted) {
        evacuated_.erase(DomainId(item.name));
      } else {
        evacuated_.insert(DomainId(item.name));
      }
    }
    ApplyEvacuations();
  }
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnVerified(const std::string& kind,
                                     TimePoint started) {
  if (kind == Format::kConfigKind && state_.config) {
    state_.freshness.OnVerified(started);
  }
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnStoreReachable(const std::string& kind,
                                           bool reachable, StoreStatus status,
                                           Duration call_time) {
  const TimePoint now = BootNow();
  if (kind == Format::kEndpointKind) {
    directory_.OnStoreReachable(now, reachable);
    dispatch_directory_->OnStoreReachable(now, reachable);
  }
  state_.log.Write(
      now, reachable ? "store_back" : "store_lost",
      {{"kind", kind},
       {"status", ToString(status)},
       {"call_ms", call_time.milliseconds()},
       {"config_age_ms", state_.freshness.Age(now).milliseconds()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnCallFailed(const std::string& kind,
                                       StoreStatus status, Duration call_time) {
  state_.log.Write(BootNow(), "store_call_failed",
                   {{"kind", kind},
                    {"status", ToString(status)},
                    {"call_ms", call_time.milliseconds()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnStoreRestored(const std::string& kind,
                                          StorePosition known,
                                          StorePosition now) {
  state_.log.Write(BootNow(), "store_restored",
                   {{"kind", kind},
                    {"era", now.era.value()},
                    {"known_revision", known.version.value()},
                    {"revision", now.version.value()}});
  state_.metrics.Set("zr_gateway_store_era", {},
                     static_cast<double>(now.era.value()));
  if (kind == Format::kEndpointKind) {
    const TimePoint time = BootNow();
    directory_.OnStoreRestored(time);
    dispatch_directory_->OnStoreRestored(time);
  }
  for (const auto& feed : feeds_) feed->OnEra(now.era);
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnUpdatesEnded(const std::string& kind,
                                         Duration evidence_age) {
  state_.log.Write(BootNow(), "updates_ended",
                   {{"kind", kind}, {"age_ms", evidence_age.milliseconds()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyConfig(const StoreItem& item) {
  if (item.name != Format::kConfigName) return;
  const TimePoint now = BootNow();
  auto parts = Format::DecodeConfig(item.value);
  if (!parts) {
    state_.log.Write(now, "config_rejected",
                     {{"revision", item.version.value()},
                      {"reason", ToString(parts.error())}});
    return;
  }
  const int64_t version = parts->version;
  const bool first = !state_.config;
  if (state_.config && version <= state_.config->version()) {
    if (version < state_.config->version()) {
      state_.log.Write(now, "config_older",
                       {{"version", version},
                        {"in_force", state_.config->version()},
                        {"revision", item.version.value()}});
    }
    return;
  }
  auto config = GatewayConfig::Create(std::move(*parts));
  if (!config) {
    state_.log.Write(now, "config_rejected",
                     {{"revision", item.version.value()},
                      {"reason", ToString(config.error())}});
    return;
  }
  state_.config = std::move(*config);
  dispatch_->SetPools(state_.config->ModelPools());
  // Decoding endpoint entries needs the services of the configuration.
  if (first) feeds_[kEndpointFeed]->Start();
  state_.log.Write(now, "config_in_force",
                   {{"version", version},
                    {"revision", item.version.value()},
                    {"config_age_ms", state_.freshness.Age(now).milliseconds()},
                    {"routes", state_.config->routes().size()}});
}

template <GatewayFormat Format>
std::optional<DirectoryEntry> GatewayNode<Format>::DecodeEntry(
    const StoreItem& item) {
  auto listed = Format::DecodeEndpoint(item.name, item.value);
  if (!listed) {
    state_.log.Write(BootNow(), "entry_rejected",
                     {{"name", item.name},
                      {"revision", item.version.value()},
                      {"reason", ToString(listed.error())}});
    return std::nullopt;
  }
  DirectoryEntry entry;
  if (state_.config) {
    if (const auto* policy = state_.config->FindService(listed->service)) {
      entry.cold_rate_per_s = policy->cold_rate_per_s;
    }
  }
  entry.endpoint = std::move(*listed);
  return entry;
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyEndpoint(const StoreItem& item) {
  const TimePoint now = BootNow();
  const EndpointId id(item.name);
  if (item.deleted) {
    directory_.OnRemoved(now, id);
    dispatch_directory_->OnRemoved(now, id);
    state_.log.Write(
        now, "endpoint_removed",
        {{"endpoint", item.name}, {"revision", item.version.value()}});
    return;
  }
  const EndpointState* known = state_.tracker.Find(id);
  const bool was_draining = known != nullptr && known->listed.draining;
  auto entry = DecodeEntry(item);
  // An entry that can't be decoded counts as removed.
  if (!entry) {
    dispatch_directory_->OnRemoved(now, id);
    return directory_.OnRemoved(now, id);
  }
  directory_.OnEntry(now, *entry);
  dispatch_directory_->OnEntry(now, *entry);
  if (!IsApplied(now, *entry)) return;
  if (known == nullptr || was_draining != entry->endpoint.draining) {
    state_.log.Write(now, "endpoint_listed",
                     {{"endpoint", item.name},
                      {"address", entry->endpoint.address},
                      {"draining", entry->endpoint.draining},
                      {"cold_ms", entry->endpoint.cold_left.milliseconds()},
                      {"revision", item.version.value()}});
  }
}

template <GatewayFormat Format>
bool GatewayNode<Format>::IsApplied(TimePoint now,
                                    const DirectoryEntry& entry) {
  const EndpointState* state = state_.tracker.Find(entry.endpoint.id);
  if (state != nullptr && state->listed == entry.endpoint) return true;
  state_.log.Write(now, "entry_outdated",
                   {{"endpoint", entry.endpoint.id.value()},
                    {"boot", entry.endpoint.boot().value()},
                    {"sequence", entry.endpoint.sequence},
                    {"draining", entry.endpoint.draining},
                    {"listed", state != nullptr}});
  return false;
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyEvacuations() {
  state_.tracker.SetEvacuated(evacuated_);
  dispatch_->dispatcher().tracker().SetEvacuated(evacuated_);
  LogFields fields = {{"domains", LogFields::array()}};
  for (const DomainId& domain : evacuated_) {
    fields["domains"].push_back(domain.value());
  }
  state_.log.Write(BootNow(), "evacuations", fields);
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyMember(const StoreItem& item) {
  using namespace gateway_internal;
  const auto value = nlohmann::json::parse(item.value, nullptr, false);
  if (item.name == kKeyName) {
    if (!item.deleted && value.is_string()) peer_key_ = value;
    return;
  }
  if (!item.name.starts_with(kVmPrefix)) return;
  const VmId vm(item.name.substr(kVmPrefix.size()));
  if (item.deleted || !value.is_string()) {
    members_.erase(vm);
  } else {
    members_[vm] = {value.get<std::string>(), item.version};
  }
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateMembership() {
  using namespace gateway_internal;
  // A lost answer does no harm: the watch shows which writes took effect.
  const auto put = [this](const std::string& name, ObjectVersion expected,
                          const std::string& text) {
    store_->Put(StorePurpose::kStatus, kMemberKind, name, expected,
                nlohmann::json(text).dump(), [this, name](StoreReply reply) {
                  state_.log.Write(
                      BootNow(), "member_written",
                      {{"name", name}, {"status", ToString(reply.status)}});
                });
  };
  if (peer_key_.empty()) {
    std::random_device device;
    std::string key;
    for (int i = 0; i < kKeyWords; ++i) key += std::to_string(device());
    put(kKeyName, ObjectVersion(), key);
  }
  const Member own = members_[settings_.vm];
  if (own.address != settings_.peers_address) {
    put(std::string(kVmPrefix) + settings_.vm.value(), own.version,
        settings_.peers_address);
    members_[settings_.vm].address = settings_.peers_address;
  }
  if (!peer_key_.empty() && !dispatch_->started() && !state_.stopping) {
    if (auto started = dispatch_->Start(peer_key_); !started) {
      state_.log.Write(BootNow(), "peers_failed",
                       {{"reason", ToString(started.error())}});
    }
    state_.dispatch = dispatch_;
  }
  if (state_.stopping) return;
  std::map<VmId, std::string> addresses;
  for (const auto& [vm, member] : members_) addresses[vm] = member.address;
  dispatch_->SetVms(std::move(addresses));
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplySuspect(const StoreItem& item) {
  const TimePoint now = BootNow();
  if (item.deleted) {
    state_.suspects->RemoveRecord(item.name);
  } else {
    state_.suspects->SetRecord(now, item.name, item.version);
  }
  state_.log.Write(now, "suspect_record",
                   {{"suspect", item.name}, {"removed", item.deleted}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateSuspectRecords(TimePoint now) {
  using namespace gateway_internal;
  state_.suspects->UpdateRecords(
      now, dispatch_->IsDispatcher(),
      [this](const std::string& name, ObjectVersion expected, bool remove) {
        const auto written = [this, name, remove](StoreReply reply) {
          state_.log.Write(BootNow(), "suspect_written",
                           {{"suspect", name},
                            {"remove", remove},
                            {"status", ToString(reply.status)}});
        };
        if (remove) {
          store_->Delete(StorePurpose::kStatus, kSuspectKind, name, expected,
                         written);
        } else {
          store_->Put(StorePurpose::kStatus, kSuspectKind, name, expected,
                      nlohmann::json(state_.vm.value()).dump(), written);
        }
      });
}

template <GatewayFormat Format>
std::vector<InFlightCall> GatewayNode<Format>::InFlightCallsOf(
    const PoolId& pool) const {
  const TimePoint now = BootNow();
  std::vector<InFlightCall> all;
  for (const auto& request : requests_) {
    if (auto call = request->CallIn(now, pool)) all.push_back(std::move(*call));
  }
  return all;
}

}  // namespace zr
