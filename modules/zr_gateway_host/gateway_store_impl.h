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
  const bool restored = restored_kinds_.erase(kind) > 0;
  if (kind == Format::kConfigKind) {
    for (const StoreItem& item : items) ApplyStoredConfig(item);
  } else if (kind == Format::kEndpointKind) {
    std::vector<DirectoryEntry> entries;
    for (const StoreItem& item : items) {
      if (auto entry = DecodeEntry(item)) entries.push_back(std::move(*entry));
    }
    directory_.OnList(now, entries);
    dispatch_directory_->OnList(now, entries);
    for (const DirectoryEntry& entry : entries) LogIfOutdated(now, entry);
    state_.endpoints_known = true;
  } else if (kind == gateway_internal::kMemberKind) {
    std::vector<MemberRecord> records;
    records.reserve(items.size());
    for (const StoreItem& item : items) records.push_back(ToMember(item));
    members_.OnList(records, restored);
    UpdateMembership();
  } else if (kind == gateway_internal::kSuspectKind) {
    state_.suspects->SetRecords(now, items, restored);
  } else {
    std::set<DomainId> evacuated;
    for (const StoreItem& item : items) evacuated.insert(DomainId(item.name));
    evacuations_.OnList(now, evacuated, restored);
    ApplyEvacuations();
  }
  state_.log.Write(now, "listed", {{"kind", kind}, {"items", items.size()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnChanges(const std::string& kind,
                                    const std::vector<StoreItem>& items) {
  if (kind == Format::kConfigKind) {
    for (const StoreItem& item : items) {
      if (!item.deleted) ApplyStoredConfig(item);
    }
  } else if (kind == Format::kEndpointKind) {
    for (const StoreItem& item : items) ApplyEndpoint(item);
  } else if (kind == gateway_internal::kMemberKind) {
    for (const StoreItem& item : items) members_.OnChange(ToMember(item));
    UpdateMembership();
  } else if (kind == gateway_internal::kSuspectKind) {
    for (const StoreItem& item : items) ApplySuspect(item);
  } else {
    for (const StoreItem& item : items) {
      if (item.deleted) {
        evacuations_.OnRemoved(DomainId(item.name));
      } else {
        evacuations_.OnAdded(DomainId(item.name));
      }
    }
    ApplyEvacuations();
  }
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnVerified(const std::string& kind,
                                     TimePoint started) {
  if (kind != Format::kConfigKind) return;
  if (!config_verified_ || started > *config_verified_) {
    config_verified_ = started;
  }
  UpdateFreshness(BootNow());
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
  const TimePoint time = BootNow();
  state_.log.Write(time, "store_restored",
                   {{"kind", kind},
                    {"era", now.era.value()},
                    {"known_revision", known.version.value()},
                    {"revision", now.version.value()}});
  state_.metrics.Set("zr_gateway_store_era", {},
                     static_cast<double>(now.era.value()));
  restored_kinds_.insert(kind);
  if (kind == Format::kConfigKind) {
    config_versions_.OnStoreRestored(time);
    dispatch_->SendConfigNotices();
  } else if (kind == Format::kEndpointKind) {
    directory_.OnStoreRestored(time);
    dispatch_directory_->OnStoreRestored(time);
  }
  for (const auto& feed : feeds_) feed->OnEra(now.era);
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnOutageEnded() {
  for (const auto& feed : feeds_) feed->OnOutageEnded();
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnUpdatesEnded(const std::string& kind,
                                         Duration evidence_age) {
  state_.log.Write(BootNow(), "updates_ended",
                   {{"kind", kind}, {"age_ms", evidence_age.milliseconds()}});
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
  if (LogIfOutdated(now, *entry)) return;
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
bool GatewayNode<Format>::LogIfOutdated(TimePoint now,
                                        const DirectoryEntry& entry) {
  const EndpointState* state = state_.tracker.Find(entry.endpoint.id);
  if (state != nullptr && state->listed == entry.endpoint) return false;
  state_.log.Write(now, "entry_outdated",
                   {{"endpoint", entry.endpoint.id.value()},
                    {"boot", entry.endpoint.boot().value()},
                    {"sequence", entry.endpoint.sequence},
                    {"draining", entry.endpoint.draining},
                    {"listed", state != nullptr}});
  return true;
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyEvacuations() {
  const std::set<DomainId> evacuated = evacuations_.domains();
  state_.tracker.SetEvacuated(evacuated);
  dispatch_->dispatcher().tracker().SetEvacuated(evacuated);
  LogFields fields = {{"domains", LogFields::array()}};
  for (const DomainId& domain : evacuated) {
    fields["domains"].push_back(domain.value());
  }
  state_.log.Write(BootNow(), "evacuations", fields);
}

template <GatewayFormat Format>
MemberRecord GatewayNode<Format>::ToMember(const StoreItem& item) {
  MemberRecord record{item.name, item.version, std::nullopt};
  const auto value = nlohmann::json::parse(item.value, nullptr, false);
  if (!item.deleted && value.is_string()) {
    record.value = value.get<std::string>();
  }
  return record;
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateMembership() {
  using namespace gateway_internal;
  std::random_device device;
  std::string new_key;
  for (int i = 0; i < kKeyWords; ++i) new_key += std::to_string(device());
  const TimePoint called = BootNow();
  for (const MemberRecord& write :
       members_.TakeWrites(members_.KeyWriteDue(called) ? std::optional(new_key)
                                                        : std::nullopt)) {
    store_->Put(StorePurpose::kStatus, kMemberKind, write.name, write.version,
                nlohmann::json(*write.value).dump(),
                [this, name = write.name](StoreReply reply) {
                  const TimePoint now = BootNow();
                  state_.log.Write(
                      now, "member_written",
                      {{"name", name}, {"status", ToString(reply.status)}});
                  // The watch shows what was written, or what a conflict is
                  // with.
                  if (reply.status == StoreStatus::kOk ||
                      reply.status == StoreStatus::kConflict) {
                    return;
                  }
                  members_.OnWriteFailed(name);
                  next_member_write_ =
                      now + gateway_internal::kMemberWritePeriod;
                });
  }
  const std::string& key = members_.key();
  if (key != link_key_ && dispatch_->started()) {
    state_.log.Write(BootNow(), "link_key_changed", {});
    dispatch_->SetKey(key);
    state_.paths->SetKey(key);
    link_key_ = key;
  }
  if (!key.empty() && !dispatch_->started() && !state_.stopping) {
    if (auto started = dispatch_->Start(key); !started) {
      state_.log.Write(BootNow(), "peers_failed",
                       {{"reason", ToString(started.error())}});
    }
    state_.paths->SetKey(key);
    link_key_ = key;
    state_.dispatch = dispatch_;
  }
  const std::map<VmId, std::string> addresses = members_.addresses();
  if (addresses.size() <= 1) config_versions_.OnAlone();
  const bool first_list = !std::exchange(members_known_, true);
  if (members_.IsRegistered()) {
    dispatch_->relay().OnRegistered(called, first_list);
  }
  state_.paths->SetVms(addresses);
  if (!state_.stopping) dispatch_->SetVms(addresses, members_.cores());
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplySuspect(const StoreItem& item) {
  const TimePoint now = BootNow();
  if (item.deleted) {
    state_.suspects->RemoveRecord(item.name);
  } else {
    state_.suspects->SetRecord(now, item);
  }
  state_.log.Write(now, "suspect_record",
                   {{"suspect", item.name}, {"removed", item.deleted}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateSuspectRecords(TimePoint now) {
  using namespace gateway_internal;
  state_.suspects->UpdateRecords(
      now, dispatch_->IsDispatcher(),
      [this](const SuspectRecord& record, ObjectVersion expected, bool remove) {
        const auto written = [this, name = record.name,
                              remove](StoreReply reply) {
          state_.log.Write(BootNow(), "suspect_written",
                           {{"suspect", name},
                            {"remove", remove},
                            {"status", ToString(reply.status)}});
        };
        if (remove) {
          store_->Delete(StorePurpose::kStatus, kSuspectKind, record.name,
                         expected, written);
        } else {
          store_->Put(StorePurpose::kStatus, kSuspectKind, record.name,
                      expected, record.value, written);
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
